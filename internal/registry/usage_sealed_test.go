package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// sealedAt returns a value of a window that differs by epoch.
func sealedAt(window, epoch int64) message.UsageSealed {
	return message.UsageSealed{Window: window, Epoch: epoch, Counts: map[string]int64{"tenant": epoch}}
}

// The value of the highest epoch is kept for each window, regardless of the order of arrival.
func TestHighestEpochValueIsKept(t *testing.T) {
	c := qt.New(t)
	sealed := newSealedWindows([]message.UsageSealed{sealedAt(7, 3)}, 0)
	sealed.merge(sealedAt(7, 2))
	c.Assert(sealed.list(), qt.DeepEquals, []message.UsageSealed{sealedAt(7, 3)})
	sealed.merge(sealedAt(7, 4))
	sealed.merge(sealedAt(6, 1))
	c.Assert(sealed.list(), qt.DeepEquals, []message.UsageSealed{sealedAt(6, 1), sealedAt(7, 4)})
}

// Values older than windowRetention are dropped, and an answer to a read holds only the newest
// windowsPerRead.
func TestOldValuesAreDropped(t *testing.T) {
	c := qt.New(t)
	sealed := newSealedWindows(nil, 0)
	for window := range int64(windowRetention + 3) {
		sealed.merge(sealedAt(window, 1))
	}
	list := sealed.list()
	c.Assert(list, qt.HasLen, windowRetention+1)
	c.Assert(list[0].Window, qt.Equals, int64(2))
	latest := sealed.latest()
	c.Assert(latest, qt.HasLen, windowsPerRead)
	c.Assert(latest[windowsPerRead-1].Window, qt.Equals, int64(windowRetention+2))
}

// Proxies must not repeat the counts of final windows while the collector accepts no reports.
func TestLowestUnsealedWindow(t *testing.T) {
	c := qt.New(t)
	sealed := newSealedWindows([]message.UsageSealed{sealedAt(6, 1)}, 4)
	c.Assert(sealed.lowestUnsealed(), qt.Equals, int64(5))
	sealed.final[6] = true
	c.Assert(sealed.lowestUnsealed(), qt.Equals, int64(5))
	sealed.final[5] = true
	c.Assert(sealed.lowestUnsealed(), qt.Equals, int64(7))
	c.Assert(sealed.hasValue(4), qt.IsTrue)
	c.Assert(sealed.hasValue(5), qt.IsFalse)
	c.Assert(sealed.hasValue(6), qt.IsTrue)
}
