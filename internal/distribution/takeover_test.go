// A child during a takeover: the machine of the configuration's holder is cut off, and its
// registry seems the freshest for as long as the old lease lasts.
package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTheRegistryOfACutOffHolderIsNotComeBackTo(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		l := newTestTree(c, seed, "near", "far", "cut-off")
		l.committed("near")
		cutAt := l.s.Now
		leaseEnd := cutAt + l.settings.Lease()*9/10
		servedAt := cutAt + l.settings.Reparent() + l.settings.UpdatesEvery()
		l.ages["cut-off"] = func() time.Duration { return max(0, l.s.Now-leaseEnd) }
		for _, root := range []string{"near", "far"} {
			l.ages[root] = func() time.Duration {
				if l.s.Now >= servedAt {
					return 0
				}
				return l.s.Now - cutAt
			}
		}
		l.play(servedAt-l.s.Now, nil)

		// The new holder's first configuration is known to the two that are not cut off.
		l.version["near"], l.version["far"] = 2, 2
		committedAt := l.s.Now
		l.play(l.settings.TakeOver()*4, func() bool {
			version, _, _ := l.distribution.Configuration("main")
			return version == 2
		})
		took := l.s.Now - committedAt
		bound := time.Duration(l.settings.Bounds.ConfigurationInForce) * time.Millisecond
		c.Check(took < bound, qt.IsTrue, qt.Commentf("seed %d: %v, asked %v", seed, took, l.asked))
	}
}
