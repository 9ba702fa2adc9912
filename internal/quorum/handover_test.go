// A voter that leaves by plan, and losses in the middle of it.

package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// leaving is a group with a newcomer, whose last voter has begun to hand over.
func leaving(c *qt.C, count int64) (*fleet, []*process, *process) {
	group, processes := founded(c, int(count), count)
	for _, p := range processes {
		p.replicatedState = "kept by " + p.node
	}
	newcomer := group.join("fresh", "b1", false)
	group.run(time.Second)
	last := processes[count-1]
	c.Assert(last.quorum.handOver(last.machineEnv), qt.IsTrue)
	return group, processes, newcomer
}

func TestLeavingVoterHandsOver(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		group, processes, newcomer := leaving(c, count)
		last := processes[count-1]
		group.run(400 * time.Millisecond)
		c.Assert(last.quorum.handedOver(), qt.IsTrue)
		c.Assert(last.quorum.Voting(), qt.IsFalse)
		c.Assert(last.quorum.Signature(), qt.Equals, "")
		c.Assert(newcomer.quorum.Voting(), qt.IsTrue)
		c.Assert(group.voters(), qt.HasLen, int(count))
	}
}

func TestNothingIsHandedOverWithoutANewcomer(t *testing.T) {
	c := qt.New(t)
	_, processes := founded(c, 3, 3)
	c.Assert(processes[2].quorum.handOver(processes[2].machineEnv), qt.IsFalse)
	c.Assert(processes[2].quorum.Voting(), qt.IsTrue)
}

// Another voter is lost for good at any moment of the hand-over: the newcomer stands by
// the grant of the leaving one, and a majority is left.
func TestLossInTheMiddleOfAHandOver(t *testing.T) {
	c := qt.New(t)
	reached, byLeaving := 0, 0
	for steps := range 12 {
		group, processes, newcomer := leaving(c, 3)
		group.run(time.Duration(steps) * step)
		if newcomer.quorum.State.Voter != "" && !newcomer.quorum.Voting() {
			reached++
		}
		group.kill(processes[1], true)
		group.memberState["n2"] = message.Dead
		group.run(3 * time.Second)
		voters := group.voters()
		c.Assert(len(voters) >= 2, qt.IsTrue, qt.Commentf("lost after %d steps: %v %v", steps, voters, group.events))
		c.Assert(voters["3"], qt.Equals, "fresh", qt.Commentf("lost after %d steps", steps))
		if slices.Contains(newcomer.merged, "kept by n3") {
			byLeaving++
		}
		first, second := processes[0].quorum, newcomer.quorum
		acks := map[string]string{"1": first.Signature(), "3": second.Signature()}
		c.Assert(first.Majority(acks), qt.IsTrue, qt.Commentf("lost after %d steps", steps))
	}
	c.Assert(reached > 0, qt.IsTrue, qt.Commentf("the loss never came in the middle"))
	c.Assert(byLeaving > 0, qt.IsTrue, qt.Commentf("no newcomer stood by the leaving voter's grant"))
}

// A released voter that is started again on its disk is a newcomer and forgets what it held.
func TestReleasedVoterComesBackAsNewcomer(t *testing.T) {
	c := qt.New(t)
	group, processes, _ := leaving(c, 3)
	group.run(time.Second)
	group.kill(processes[2], false)
	group.run(time.Second)
	processes[2].boot(false)
	group.run(2 * time.Second)
	c.Assert(processes[2].quorum.Voting(), qt.IsFalse)
	c.Assert(processes[2].discarded, qt.Equals, 1)
	c.Assert(processes[2].quorum.Standby(processes[2].machineEnv), qt.IsTrue)
	c.Assert(group.voters()["3"], qt.Equals, "fresh")
}

// A claim on the voter of a living holder is granted to its successor only.
func TestOnlyTheSuccessorIsGranted(t *testing.T) {
	c := qt.New(t)
	group, processes, newcomer := leaving(c, 3)
	group.isolated["b1"] = true
	group.run(400 * time.Millisecond)
	claim := message.VoterClaim{Group: "config-log", Voter: "3", Identity: NewIdentity(7, 1, 2, "thief")}
	for _, p := range processes {
		p.quorum.Handle(p.machineEnv, "b9", claim)
		group.deliver()
		c.Assert(parseIdentity(p.quorum.State.MemberList["3"]).node, qt.Equals, "n3", qt.Commentf(fmt.Sprint(p.node)))
	}
	group.isolated["b1"] = false
	group.run(time.Second)
	c.Assert(newcomer.quorum.Voting(), qt.IsTrue)
}
