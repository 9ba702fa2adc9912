package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// TestNoReacquisitionWithinCoolDown stops and restarts the holders one after another, faster than the
// cool-down. No voter may hold the usage tag again within its cool-down, even if several other voters have
// held the tag in between.
func TestNoReacquisitionWithinCoolDown(t *testing.T) {
	c := qt.New(t)
	for round := range 10 {
		group := newGroupFor(settings.UsageLease, true)
		for _, voter := range group.voters {
			voter.settings.Bounds.HolderCooldown = 10000
			voter.settings.Bounds.Lease = 1500
			voter.boot()
		}
		lastHeldAt := map[string]time.Duration{}
		holders := []string{}
		for step := range 800 {
			group.run(100*time.Millisecond, false)
			now := group.voters[0].env.Now
			holder := group.holder()
			if holder == "" {
				continue
			}
			if len(holders) == 0 || holders[len(holders)-1] != holder {
				previous, heldBefore := lastHeldAt[holder]
				c.Assert(!heldBefore || now-previous >= 10*time.Second-200*time.Millisecond, qt.IsTrue,
					qt.Commentf("round %d: voter %s held the tag until %v and again at %v; holders in order: %v",
						round, holder, previous, now, holders))
				holders = append(holders, holder)
			}
			lastHeldAt[holder] = now
			if step%13 == 0 && (step/130)%2 == 0 {
				voter := group.voterAt("a" + holder)
				voter.leases.TransferAll(voter.env)
				group.run(50*time.Millisecond, false)
				voter.boot()
			}
		}
		c.Assert(len(holders) > 3, qt.IsTrue, qt.Commentf("too few changes of holder: %v", holders))
	}
}
