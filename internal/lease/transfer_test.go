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
	group := newGroup(true)
	group.run(10*time.Second, true)
	firstHolder := group.voterAt("a" + group.holder())
	group.run(4*time.Second, false)
	firstHolder.leases.TransferAll(firstHolder.env)
	elapsed := group.run(10*time.Second, true)
	c.Assert(group.holder(), qt.Not(qt.Equals), "")
	c.Assert(group.holder(), qt.Not(qt.Equals), firstHolder.name)
	c.Assert(elapsed < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("holder elected after %v", elapsed))
}

// TestSuccessorIsNotTheFormerHolder checks that a tag isn't transferred back to its previous holder within
// the cool-down.
func TestSuccessorIsNotTheFormerHolder(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		group := newGroup(true)
		group.run(10*time.Second, true)
		firstHolder := group.voterAt("a" + group.holder())
		group.run(time.Second, false)
		firstHolder.leases.TransferAll(firstHolder.env)
		group.run(10*time.Second, true)
		secondHolder := group.voterAt("a" + group.holder())
		firstHolder.boot()
		group.run(time.Second, false)
		secondHolder.leases.TransferAll(secondHolder.env)
		c.Assert(group.holder(), qt.Equals, "")
		elapsed := group.run(settings.Default().HolderCooldown()-time.Second*3/2, true)
		if group.holder() != "" {
			c.Assert(group.holder(), qt.Not(qt.Equals), firstHolder.name, qt.Commentf("held again after %v", elapsed))
		}
	}
}

// TestHolderWithFailedDiskTransfersItsTags checks that a holder whose disk fails transfers its tags
// immediately instead of letting the lease expire.
func TestHolderWithFailedDiskTransfersItsTags(t *testing.T) {
	c := qt.New(t)
	group := newGroup(true)
	group.run(10*time.Second, true)
	firstHolder := group.voterAt("a" + group.holder())
	group.run(4*time.Second, false)
	firstHolder.diskFailure = errors.New("no space left")
	group.run(25*time.Millisecond, false)
	elapsed := group.run(10*time.Second, true)
	c.Assert(group.holder(), qt.Not(qt.Equals), "")
	c.Assert(group.holder(), qt.Not(qt.Equals), firstHolder.name)
	c.Assert(elapsed < settings.Default().Lease()/8, qt.IsTrue, qt.Commentf("holder elected after %v", elapsed))
}
