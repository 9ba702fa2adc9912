// Seeds that change while a node runs.
package membership

import (
	"fmt"
	"slices"
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
			nodeName.Handle(s, "", message.JoinResponse{From: message.Member{Name: "proxy/other", Address: "10.0.0.8:1", StartTime: 1}})
			wanted["10.0.0.8:1"] = true
		}
		given := []string{"10.0.0.3:1", "10.0.0.4:1"}
		nodeName.SetSeeds(given)
		given[0] = "changed by its owner"
		asked := joined(s, nodeName, cfg.JoinEvery()*40)
		c.Assert(asked, qt.DeepEquals, wanted)
	}
}

// crowd makes a node that knows so many others.
func crowd(s *statemachine.Env, name string, count int) *Membership {
	node := New(settings.Default(), message.Member{Name: "proxy/" + name, Role: message.RoleProxy, Address: name, StartTime: 1}, nil)
	for number := range count {
		other := fmt.Sprintf("proxy/%d", number)
		node.Handle(s, "", message.JoinResponse{From: message.Member{Name: other, Role: message.RoleProxy, Zone: "z", Address: fmt.Sprintf("10.0.0.%d:7000", number), StartTime: 1}})
	}
	s.Drain()
	return node
}

// answers gives the members that a node is told when it asks another, and the bytes.
func answers(c *qt.C, s *statemachine.Env, asker, asked *Membership) (members []message.Member, bytes int) {
	asked.Handle(s, "", message.JoinRequest{From: asker.Self(), Known: asker.digest()})
	for _, effect := range s.Drain() {
		sent, isDatagram := effect.(statemachine.Datagram)
		response, isResponse := sent.Message.(message.JoinResponse)
		if !isDatagram || !isResponse {
			continue
		}
		frame, err := message.Encode(response)
		c.Assert(err, qt.IsNil)
		members, bytes = append(members, response.Members...), bytes+len(frame)
	}
	return members, bytes
}

// Two nodes that differ in one member of eighty tell each other a few members, not all.
func TestOnlyWhatDiffersIsAnswered(t *testing.T) {
	c := qt.New(t)
	s := statemachine.NewEnv(1)
	asker, asked := crowd(s, "asker", 80), crowd(s, "asked", 80)
	asker.Handle(s, "", message.JoinResponse{From: asked.Self()})
	asked.Handle(s, "", message.JoinResponse{From: asker.Self()})
	s.Drain()
	members, _ := answers(c, s, asker, asked)
	c.Assert(len(members), qt.Equals, 0)

	reborn := message.Member{Name: "proxy/17", Role: message.RoleProxy, Zone: "z", Address: "10.0.0.17:7000", StartTime: 2}
	asked.Handle(s, "", message.JoinResponse{From: reborn})
	s.Drain()
	members, bytes := answers(c, s, asker, asked)
	c.Assert(slices.Contains(members, reborn), qt.IsTrue)
	c.Assert(len(members) < 80/4, qt.IsTrue, qt.Commentf("%d members, %d bytes", len(members), bytes))
}

// Who knows nobody is told everybody.
func TestANewNodeIsToldEverybody(t *testing.T) {
	c := qt.New(t)
	s := statemachine.NewEnv(1)
	asker, asked := crowd(s, "asker", 0), crowd(s, "asked", 80)
	members, _ := answers(c, s, asker, asked)
	c.Assert(len(members) >= 80, qt.IsTrue)
}
