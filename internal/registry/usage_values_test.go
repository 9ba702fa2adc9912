package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

func sealedAt(window, epoch int64) message.UsageSealed {
	return message.UsageSealed{Window: window, Epoch: epoch, Counts: map[string]int64{"tenant": epoch}}
}

// Of two values of a window that of the higher epoch holds, whichever came first.
func TestTheValueOfTheHighestEpochHolds(t *testing.T) {
	c := qt.New(t)
	sealed := newSealedWindows([]message.UsageSealed{sealedAt(7, 3)}, 0)
	sealed.learn(sealedAt(7, 2))
	c.Assert(sealed.list(), qt.DeepEquals, []message.UsageSealed{sealedAt(7, 3)})
	sealed.learn(sealedAt(7, 4))
	sealed.learn(sealedAt(6, 1))
	c.Assert(sealed.list(), qt.DeepEquals, []message.UsageSealed{sealedAt(6, 1), sealedAt(7, 4)})
}

func TestOldValuesAreDropped(t *testing.T) {
	c := qt.New(t)
	sealed := newSealedWindows(nil, 0)
	for window := range int64(windowRetention + 3) {
		sealed.learn(sealedAt(window, 1))
	}
	list := sealed.list()
	c.Assert(list, qt.HasLen, windowRetention+1)
	c.Assert(list[0].Window, qt.Equals, int64(2))
	latest := sealed.latest()
	c.Assert(latest, qt.HasLen, windowsPerRead)
	c.Assert(latest[windowsPerRead-1].Window, qt.Equals, int64(windowRetention+2))
}

// Proxies repeat no windows that are final here, even while the collector takes none.
func TestLowestOpenWindow(t *testing.T) {
	c := qt.New(t)
	sealed := newSealedWindows([]message.UsageSealed{sealedAt(6, 1)}, 4)
	c.Assert(sealed.lowestOpen(), qt.Equals, int64(5))
	sealed.final[6] = true
	c.Assert(sealed.lowestOpen(), qt.Equals, int64(5))
	sealed.final[5] = true
	c.Assert(sealed.lowestOpen(), qt.Equals, int64(7))
	c.Assert(sealed.hasValue(4), qt.IsTrue)
	c.Assert(sealed.hasValue(5), qt.IsFalse)
	c.Assert(sealed.hasValue(6), qt.IsTrue)
}
