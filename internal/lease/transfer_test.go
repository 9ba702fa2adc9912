package lease

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// A stopping holder names its successor, which holds the tag after two exchanges and their writes.
// Were it left open, the others would wait for half a lease first.
func TestStoppingHolderNamesItsSuccessor(t *testing.T) {
	c := qt.New(t)
	g := newGroup(true)
	g.run(10*time.Second, true)
	first := g.at("a" + g.holder())
	g.run(4*time.Second, false)
	first.leases.TransferAll(first.env)
	elapsed := g.run(10*time.Second, true)
	c.Assert(g.holder(), qt.Not(qt.Equals), "")
	c.Assert(g.holder(), qt.Not(qt.Equals), first.name)
	c.Assert(elapsed < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("%v", elapsed))
}

// Within the cool-down the tag does not go back to the voter that it came from.
func TestSuccessorIsNotTheFormerHolder(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		g := newGroup(true)
		g.run(10*time.Second, true)
		first := g.at("a" + g.holder())
		g.run(time.Second, false)
		first.leases.TransferAll(first.env)
		g.run(10*time.Second, true)
		second := g.at("a" + g.holder())
		first.boot()
		g.run(time.Second, false)
		second.leases.TransferAll(second.env)
		c.Assert(g.holder(), qt.Equals, "")
		elapsed := g.run(settings.Default().HolderCooldown()-time.Second*3/2, true)
		if g.holder() != "" {
			c.Assert(g.holder(), qt.Not(qt.Equals), first.name, qt.Commentf("after %v", elapsed))
		}
	}
}

// A holder whose disk has failed transfers its tags at once.
func TestHolderWithAFailedDiskTransfersItsTags(t *testing.T) {
	c := qt.New(t)
	g := newGroup(true)
	g.run(10*time.Second, true)
	first := g.at("a" + g.holder())
	g.run(4*time.Second, false)
	first.failure = errors.New("no space left")
	g.run(25*time.Millisecond, false)
	elapsed := g.run(10*time.Second, true)
	c.Assert(g.holder(), qt.Not(qt.Equals), "")
	c.Assert(g.holder(), qt.Not(qt.Equals), first.name)
	c.Assert(elapsed < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("%v", elapsed))
}
