// Tests of planned handovers, with and without further losses.

package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// newLeavingCluster returns a formed cluster with a standby process, whose last voter has begun its handover.
func newLeavingCluster(c *qt.C, count int64) (*cluster, []*process, *process) {
	group, processes := newFormedCluster(c, int(count), count)
	for _, p := range processes {
		p.replicatedState = "state of " + p.node
	}
	successor := group.addProcess("fresh", "b1", false)
	group.run(time.Second)
	leavingProcess := processes[count-1]
	c.Assert(leavingProcess.quorum.handOver(leavingProcess.env), qt.IsTrue)
	return group, processes, successor
}

// A handover must complete within 400 ms of simulated time, after which the former holder neither votes nor signs.
func TestLeavingVoterHandsOver(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		group, processes, successor := newLeavingCluster(c, count)
		leavingProcess := processes[count-1]
		group.run(400 * time.Millisecond)
		c.Assert(leavingProcess.quorum.handedOver(), qt.IsTrue)
		c.Assert(leavingProcess.quorum.Voting(), qt.IsFalse)
		c.Assert(leavingProcess.quorum.Signature(), qt.Equals, "")
		c.Assert(successor.quorum.Voting(), qt.IsTrue)
		c.Assert(group.voters(), qt.HasLen, int(count))
	}
}

// Without an eligible successor a voter must not begin a handover, and must continue to vote.
func TestNoHandoverWithoutSuccessor(t *testing.T) {
	c := qt.New(t)
	_, processes := newFormedCluster(c, 3, 3)
	c.Assert(processes[2].quorum.handOver(processes[2].env), qt.IsFalse)
	c.Assert(processes[2].quorum.Voting(), qt.IsTrue)
}

// Another voter is lost permanently after each number of ticks of a handover. The successor must still complete its
// claim, with the grant of the leaving voter, so that a majority is left.
func TestLossInTheMiddleOfAHandOver(t *testing.T) {
	c := qt.New(t)
	lossesDuringClaim, grantsByLeavingVoter := 0, 0
	for ticks := range 12 {
		group, processes, successor := newLeavingCluster(c, 3)
		group.run(time.Duration(ticks) * tickInterval)
		if successor.quorum.State.Voter != "" && !successor.quorum.Voting() {
			lossesDuringClaim++
		}
		group.kill(processes[1], true)
		group.memberState["n2"] = message.Dead
		group.run(3 * time.Second)
		voters := group.voters()
		c.Assert(len(voters) >= 2, qt.IsTrue, qt.Commentf("lost after %d ticks: %v %v", ticks, voters, group.events))
		c.Assert(voters["3"], qt.Equals, "fresh", qt.Commentf("lost after %d ticks", ticks))
		if slices.Contains(successor.mergedStates, "state of n3") {
			grantsByLeavingVoter++
		}
		first, second := processes[0].quorum, successor.quorum
		acks := map[string]string{"1": first.Signature(), "3": second.Signature()}
		c.Assert(first.Majority(acks), qt.IsTrue, qt.Commentf("lost after %d ticks", ticks))
	}
	c.Assert(lossesDuringClaim > 0, qt.IsTrue, qt.Commentf("no loss occurred during the successor's claim"))
	c.Assert(grantsByLeavingVoter > 0, qt.IsTrue, qt.Commentf("no successor used the leaving voter's grant"))
}

// A process that released its voter and is restarted with its disk must discard the voter's state and become a standby.
func TestReleasedVoterRestartsWithoutVoter(t *testing.T) {
	c := qt.New(t)
	group, processes, _ := newLeavingCluster(c, 3)
	group.run(time.Second)
	group.kill(processes[2], false)
	group.run(time.Second)
	processes[2].boot(false)
	group.run(2 * time.Second)
	c.Assert(processes[2].quorum.Voting(), qt.IsFalse)
	c.Assert(processes[2].discardCount, qt.Equals, 1)
	c.Assert(processes[2].quorum.Standby(processes[2].env), qt.IsTrue)
	c.Assert(group.voters()["3"], qt.Equals, "fresh")
}

// While a live holder hands its voter over, only a claim of the successor it has named may be granted.
func TestOnlyTheSuccessorIsGranted(t *testing.T) {
	c := qt.New(t)
	group, processes, successor := newLeavingCluster(c, 3)
	group.isolated["b1"] = true
	group.run(400 * time.Millisecond)
	claim := message.VoterClaim{Group: "config-log", Voter: "3", Identity: NewIdentity(7, 1, 2, "other")}
	for _, p := range processes {
		p.quorum.Handle(p.env, "b9", claim)
		group.deliver()
		c.Assert(parseIdentity(p.quorum.State.MemberList["3"]).node, qt.Equals, "n3", qt.Commentf(fmt.Sprint(p.node)))
	}
	group.isolated["b1"] = false
	group.run(time.Second)
	c.Assert(successor.quorum.Voting(), qt.IsTrue)
}
