package quota

import (
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
