package quota

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Bytes are reserved as long as they are available, and available again once they are released.
func TestReserveAndRelease(t *testing.T) {
	c := qt.New(t)
	bytes := New(10)
	c.Assert(bytes.Reserve(6), qt.IsTrue)
	c.Assert(bytes.Reserve(5), qt.IsFalse)
	c.Assert(bytes.Reserve(4), qt.IsTrue)
	c.Assert(bytes.Reserve(0), qt.IsTrue)
	c.Assert(bytes.Reserve(1), qt.IsFalse)
	c.Assert(bytes.Used(), qt.Equals, int64(10))
	bytes.Release(6)
	c.Assert(bytes.Available(), qt.Equals, int64(6))
	c.Assert(bytes.Reserve(6), qt.IsTrue)
}

// Guards against bodies that are released but not collected yet, and that a busy process holds beside the next ones.
func TestLargeReservationsWaitForReleasedMemory(t *testing.T) {
	c := qt.New(t)
	collections := func() uint32 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.NumForcedGC
	}
	bytes := New(3 * largeReservation)
	before := collections()
	c.Assert(bytes.Reserve(largeReservation), qt.IsTrue)
	bytes.Release(largeReservation)
	c.Assert(bytes.Reserve(largeReservation-1), qt.IsTrue)
	c.Assert(collections(), qt.Equals, before)
	c.Assert(New(2*largeReservation).Reserve(largeReservation), qt.IsTrue)
	c.Assert(collections(), qt.Equals, before+1)
	c.Assert(bytes.Reserve(largeReservation), qt.IsTrue)
	c.Assert(collections(), qt.Equals, before+1)
}
