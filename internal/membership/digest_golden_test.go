package membership_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// requestedDigest returns the member list digest in a node's first join request.
func requestedDigest(c *qt.C, node *membership.Membership) []int64 {
	env := statemachine.NewEnv(1)
	node.Tick(env)
	for _, effect := range env.Drain() {
		sent, isDatagram := effect.(statemachine.Datagram)
		if !isDatagram {
			continue
		}
		if request, isRequest := sent.Message.(message.JoinRequest); isRequest {
			return request.MemberListDigest
		}
	}
	c.Fatal("the node sent no join request")
	return nil
}

// Nodes of different program versions compare digests of their member lists, so the digest must not
// change. It consists of sixteen sums. A member's sum is selected by the FNV-1a of its name, and its
// contribution is the FNV-1a of its name, address, start time, state and voter. A suspect counts as
// alive.
func TestMemberListDigestIsUnchanged(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.Seeds = []string{"10.0.0.2:1"}
	self := message.Member{
		Name: "registry/one", Role: message.RoleRegistry, Voter: "1", Zone: "east", Address: "10.0.0.1:1", StartTime: 100,
	}
	node := membership.New(cfg, self, nil)
	node.Handle(statemachine.NewEnv(1), "", message.JoinResponse{
		From: message.Member{Name: "registry/two", Role: message.RoleRegistry, Voter: "2", Address: "10.0.0.2:1", StartTime: 200},
		Members: []message.Member{
			{
				Name: "proxy/three", Role: message.RoleProxy, Address: "10.0.0.3:1",
				StartTime: 300, Incarnation: 4, State: message.Suspect,
			},
		},
	})
	want := make([]int64, 16)
	want[1] = -2524917792033246974
	want[11] = 6939118631230126029
	want[4] = -9163556885390142594
	c.Assert(requestedDigest(c, node), qt.DeepEquals, want)
}
