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

// joinTargetsDuring lets some time pass and returns the addresses that were asked for the member list.
func joinTargetsDuring(env *statemachine.Env, node *Membership, length time.Duration) map[string]bool {
	asked := map[string]bool{}
	for end := env.Now + length; env.Now < end; env.Now += 25 * time.Millisecond {
		node.Tick(env)
		for _, effect := range env.Drain() {
			if sent, isDatagram := effect.(statemachine.Datagram); isDatagram {
				if _, isJoin := sent.Message.(message.JoinRequest); isJoin {
					asked[sent.To] = true
				}
			}
		}
	}
	return asked
}

// A node asks the seeds that were set last, whether it has joined or not.
func TestReseededNodeAsksTheNewSeeds(t *testing.T) {
	for _, joined := range []bool{false, true} {
		c := qt.New(t)
		cfg := settings.Default()
		cfg.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1"}
		node := New(cfg, message.Member{Name: "proxy/me", Address: "10.0.0.9:1"}, nil)
		env := statemachine.NewEnv(1)
		c.Assert(joinTargetsDuring(env, node, cfg.JoinEvery()*4), qt.DeepEquals, map[string]bool{"10.0.0.1:1": true, "10.0.0.2:1": true})
		wanted := map[string]bool{"10.0.0.3:1": true, "10.0.0.4:1": true}
		if joined {
			node.Handle(env, "", message.JoinResponse{From: message.Member{Name: "proxy/other", Address: "10.0.0.8:1", StartTime: 1}})
			wanted["10.0.0.8:1"] = true
		}
		given := []string{"10.0.0.3:1", "10.0.0.4:1"}
		node.SetSeeds(given)
		given[0] = "changed by its owner"
		c.Assert(joinTargetsDuring(env, node, cfg.JoinEvery()*40), qt.DeepEquals, wanted)
	}
}

// nodeKnowing returns a node that knows so many others.
func nodeKnowing(env *statemachine.Env, name string, count int) *Membership {
	node := New(settings.Default(), message.Member{Name: "proxy/" + name, Role: message.RoleProxy, Address: name, StartTime: 1}, nil)
	for number := range count {
		node.Handle(env, "", message.JoinResponse{From: message.Member{
			Name:      fmt.Sprintf("proxy/%d", number),
			Role:      message.RoleProxy,
			Zone:      "z",
			Address:   fmt.Sprintf("10.0.0.%d:7000", number),
			StartTime: 1,
		}})
	}
	env.Drain()
	return node
}

// joinAnswer returns the members that a node is told when it asks another, and how many bytes that takes.
func joinAnswer(c *qt.C, env *statemachine.Env, asker, asked *Membership) (members []message.Member, bytes int) {
	asked.Handle(env, "", message.JoinRequest{From: asker.Self(), MemberListDigest: asker.digest()})
	for _, effect := range env.Drain() {
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

// A node tells another that differs in one member of eighty a few members, not all.
func TestOnlyWhatDiffersIsAnswered(t *testing.T) {
	c := qt.New(t)
	env := statemachine.NewEnv(1)
	asker, asked := nodeKnowing(env, "asker", 80), nodeKnowing(env, "asked", 80)
	asker.Handle(env, "", message.JoinResponse{From: asked.Self()})
	asked.Handle(env, "", message.JoinResponse{From: asker.Self()})
	env.Drain()
	members, _ := joinAnswer(c, env, asker, asked)
	c.Assert(len(members), qt.Equals, 0)

	reborn := message.Member{Name: "proxy/17", Role: message.RoleProxy, Zone: "z", Address: "10.0.0.17:7000", StartTime: 2}
	asked.Handle(env, "", message.JoinResponse{From: reborn})
	env.Drain()
	members, bytes := joinAnswer(c, env, asker, asked)
	c.Assert(slices.Contains(members, reborn), qt.IsTrue)
	c.Assert(len(members) < 80/4, qt.IsTrue, qt.Commentf("%d members, %d bytes", len(members), bytes))
}

// A node that knows nobody is told of all members.
func TestANewNodeIsToldEverybody(t *testing.T) {
	c := qt.New(t)
	env := statemachine.NewEnv(1)
	asker, asked := nodeKnowing(env, "asker", 0), nodeKnowing(env, "asked", 80)
	members, _ := joinAnswer(c, env, asker, asked)
	c.Assert(len(members) >= 80, qt.IsTrue)
}
