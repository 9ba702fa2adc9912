package registry

import (
	"sort"

	"beaconvane/internal/message"
)

const (
	// windowRetention is how many windows back a value or a count is retained.
	windowRetention = 720
	// windowsPerRead is the maximum number of sealed windows in the answer to a read: far more than
	// can be waiting to be reported.
	windowsPerRead = windowRetention / 4
)

// sealedWindows holds the sealed values of the windows that this registry has received. It is
// stored as part of the voter's state.
type sealedWindows struct {
	values   map[int64]message.UsageSealed // by window; the value of the highest epoch
	final    map[int64]bool                // windows synced by a majority under this holder's epoch, and not reported yet
	reported int64                         // the collector has received all windows up to this one
}

// newSealedWindows returns the values and the newest reported window of a snapshot.
func newSealedWindows(saved []message.UsageSealed, reported int64) *sealedWindows {
	w := &sealedWindows{values: map[int64]message.UsageSealed{}, final: map[int64]bool{}, reported: reported}
	for _, value := range saved {
		w.merge(value)
	}
	return w
}

// merge stores a value from the local disk or from another voter, unless one of a higher epoch is
// stored. It drops the windows that are more than windowRetention older than the newest one.
func (w *sealedWindows) merge(value message.UsageSealed) {
	if last, sealed := w.values[value.Window]; !sealed || last.Epoch <= value.Epoch {
		w.values[value.Window] = value
	}
	oldest := w.newest() - windowRetention
	for window := range w.values {
		if window < oldest {
			delete(w.values, window)
		}
	}
}

// advanceReported raises the newest reported window to one that is read from the local disk or
// received from another voter. A lower one is ignored.
func (w *sealedWindows) advanceReported(window int64) { w.reported = max(w.reported, window) }

// newest returns the newest window that has a value, or 0 if there is none.
func (w *sealedWindows) newest() int64 {
	newest := int64(0)
	for window := range w.values {
		newest = max(newest, window)
	}
	return newest
}

// list returns the values in the order of their windows.
func (w *sealedWindows) list() []message.UsageSealed {
	list := []message.UsageSealed{}
	for _, value := range w.values {
		list = append(list, value)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Window < list[j].Window })
	return list
}

// latest returns the values of the windowsPerRead newest windows, in order: all that may not have
// been reported yet are among them.
func (w *sealedWindows) latest() []message.UsageSealed {
	list := w.list()
	return list[max(0, len(list)-windowsPerRead):]
}

// hasValue reports whether the value of a window is known or was reported, so that its counts are
// no longer needed.
func (w *sealedWindows) hasValue(window int64) bool {
	_, sealed := w.values[window]
	return sealed || window <= w.reported
}

// lowestUnsealed returns the lowest window whose counts the proxies must still repeat: the first
// one that is neither reported nor final. It does not wait for reports, so that proxies don't
// repeat sealed counts while the collector is down.
func (w *sealedWindows) lowestUnsealed() int64 {
	window := w.reported + 1
	for w.final[window] {
		window++
	}
	return window
}

// reset drops all values, after the voter was given to another process.
func (w *sealedWindows) reset() {
	w.values, w.final, w.reported = map[int64]message.UsageSealed{}, map[int64]bool{}, 0
}
