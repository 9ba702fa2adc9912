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

// joinTargetsDuring advances the time and returns the addresses that received join requests.
func joinTargetsDuring(env *statemachine.Env, node *Membership, length time.Duration) map[string]bool {
	requestedAddresses := map[string]bool{}
	for end := env.Now + length; env.Now < end; env.Now += 25 * time.Millisecond {
		node.Tick(env)
		for _, effect := range env.Drain() {
			if sent, isDatagram := effect.(statemachine.Datagram); isDatagram {
				if _, isJoin := sent.Message.(message.JoinRequest); isJoin {
					requestedAddresses[sent.To] = true
				}
			}
		}
	}
	return requestedAddresses
}

// A node sends join requests to the seeds that were set last, whether it has joined or not.
func TestReseededNodeAsksTheNewSeeds(t *testing.T) {
	for _, joined := range []bool{false, true} {
		c := qt.New(t)
		cfg := settings.Default()
		cfg.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1"}
		node := New(cfg, message.Member{Name: "proxy/me", Address: "10.0.0.9:1"}, nil)
		env := statemachine.NewEnv(1)
		c.Assert(joinTargetsDuring(env, node, cfg.JoinEvery()*4), qt.DeepEquals, map[string]bool{"10.0.0.1:1": true, "10.0.0.2:1": true})
		expected := map[string]bool{"10.0.0.3:1": true, "10.0.0.4:1": true}
		if joined {
			node.Handle(env, "", message.JoinResponse{From: message.Member{Name: "proxy/other", Address: "10.0.0.8:1", StartTime: 1}})
			expected["10.0.0.8:1"] = true
		}
		newSeeds := []string{"10.0.0.3:1", "10.0.0.4:1"}
		node.SetSeeds(newSeeds)
		newSeeds[0] = "modified after SetSeeds"
		c.Assert(joinTargetsDuring(env, node, cfg.JoinEvery()*40), qt.DeepEquals, expected)
	}
}

// newNodeWithMembers returns a node with the given number of other members.
func newNodeWithMembers(env *statemachine.Env, name string, count int) *Membership {
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

// exchangeJoin returns the members in the responses to a join request, and the encoded size of the
// responses.
func exchangeJoin(c *qt.C, env *statemachine.Env, requester, responder *Membership) (members []message.Member, bytes int) {
	responder.Handle(env, "", message.JoinRequest{From: requester.Self(), MemberListDigest: requester.digest()})
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

// If two lists of eighty members differ in one member, a join response contains only a few members.
func TestOnlyWhatDiffersIsAnswered(t *testing.T) {
	c := qt.New(t)
	env := statemachine.NewEnv(1)
	requester, responder := newNodeWithMembers(env, "requester", 80), newNodeWithMembers(env, "responder", 80)
	requester.Handle(env, "", message.JoinResponse{From: responder.Self()})
	responder.Handle(env, "", message.JoinResponse{From: requester.Self()})
	env.Drain()
	members, _ := exchangeJoin(c, env, requester, responder)
	c.Assert(len(members), qt.Equals, 0)

	restarted := message.Member{Name: "proxy/17", Role: message.RoleProxy, Zone: "z", Address: "10.0.0.17:7000", StartTime: 2}
	responder.Handle(env, "", message.JoinResponse{From: restarted})
	env.Drain()
	members, bytes := exchangeJoin(c, env, requester, responder)
	c.Assert(slices.Contains(members, restarted), qt.IsTrue)
	c.Assert(len(members) < 80/4, qt.IsTrue, qt.Commentf("%d members, %d bytes", len(members), bytes))
}

// A node without members receives all members.
func TestNewNodeReceivesAllMembers(t *testing.T) {
	c := qt.New(t)
	env := statemachine.NewEnv(1)
	requester, responder := newNodeWithMembers(env, "requester", 0), newNodeWithMembers(env, "responder", 80)
	members, _ := exchangeJoin(c, env, requester, responder)
	c.Assert(len(members) >= 80, qt.IsTrue)
}
