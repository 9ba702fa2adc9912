package quorum

import (
	"maps"

	"beaconvane/internal/statemachine"
)

// advanceBootstrap proposes the member list of a new group, and forms the group once all its voters have
// proposed the same list.
func (v *staticVoters) advanceBootstrap(env *statemachine.Env) {
	if v.State.Formed {
		return
	}
	list, complete := v.emptyVoters(env)
	if !complete {
		return
	}
	if !maps.Equal(list, v.State.Proposal) {
		v.propose(env, list)
		return
	}
	if v.proposedByAll(list) && v.proposalSynced {
		v.form(env, list)
	}
}

// emptyVoters is the member list of all voters of the settings; complete says that each other was heard
// recently, without a formed group.
func (v *staticVoters) emptyVoters(env *statemachine.Env) (list memberList, complete bool) {
	list = memberList{v.Voter: v.State.Identity}
	for _, voter := range v.settings.Voters {
		if voter == v.Voter {
			continue
		}
		received, known := v.statuses[voter]
		if !known || received.status.Formed || !v.recent(env, received) {
			return nil, false
		}
		list[voter] = received.status.Identity
	}
	return list, true
}

func (v *staticVoters) propose(env *statemachine.Env, list memberList) {
	v.State.Proposal = list
	v.proposalSynced = false
	v.storage.Persist(env, v.State, func(_ *statemachine.Env, failure error) {
		v.proposalSynced = failure == nil && maps.Equal(list, v.State.Proposal)
	})
}

func (v *staticVoters) proposedByAll(list memberList) bool {
	for _, voter := range v.settings.Voters {
		if voter != v.Voter && !maps.Equal(v.statuses[voter].status.Proposal, list) {
			return false
		}
	}
	return true
}

// completesProposal says that a group was formed with the member list that this voter has proposed. A list
// that merely has a newcomer is not enough: that one must read both others first.
func (v *staticVoters) completesProposal(list memberList) bool {
	return !v.State.Formed && v.proposalSynced && maps.Equal(list, v.State.Proposal)
}

func (v *staticVoters) form(env *statemachine.Env, list memberList) {
	v.State.Formed, v.State.Voting = true, true
	v.State.MemberList = maps.Clone(list)
	v.startVoting(env, true, func(*statemachine.Env) {})
}
