// Leases of a holder that stops politely.
package lease

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// A stopping holder names its heir, which holds the tag after two exchanges and their
// writes; left open, the others would wait for half a lease first.
func TestStoppingHolderNamesItsHeir(t *testing.T) {
	c := qt.New(t)
	e := newElectorate(true)
	e.run(10*time.Second, true)
	first := e.at("a" + e.holder())
	e.run(4*time.Second, false)
	first.leases.TransferAll(first.env)
	took := e.run(10*time.Second, true)
	c.Assert(e.holder(), qt.Not(qt.Equals), "")
	c.Assert(e.holder(), qt.Not(qt.Equals), first.voter)
	c.Assert(took < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("%v", took))
}

// Within the rest between holders the tag does not go back to the one it came from.
func TestHeirIsNotTheFormerHolder(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		e := newElectorate(true)
		e.run(10*time.Second, true)
		first := e.at("a" + e.holder())
		e.run(time.Second, false)
		first.leases.TransferAll(first.env)
		e.run(10*time.Second, true)
		second := e.at("a" + e.holder())
		first.boot()
		e.run(time.Second, false)
		second.leases.TransferAll(second.env)
		c.Assert(e.holder(), qt.Equals, "")
		took := e.run(settings.Default().HolderRest()-time.Second*3/2, true)
		if e.holder() != "" {
			c.Assert(e.holder(), qt.Not(qt.Equals), first.voter, qt.Commentf("after %v", took))
		}
	}
}

// A holder whose disk has failed gives its tags up at once.
func TestHolderWithAFailedDiskYields(t *testing.T) {
	c := qt.New(t)
	e := newElectorate(true)
	e.run(10*time.Second, true)
	first := e.at("a" + e.holder())
	e.run(4*time.Second, false)
	first.failure = errors.New("no space left")
	e.run(25*time.Millisecond, false)
	took := e.run(10*time.Second, true)
	c.Assert(e.holder(), qt.Not(qt.Equals), "")
	c.Assert(e.holder(), qt.Not(qt.Equals), first.voter)
	c.Assert(took < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("%v", took))
}
