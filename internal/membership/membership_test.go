// Seeds that change while a node runs.
package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// joined plays some time and gives the addresses that were asked for the list.
func joined(s *statemachine.Env, c *Membership, length time.Duration) map[string]bool {
	asked := map[string]bool{}
	for end := s.Now + length; s.Now < end; s.Now += 25 * time.Millisecond {
		c.Tick(s)
		for _, effect := range s.Drain() {
			if sent, isDatagram := effect.(statemachine.Datagram); isDatagram {
				if _, isJoin := sent.Message.(message.JoinRequest); isJoin {
					asked[sent.To] = true
				}
			}
		}
	}
	return asked
}

// A lonely node asks the seeds that it was told last, and a joined one does so too.
func TestReseededNodeAsksTheNewSeeds(t *testing.T) {
	for _, meets := range []bool{false, true} {
		c := qt.New(t)
		cfg := settings.Default()
		cfg.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1"}
		nodeName := New(cfg, message.Member{Name: "proxy/me", Address: "10.0.0.9:1"}, nil)
		s := statemachine.NewEnv(1)
		c.Assert(joined(s, nodeName, cfg.JoinEvery()*4), qt.DeepEquals, map[string]bool{"10.0.0.1:1": true, "10.0.0.2:1": true})
		wanted := map[string]bool{"10.0.0.3:1": true, "10.0.0.4:1": true}
		if meets {
			nodeName.Handle(s, "", message.JoinResponse{From: message.Member{Name: "proxy/other", Address: "10.0.0.8:1", Birth: 1}})
			wanted["10.0.0.8:1"] = true
		}
		given := []string{"10.0.0.3:1", "10.0.0.4:1"}
		nodeName.Reseed(given)
		given[0] = "changed by its owner"
		asked := joined(s, nodeName, cfg.JoinEvery()*40)
		c.Assert(asked, qt.DeepEquals, wanted)
	}
}
