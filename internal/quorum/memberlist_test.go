package quorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// Of five voters, 1 acknowledges and is then lost; 3, 4 and 5 grant its voter to another process; 2, which collects
// the acknowledgements, is isolated and does not learn of it. The acknowledgement by the former holder of 1 must not
// count together with those signed with the newer member list.
func TestOldAckDoesNotCountWithNewOnes(t *testing.T) {
	c := qt.New(t)
	group, processes := newFormedCluster(c, 5, 5)
	collector := processes[1].quorum
	acks := map[string]string{"1": processes[0].quorum.Signature(), "2": collector.Signature()}
	c.Assert(collector.Majority(acks), qt.IsFalse)
	group.kill(processes[0], true)
	group.memberState["n1"] = message.Dead
	group.isolated["a2"] = true
	group.addProcess("fresh", "b1", false)
	group.run(5 * time.Second)
	c.Assert(group.voters()["1"], qt.Equals, "fresh")
	acks["3"] = processes[2].quorum.Signature()
	c.Assert(collector.Majority(acks), qt.IsFalse,
		qt.Commentf("acknowledgements of the former holder of 1, of 2 itself, and of 3 with the newer member list"))
	acks["4"] = processes[3].quorum.Signature()
	c.Assert(collector.Majority(acks), qt.IsFalse)
	c.Assert(processes[2].quorum.VerifySignature("2", acks["2"]), qt.IsFalse,
		qt.Commentf("a request signed with the older member list must not be accepted"))

	group.isolated["a2"] = false
	group.run(time.Second)
	c.Assert(collector.State.MemberList, qt.DeepEquals, processes[2].quorum.State.MemberList)
	c.Assert(collector.Majority(acks), qt.IsTrue, qt.Commentf("acknowledgements of 2, 3 and 4 with the same member list"))
	delete(acks, "4")
	c.Assert(collector.Majority(acks), qt.IsFalse, qt.Commentf("the acknowledgement of the former holder of 1 must not count"))
}

// A process must sign and accept nothing while it writes a newer member list: a crash during the write brings back the
// older list, so that no decision may have relied on the newer one by then.
func TestNothingIsSignedWhileAMemberListIsWritten(t *testing.T) {
	c := qt.New(t)
	_, processes := newFormedCluster(c, 3, 3)
	p := processes[0]
	newer := memberList(p.quorum.State.MemberList).withHolder("3", NewIdentity(1, 5, 6, "fresh"))
	signed := signature{identity: newer["2"], digest: newer.digest()}.String()
	oldSignature := p.quorum.Signature()
	p.quorum.Handle(p.env, "a2", message.VoterStatus{
		Group:      "config-log",
		Voter:      "2",
		Identity:   newer["2"],
		Formed:     true,
		Voting:     true,
		MemberList: newer,
	})
	c.Assert(p.quorum.Signature(), qt.Equals, "")
	c.Assert(p.quorum.VerifySignature("2", signed), qt.IsFalse)
	for _, write := range p.pendingWrites {
		write()
	}
	c.Assert(p.quorum.Signature(), qt.Not(qt.Equals), oldSignature)
	c.Assert(p.quorum.VerifySignature("2", signed), qt.IsTrue)
	c.Assert(memberList(p.disk.MemberList), qt.DeepEquals, newer)
}
