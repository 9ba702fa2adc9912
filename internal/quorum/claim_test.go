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

func TestWipedFindsItsVoterByName(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		group, processes := founded(c, int(count), count)
		for _, p := range processes {
			p.replicatedState = "kept by " + p.node
		}
		old := processes[1].quorum.State.Identity
		group.kill(processes[1], true)
		group.run(time.Second)
		processes[1].boot(false)
		group.run(time.Second)
		c.Assert(group.voters()["2"], qt.Equals, "n2")
		c.Assert(processes[1].quorum.State.Identity, qt.Not(qt.Equals), old)
		c.Assert(len(processes[1].merged) >= int(count)/2+1, qt.IsTrue)
		c.Assert(processes[1].announced, qt.Equals, "2")
		group.run(time.Second)
		for _, p := range processes {
			c.Assert(p.quorum.State.MemberList, qt.DeepEquals, processes[0].quorum.State.MemberList)
		}
	}
}

func TestNewcomerTakesOnlyADeadVoter(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		group, processes := founded(c, int(count), count)
		newcomer := group.join("fresh", "b1", false)
		before := maps.Clone(processes[0].quorum.State.MemberList)
		for _, state := range []int64{message.Alive, message.Suspect} {
			group.memberState["n3"] = state
			group.run(6 * time.Second)
			c.Assert(newcomer.quorum.Voting(), qt.IsFalse)
			c.Assert(processes[0].quorum.State.MemberList, qt.DeepEquals, before)
		}
		group.kill(processes[2], false)
		group.memberState["n3"] = message.Dead
		group.run(4 * time.Second)
		c.Assert(group.voters()["3"], qt.Equals, "fresh")
		c.Assert(group.voters(), qt.HasLen, int(count))

		// The old one comes back with its disk: nobody takes its word, and it is a spare.
		group.memberState["n3"] = message.Alive
		processes[2].replicatedState = "old"
		processes[2].boot(false)
		c.Assert(processes[2].quorum.Voting(), qt.IsTrue)
		c.Assert(processes[0].quorum.VerifySignature("3", processes[2].quorum.Signature()), qt.IsFalse)
		c.Assert(processes[2].quorum.VerifySignature("1", processes[0].quorum.Signature()), qt.IsFalse)
		group.run(4 * time.Second)
		c.Assert(processes[2].quorum.Voting(), qt.IsFalse)
		c.Assert(processes[2].quorum.Removed, qt.IsFalse)
		c.Assert(processes[2].discarded, qt.Equals, 1)
		c.Assert(processes[2].quorum.Standby(processes[2].machineEnv), qt.IsTrue)
		c.Assert(group.voters()["3"], qt.Equals, "fresh")

		// And takes the next voter that falls free.
		group.kill(processes[0], true)
		group.memberState["n1"] = message.Left
		group.run(5 * time.Second)
		c.Assert(group.voters()["1"], qt.Equals, "n3")
	}
}

// A claim sent straight to the granters, past the newcomer's own judgement.
func TestClaimOnALivingVoterIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, state := range []int64{message.Alive, message.Suspect} {
		group, processes := founded(c, 3, 3)
		group.memberState["n3"] = state
		claim := message.VoterClaim{Group: "config-log", Voter: "3", Identity: NewIdentity(7, 1, 2, "thief")}
		processes[0].quorum.Handle(processes[0].machineEnv, "b9", claim)
		refused := false
		for _, effect := range processes[0].machineEnv.Drain() {
			if sent, isSend := effect.(statemachine.Send); isSend {
				grant, isGrant := sent.Message.(message.VoterGrant)
				refused = refused || isGrant && grant.Refused
			}
		}
		c.Assert(refused, qt.IsTrue)
		c.Assert(parseIdentity(processes[0].quorum.State.MemberList["3"]).node, qt.Equals, "n3")
	}
}

// A claim waits while a granter is away, and is made whole when it is back.
func TestHalfMadeClaimWaits(t *testing.T) {
	c := qt.New(t)
	group, processes := founded(c, 3, 3)
	group.kill(processes[2], false)
	group.memberState["n3"] = message.Dead
	newcomer := group.join("fresh", "b1", false)
	for range 200 {
		group.run(step)
		if parseIdentity(processes[0].quorum.State.MemberList["3"]).node == "fresh" || newcomer.quorum.State.Voter != "" {
			break
		}
	}
	c.Assert(newcomer.quorum.State.Voter, qt.Equals, "3")
	group.kill(processes[1], false)
	group.run(5 * time.Second)
	c.Assert(newcomer.quorum.Voting(), qt.IsFalse)
	processes[1].boot(false)
	group.run(time.Second)
	c.Assert(group.voters()["3"], qt.Equals, "fresh")
	c.Assert(group.voters(), qt.HasLen, 3)
}

// Two newcomers after one voter, and two after two voters.
func TestRivalNewcomers(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		for seed := range 10 {
			group, processes := founded(c, int(count), count)
			gone := int(count) / 2
			for index := range gone {
				group.kill(processes[index], true)
				group.memberState[processes[index].node] = message.Dead
			}
			for number := range gone + 1 {
				group.join(fmt.Sprintf("fresh%d", number), fmt.Sprintf("b%d", number+seed*7), false)
			}
			group.run(12 * time.Second)
			c.Assert(group.voters(), qt.HasLen, int(count), qt.Commentf("%d voters, seed %d: %v", count, seed, group.events))
			names := slices.Sorted(maps.Values(group.voters()))
			c.Assert(slices.Compact(names), qt.HasLen, int(count))
		}
	}
}

func TestSupersededNameClaimsNothing(t *testing.T) {
	c := qt.New(t)
	group, processes := founded(c, 3, 3)
	group.kill(processes[2], true)
	twin := group.join("n3", "b3", false)
	twin.superseded = true
	group.run(4 * time.Second)
	c.Assert(twin.quorum.Voting(), qt.IsFalse)
	c.Assert(parseIdentity(processes[0].quorum.State.MemberList["3"]).node, qt.Equals, "n3")
	c.Assert(parseIdentity(processes[0].quorum.State.MemberList["3"]).edition, qt.Equals, uint64(0))
}

// Two grants on two member lists are not one decision.
func TestGrantsOfTwoMemberListsDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	group, processes := founded(c, 3, 3)
	group.kill(processes[2], true)
	processes[2].boot(false)
	newcomer := processes[2].quorum
	for newcomer.State.Voter == "" || newcomer.writing {
		group.run(step)
		c.Assert(newcomer.Voting(), qt.IsFalse)
	}
	memberList := maps.Clone(processes[0].quorum.State.MemberList)
	memberList["3"] = newcomer.State.Identity
	other := maps.Clone(memberList)
	other["2"] = NewIdentity(3, 1, 1, "n2")
	grant := func(voter string, memberList map[string]string) {
		newcomer.Handle(processes[2].machineEnv, "a"+voter, message.VoterGrant{
			Group:      "config-log",
			Voter:      voter,
			Identity:   memberList[voter],
			Claimant:   newcomer.State.Identity,
			MemberList: memberList,
			State:      []byte{},
		})
	}
	newcomer.grants = map[string]message.VoterGrant{}
	grant("1", other)
	grant("2", memberList)
	c.Assert(newcomer.State.Formed, qt.IsFalse)
	grant("1", memberList)
	c.Assert(newcomer.State.Formed, qt.IsTrue)
}
