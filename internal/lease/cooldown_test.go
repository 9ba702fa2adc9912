package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// One voter after the other stops and starts again, faster than the cool-down: no voter holds the
// usage tag again within its cool-down, whoever held the tag in between.
func TestNoHolderComesBackWithinItsCoolDown(t *testing.T) {
	c := qt.New(t)
	for round := range 10 {
		g := newGroupFor(settings.UsageLease, true)
		for _, v := range g.voters {
			v.settings.Bounds.HolderCooldown = 10000
			v.settings.Bounds.Lease = 1500
			v.boot()
		}
		last := map[string]time.Duration{}
		order := []string{}
		for step := range 800 {
			g.run(100*time.Millisecond, false)
			now := g.voters[0].env.Now
			holder := g.holder()
			if holder == "" {
				continue
			}
			if len(order) == 0 || order[len(order)-1] != holder {
				before, held := last[holder]
				c.Assert(!held || now-before >= 10*time.Second-200*time.Millisecond, qt.IsTrue,
					qt.Commentf("round %d: %s held until %v and again at %v, order %v", round, holder, before, now, order))
				order = append(order, holder)
			}
			last[holder] = now
			if step%13 == 0 && (step/130)%2 == 0 {
				v := g.at("a" + holder)
				v.leases.TransferAll(v.env)
				g.run(50*time.Millisecond, false)
				v.boot()
			}
		}
		c.Assert(len(order) > 3, qt.IsTrue, qt.Commentf("%v", order))
	}
}
