package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// replies returns the request IDs of the replies among the effects collected so far.
func replies(env *statemachine.Env) []int64 {
	requestIDs := []int64{}
	for _, effect := range env.Drain() {
		if reply, isReply := effect.(statemachine.Reply); isReply {
			requestIDs = append(requestIDs, reply.RequestID)
		}
	}
	return requestIDs
}

// A sign-off is acknowledged once a majority of the registries have it on disk, each counted once, and not
// by confirmations of another incarnation: it was acknowledged while it was in memory only.
func TestSignOffWaitsForAMajority(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.Voters = settings.VoterNames(5)
	machine, env := New(cfg, message.Member{Name: "proxy/p", Role: message.RoleProxy, Address: "p"}), statemachine.NewEnv(1)
	ended := message.Deregistration{Service: "pay", Instance: "one", Incarnation: 2}
	earlier := message.Deregistration{Service: "pay", Instance: "one", Incarnation: 1}
	machine.HandleRequest(env, 0, SignedOff(ended))
	machine.HandleRequest(env, 7, AwaitStored{ended})
	c.Assert(replies(env), qt.HasLen, 0)
	confirm := func(registry string, deregistrations ...message.Deregistration) []int64 {
		machine.Handle(env, registry, message.DeregistrationsStored{Registry: registry, Deregistrations: deregistrations})
		return replies(env)
	}
	c.Assert(confirm("a", ended), qt.HasLen, 0)
	c.Assert(confirm("b", earlier), qt.HasLen, 0)
	c.Assert(confirm("a", ended), qt.HasLen, 0)
	c.Assert(confirm("b", earlier, ended), qt.HasLen, 0)
	c.Assert(confirm("c", ended), qt.DeepEquals, []int64{7})
	c.Assert(confirm("d", ended), qt.HasLen, 0)
	// The upstream repeats its call, since an answer may be lost.
	machine.HandleRequest(env, 0, SignedOff(ended))
	machine.HandleRequest(env, 8, AwaitStored{ended})
	c.Assert(replies(env), qt.DeepEquals, []int64{8})
}
