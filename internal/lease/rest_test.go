// The rest between the times that one voter holds a duty.
package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// Each voter stops and starts again behind the other, faster than the rest between
// holders: whoever held the usage duty doesn't act again within the rest, whoever held it
// in between. Actions of a holder are its time of holding.
func TestNoHolderComesBackWithinItsRest(t *testing.T) {
	c := qt.New(t)
	for round := range 10 {
		e := newElectorateFor(settings.UsageTag, true)
		for _, v := range e.voters {
			v.settings.Bounds.HolderRest = 10000
			v.settings.Bounds.Lease = 1500
			v.boot()
		}
		last := map[string]time.Duration{}
		order := []string{}
		for step := range 800 {
			e.run(100*time.Millisecond, false)
			moment := e.voters[0].env.Now
			holder := e.holder()
			if holder == "" {
				continue
			}
			if len(order) == 0 || order[len(order)-1] != holder {
				before, held := last[holder]
				c.Assert(!held || moment-before >= 10*time.Second-200*time.Millisecond, qt.IsTrue,
					qt.Commentf("round %d: %s held until %v and again at %v, order %v", round, holder, before, moment, order))
				order = append(order, holder)
			}
			last[holder] = moment
			if step%13 == 0 && (step/130)%2 == 0 {
				v := e.at("a" + holder)
				v.leases.TransferAll(v.env)
				e.run(50*time.Millisecond, false)
				v.boot()
			}
		}
		c.Assert(len(order) > 3, qt.IsTrue, qt.Commentf("%v", order))
	}
}
