package lease

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// TestStoppingHolderTransfersToSuccessor checks that a stopping holder names a successor, which acquires the
// tag after two message exchanges (pre-vote and vote) and their writes, in less than an eighth of a lease.
// Without a named successor the other voters would wait half a lease before they campaign.
func TestStoppingHolderTransfersToSuccessor(t *testing.T) {
	c := qt.New(t)
	g := newGroup(true)
	g.run(10*time.Second, true)
	first := g.voterAt("a" + g.holder())
	g.run(4*time.Second, false)
	first.leases.TransferAll(first.env)
	elapsed := g.run(10*time.Second, true)
	c.Assert(g.holder(), qt.Not(qt.Equals), "")
	c.Assert(g.holder(), qt.Not(qt.Equals), first.name)
	c.Assert(elapsed < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("%v", elapsed))
}

// TestSuccessorIsNotTheFormerHolder checks that a tag isn't transferred back to its previous holder within
// the cool-down.
func TestSuccessorIsNotTheFormerHolder(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		g := newGroup(true)
		g.run(10*time.Second, true)
		first := g.voterAt("a" + g.holder())
		g.run(time.Second, false)
		first.leases.TransferAll(first.env)
		g.run(10*time.Second, true)
		second := g.voterAt("a" + g.holder())
		first.boot()
		g.run(time.Second, false)
		second.leases.TransferAll(second.env)
		c.Assert(g.holder(), qt.Equals, "")
		elapsed := g.run(settings.Default().HolderRest()-time.Second*3/2, true)
		if g.holder() != "" {
			c.Assert(g.holder(), qt.Not(qt.Equals), first.name, qt.Commentf("after %v", elapsed))
		}
	}
}

// TestHolderWithFailedDiskTransfersItsTags checks that a holder whose disk fails transfers its tags
// immediately instead of letting the lease expire.
func TestHolderWithFailedDiskTransfersItsTags(t *testing.T) {
	c := qt.New(t)
	g := newGroup(true)
	g.run(10*time.Second, true)
	first := g.voterAt("a" + g.holder())
	g.run(4*time.Second, false)
	first.diskFailure = errors.New("no space left")
	g.run(25*time.Millisecond, false)
	elapsed := g.run(10*time.Second, true)
	c.Assert(g.holder(), qt.Not(qt.Equals), "")
	c.Assert(g.holder(), qt.Not(qt.Equals), first.name)
	c.Assert(elapsed < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("%v", elapsed))
}
