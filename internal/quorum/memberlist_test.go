package quorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// Five voters: 1 said yes and was then lost; 3, 4 and 5 let another take its voter; the
// holder, 2, hears of that from none of them. The old yes must not count with new ones.
func TestOldAckDoesNotCountWithNewOnes(t *testing.T) {
	c := qt.New(t)
	group, processes := founded(c, 5, 5)
	holder := processes[1].quorum
	acks := map[string]string{"1": processes[0].quorum.Signature(), "2": holder.Signature()}
	c.Assert(holder.Majority(acks), qt.IsFalse)
	group.kill(processes[0], true)
	group.memberState["n1"] = message.Dead
	group.isolated["a2"] = true
	group.join("fresh", "b1", false)
	group.run(5 * time.Second)
	c.Assert(group.voters()["1"], qt.Equals, "fresh")
	acks["3"] = processes[2].quorum.Signature()
	c.Assert(holder.Majority(acks), qt.IsFalse, qt.Commentf("1's old yes, 2's own and 3's of the newer member list"))
	acks["4"] = processes[3].quorum.Signature()
	c.Assert(holder.Majority(acks), qt.IsFalse)
	c.Assert(processes[2].quorum.VerifySignature("2", acks["2"]), qt.IsFalse,
		qt.Commentf("what the holder asks on the older member list is not answered"))

	group.isolated["a2"] = false
	group.run(time.Second)
	c.Assert(holder.State.MemberList, qt.DeepEquals, processes[2].quorum.State.MemberList)
	c.Assert(holder.Majority(acks), qt.IsTrue, qt.Commentf("2, 3 and 4 on one member list"))
	delete(acks, "4")
	c.Assert(holder.Majority(acks), qt.IsFalse, qt.Commentf("1's old yes is void"))
}

// While a newer member list is being written nothing is signed; after a crash in between the
// older one stands again and nothing of the newer was relied on.
func TestNothingIsSignedWhileAMemberListIsWritten(t *testing.T) {
	c := qt.New(t)
	_, processes := founded(c, 3, 3)
	p := processes[0]
	newer := memberList(p.quorum.State.MemberList).with("3", NewIdentity(1, 5, 6, "fresh"))
	signed := signature{identity: newer["2"], digest: newer.digest()}.String()
	old := p.quorum.Signature()
	p.quorum.Handle(p.machineEnv, "a2", message.VoterStatus{
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
	c.Assert(p.quorum.Signature(), qt.Not(qt.Equals), old)
	c.Assert(p.quorum.VerifySignature("2", signed), qt.IsTrue)
	c.Assert(memberList(p.disk.MemberList), qt.DeepEquals, newer)
}
