package quorum

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// A process that lost its disk must take its voter back under a new identity, with the states of a majority.
func TestWipedDiskReclaimsVoterByNodeName(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		group, processes := newFormedCluster(c, int(count), count)
		for _, p := range processes {
			p.replicatedState = "state of " + p.node
		}
		oldIdentity := processes[1].quorum.State.Identity
		group.kill(processes[1], true)
		group.run(time.Second)
		processes[1].boot(false)
		group.run(time.Second)
		c.Assert(group.voters()["2"], qt.Equals, "n2")
		c.Assert(processes[1].quorum.State.Identity, qt.Not(qt.Equals), oldIdentity)
		c.Assert(len(processes[1].mergedStates) >= int(count)/2+1, qt.IsTrue)
		c.Assert(processes[1].announcedVoter, qt.Equals, "2")
		group.run(time.Second)
		for _, p := range processes {
			c.Assert(p.quorum.State.MemberList, qt.DeepEquals, processes[0].quorum.State.MemberList)
		}
	}
}

// A process without a voter must claim one only after its holder is dead, not while it is alive or suspected.
func TestClaimOnlyAfterHolderIsDead(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		group, processes := newFormedCluster(c, int(count), count)
		claimant := group.addProcess("fresh", "b1", false)
		before := maps.Clone(processes[0].quorum.State.MemberList)
		for _, state := range []int64{message.Alive, message.Suspect} {
			group.memberState["n3"] = state
			group.run(6 * time.Second)
			c.Assert(claimant.quorum.Voting(), qt.IsFalse)
			c.Assert(processes[0].quorum.State.MemberList, qt.DeepEquals, before)
		}
		group.kill(processes[2], false)
		group.memberState["n3"] = message.Dead
		group.run(4 * time.Second)
		c.Assert(group.voters()["3"], qt.Equals, "fresh")
		c.Assert(group.voters(), qt.HasLen, int(count))

		// The former holder restarts with its old disk and considers itself a voter. Its signatures must not count, and
		// it must become a standby once it learns of its replacement.
		group.memberState["n3"] = message.Alive
		processes[2].replicatedState = "old"
		processes[2].boot(false)
		c.Assert(processes[2].quorum.Voting(), qt.IsTrue)
		c.Assert(processes[0].quorum.VerifySignature("3", processes[2].quorum.Signature()), qt.IsFalse)
		c.Assert(processes[2].quorum.VerifySignature("1", processes[0].quorum.Signature()), qt.IsFalse)
		group.run(4 * time.Second)
		c.Assert(processes[2].quorum.Voting(), qt.IsFalse)
		c.Assert(processes[2].quorum.Removed, qt.IsFalse)
		c.Assert(processes[2].discardCount, qt.Equals, 1)
		c.Assert(processes[2].quorum.Standby(processes[2].env), qt.IsTrue)
		c.Assert(group.voters()["3"], qt.Equals, "fresh")

		// The standby must claim the next vacant voter.
		group.kill(processes[0], true)
		group.memberState["n1"] = message.Left
		group.run(5 * time.Second)
		c.Assert(group.voters()["1"], qt.Equals, "n3")
	}
}

// A claim on the voter of a live holder is sent to a granter directly, without the checks that a claimant makes. The
// granter must refuse it.
func TestClaimOnALivingVoterIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, state := range []int64{message.Alive, message.Suspect} {
		group, processes := newFormedCluster(c, 3, 3)
		group.memberState["n3"] = state
		claim := message.VoterClaim{Group: "config-log", Voter: "3", Identity: NewIdentity(7, 1, 2, "other")}
		processes[0].quorum.Handle(processes[0].env, "b9", claim)
		refused := false
		for _, effect := range processes[0].env.Drain() {
			if sent, isSend := effect.(statemachine.Send); isSend {
				grant, isGrant := sent.Message.(message.VoterGrant)
				refused = refused || isGrant && grant.Refused
			}
		}
		c.Assert(refused, qt.IsTrue)
		c.Assert(parseIdentity(processes[0].quorum.State.MemberList["3"]).node, qt.Equals, "n3")
	}
}

// A claim must wait while one of the granters that it needs is down, and succeed after that granter has restarted.
func TestPartlyGrantedClaimWaitsForGranter(t *testing.T) {
	c := qt.New(t)
	group, processes := newFormedCluster(c, 3, 3)
	group.kill(processes[2], false)
	group.memberState["n3"] = message.Dead
	claimant := group.addProcess("fresh", "b1", false)
	for range 200 {
		group.run(tickInterval)
		if parseIdentity(processes[0].quorum.State.MemberList["3"]).node == "fresh" || claimant.quorum.State.Voter != "" {
			break
		}
	}
	c.Assert(claimant.quorum.State.Voter, qt.Equals, "3")
	group.kill(processes[1], false)
	group.run(5 * time.Second)
	c.Assert(claimant.quorum.Voting(), qt.IsFalse)
	processes[1].boot(false)
	group.run(time.Second)
	c.Assert(group.voters()["3"], qt.Equals, "fresh")
	c.Assert(group.voters(), qt.HasLen, 3)
}

// More processes than there are vacant voters claim at the same time: two for one vacancy, and three for two. Each
// voter must end up with exactly one holder.
func TestConcurrentClaims(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		for seed := range 10 {
			group, processes := newFormedCluster(c, int(count), count)
			lostVoters := int(count) / 2
			for index := range lostVoters {
				group.kill(processes[index], true)
				group.memberState[processes[index].node] = message.Dead
			}
			for number := range lostVoters + 1 {
				group.addProcess(fmt.Sprintf("fresh%d", number), fmt.Sprintf("b%d", number+seed*7), false)
			}
			group.run(12 * time.Second)
			c.Assert(group.voters(), qt.HasLen, int(count), qt.Commentf("%d voters, seed %d: %v", count, seed, group.events))
			names := slices.Sorted(maps.Values(group.voters()))
			c.Assert(slices.Compact(names), qt.HasLen, int(count))
		}
	}
}

// A process whose node name belongs to a later process must not claim that node's voter.
func TestSupersededNameClaimsNothing(t *testing.T) {
	c := qt.New(t)
	group, processes := newFormedCluster(c, 3, 3)
	group.kill(processes[2], true)
	duplicate := group.addProcess("n3", "b3", false)
	duplicate.superseded = true
	group.run(4 * time.Second)
	c.Assert(duplicate.quorum.Voting(), qt.IsFalse)
	c.Assert(parseIdentity(processes[0].quorum.State.MemberList["3"]).node, qt.Equals, "n3")
	c.Assert(parseIdentity(processes[0].quorum.State.MemberList["3"]).edition, qt.Equals, uint64(0))
}

// Grants of two voters with different member lists must not form a majority.
func TestGrantsOfTwoMemberListsDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	group, processes := newFormedCluster(c, 3, 3)
	group.kill(processes[2], true)
	processes[2].boot(false)
	claimant := processes[2].quorum
	for claimant.State.Voter == "" || claimant.blockedOnWrite {
		group.run(tickInterval)
		c.Assert(claimant.Voting(), qt.IsFalse)
	}
	list := maps.Clone(processes[0].quorum.State.MemberList)
	list["3"] = claimant.State.Identity
	other := maps.Clone(list)
	other["2"] = NewIdentity(3, 1, 1, "n2")
	grant := func(voter string, list map[string]string) {
		claimant.Handle(processes[2].env, "a"+voter, message.VoterGrant{
			Group:      "config-log",
			Voter:      voter,
			Identity:   list[voter],
			Claimant:   claimant.State.Identity,
			MemberList: list,
			State:      []byte{},
		})
	}
	claimant.grants = map[string]message.VoterGrant{}
	grant("1", other)
	grant("2", list)
	c.Assert(claimant.State.Formed, qt.IsFalse)
	grant("1", list)
	c.Assert(claimant.State.Formed, qt.IsTrue)
}
