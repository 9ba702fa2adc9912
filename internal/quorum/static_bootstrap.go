package quorum

import (
	"maps"

	"beaconvane/internal/statemachine"
)

// advanceBootstrap proposes the member list of a new group, and forms the group once all voters have proposed the
// same list.
func (v *staticVoters) advanceBootstrap(env *statemachine.Env) {
	if v.State.Formed {
		return
	}
	list, complete := v.bootstrapList(env)
	if !complete {
		return
	}
	if !maps.Equal(list, v.State.Proposal) {
		v.propose(env, list)
		return
	}
	if v.proposedByAll(list) && v.proposalSynced {
		v.formGroup(env, list)
	}
}

// bootstrapList returns a member list with the current identities of all voters in the settings. complete reports
// whether each other voter has recently sent a status in which its group is not formed.
func (v *staticVoters) bootstrapList(env *statemachine.Env) (list memberList, complete bool) {
	list = memberList{v.Voter: v.State.Identity}
	for _, voter := range v.settings.Voters {
		if voter == v.Voter {
			continue
		}
		received, known := v.statuses[voter]
		if !known || received.status.Formed || !v.isRecent(env, received) {
			return nil, false
		}
		list[voter] = received.status.Identity
	}
	return list, true
}

// propose writes a proposal to disk. Only a synced proposal is sent to the other voters.
func (v *staticVoters) propose(env *statemachine.Env, list memberList) {
	v.State.Proposal = list
	v.proposalSynced = false
	v.storage.Persist(env, v.State, func(_ *statemachine.Env, failure error) {
		v.proposalSynced = failure == nil && maps.Equal(list, v.State.Proposal)
	})
}

// proposedByAll reports whether every other voter has sent a status with the same proposal.
func (v *staticVoters) proposedByAll(list memberList) bool {
	for _, voter := range v.settings.Voters {
		if voter != v.Voter && !maps.Equal(v.statuses[voter].status.Proposal, list) {
			return false
		}
	}
	return true
}

// formedFromProposal reports whether the list of a formed group is the one that this voter has proposed. A list that
// merely contains this voter's identity is not sufficient, because it may result from a claim, after which this
// process must first merge the states of both other voters.
func (v *staticVoters) formedFromProposal(list memberList) bool {
	return !v.State.Formed && v.proposalSynced && maps.Equal(list, v.State.Proposal)
}

// formGroup begins to vote in a new group with a member list.
func (v *staticVoters) formGroup(env *statemachine.Env, list memberList) {
	v.State.Formed, v.State.Voting = true, true
	v.State.MemberList = maps.Clone(list)
	v.startVoting(env, true, func(*statemachine.Env) {})
}
