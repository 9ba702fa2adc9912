// Seeds that change while a node runs.
package company

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// joined plays some time and gives the addresses that were asked for the list.
func joined(s *cue.Stage, c *Company, length time.Duration) map[string]bool {
	asked := map[string]bool{}
	for end := s.Now + length; s.Now < end; s.Now += 25 * time.Millisecond {
		c.Tick(s)
		for _, effect := range s.Drain() {
			if sent, isDatagram := effect.(cue.Datagram); isDatagram {
				if _, isJoin := sent.Message.(script.JoinAsk); isJoin {
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
		config := playbill.Default()
		config.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1"}
		node := New(config, script.Member{Name: "usher/me", Address: "10.0.0.9:1"}, nil)
		s := cue.NewStage(1)
		c.Assert(joined(s, node, config.JoinEvery()*4), qt.DeepEquals, map[string]bool{"10.0.0.1:1": true, "10.0.0.2:1": true})
		wanted := map[string]bool{"10.0.0.3:1": true, "10.0.0.4:1": true}
		if meets {
			node.Hear(s, "", script.JoinTold{From: script.Member{Name: "usher/other", Address: "10.0.0.8:1", Birth: 1}})
			wanted["10.0.0.8:1"] = true
		}
		given := []string{"10.0.0.3:1", "10.0.0.4:1"}
		node.Reseed(given)
		given[0] = "changed by its owner"
		asked := joined(s, node, config.JoinEvery()*40)
		c.Assert(asked, qt.DeepEquals, wanted)
	}
}
