package registry

import (
	"sort"

	"beaconvane/internal/message"
)

const (
	// windowRetention is how many windows back a value or a count may be.
	windowRetention = 720
	// windowsPerRead is how many sealed windows an answer to a read holds: far more than may wait
	// to be reported.
	windowsPerRead = windowRetention / 4
)

// sealedWindows are the values of the windows, as far as they are known here. They are part of the
// voter's state.
type sealedWindows struct {
	values   map[int64]message.UsageSealed // by window; that of the highest epoch holds
	final    map[int64]bool                // synced on a majority under this holder's epoch, and not reported yet
	reported int64                         // the collector has all windows up to this one
}

func newSealedWindows(saved []message.UsageSealed, reported int64) *sealedWindows {
	w := &sealedWindows{values: map[int64]message.UsageSealed{}, final: map[int64]bool{}, reported: reported}
	for _, value := range saved {
		w.learn(value)
	}
	return w
}

// learn takes a value from this disk or from another voter, unless one of a higher epoch is known.
func (w *sealedWindows) learn(value message.UsageSealed) {
	if known, sealed := w.values[value.Window]; !sealed || known.Epoch <= value.Epoch {
		w.values[value.Window] = value
	}
	oldest := w.newest() - windowRetention
	for window := range w.values {
		if window < oldest {
			delete(w.values, window)
		}
	}
}

// learnReported takes the word of this disk or of another voter on what the collector has.
func (w *sealedWindows) learnReported(window int64) { w.reported = max(w.reported, window) }

func (w *sealedWindows) newest() int64 {
	newest := int64(0)
	for window := range w.values {
		newest = max(newest, window)
	}
	return newest
}

// list gives the values by window.
func (w *sealedWindows) list() []message.UsageSealed {
	list := []message.UsageSealed{}
	for _, value := range w.values {
		list = append(list, value)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Window < list[j].Window })
	return list
}

// latest gives the newest values by window: those that may not have been reported yet.
func (w *sealedWindows) latest() []message.UsageSealed {
	list := w.list()
	return list[max(0, len(list)-windowsPerRead):]
}

// hasValue says that no more counts of a window are needed, since its value is known here.
func (w *sealedWindows) hasValue(window int64) bool {
	_, sealed := w.values[window]
	return sealed || window <= w.reported
}

// lowestOpen is the window below which proxies need not repeat their counts. It isn't the first
// one that waits to be reported: a collector that is down must not make proxies repeat what is
// sealed.
func (w *sealedWindows) lowestOpen() int64 {
	window := w.reported + 1
	for w.final[window] {
		window++
	}
	return window
}

// forget drops all values, as when the voter is another's now.
func (w *sealedWindows) forget() {
	w.values, w.final, w.reported = map[int64]message.UsageSealed{}, map[int64]bool{}, 0
}
