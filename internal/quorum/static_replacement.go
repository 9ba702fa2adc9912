package quorum

import (
	"slices"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// mustClaim reports whether this process has to claim its voter: it has never voted with this identity, and either
// a formed group lists another identity for its voter or its own state contains a formed group.
func (v *staticVoters) mustClaim() bool {
	if v.State.Voting {
		return false
	}
	for _, received := range v.statuses {
		if received.status.Formed && received.status.MemberList[v.Voter] != v.State.Identity {
			return true
		}
	}
	return v.State.Formed
}

// handleClaim replaces the holder of a voter by the claimant and grants the claim once the new member list is
// synced. It refuses an identity that has already been replaced.
func (v *staticVoters) handleClaim(env *statemachine.Env, from string, claim message.VoterClaim) {
	if !v.Voting() {
		return
	}
	if slices.Contains(v.State.ReplacedIdentities, claim.Identity) {
		v.sendRefusal(env, from, claim)
		return
	}
	holder := v.State.MemberList[claim.Voter]
	if holder == "" && v.otherReplacementPending(claim.Voter) {
		return
	}
	if holder != claim.Identity {
		if holder != "" {
			v.State.ReplacedIdentities = append(v.State.ReplacedIdentities, holder)
		}
		v.State.MemberList[claim.Voter] = claim.Identity
		delete(v.statuses, claim.Voter)
		env.Event(eventReplaced, 0, 0, claim.Voter)
	}
	// If the list already contains the claimant, the write of that list may still be in progress; another write
	// queued after it completes later, so the grant is never sent before the list is synced.
	v.storage.Persist(env, v.State, func(env *statemachine.Env, failure error) {
		if failure == nil && v.accepts(claim.Voter, claim.Identity) {
			v.sendGrant(env, from, claim)
		}
	})
}

// sendRefusal tells a claimant that its identity can never be granted the voter.
func (v *staticVoters) sendRefusal(env *statemachine.Env, to string, claim message.VoterClaim) {
	env.Send(to, message.VoterGrant{
		Group:      v.Group,
		Voter:      v.Voter,
		Identity:   v.State.Identity,
		Claimant:   claim.Identity,
		Refused:    true,
		MemberList: map[string]string{},
	})
}

// otherReplacementPending reports whether another voter is being replaced. Two voters that ForceRecover has marked
// vacant are replaced one after the other, so that the second claimant merges the states of two voters.
func (v *staticVoters) otherReplacementPending(claimed string) bool {
	for _, voter := range v.settings.Voters {
		holder := v.State.MemberList[voter]
		if voter == v.Voter || voter == claimed || holder == "" {
			continue
		}
		status := v.statuses[voter].status
		if !status.Voting || status.Identity != holder {
			return true
		}
	}
	return false
}

// handleGrant collects grants. Once every voter that is not vacant has granted the claim on consistent member
// lists, this process merges the states of the granters and begins to vote.
func (v *staticVoters) handleGrant(env *statemachine.Env, grant message.VoterGrant) {
	if v.State.Voting || v.blockedOnWrite {
		return
	}
	if grant.Refused {
		v.handleRefusal(env, grant)
		return
	}
	v.grants[grant.Voter] = grant
	list, states, complete := v.listFromGrants()
	if !complete || !v.grantersAgree(list) {
		return
	}
	v.transfer.MergeGrantedStates(env, states)
	v.State.Formed, v.State.Voting, v.State.MemberList = true, true, list
	v.startVoting(env, false, func(*statemachine.Env) {})
}

// handleRefusal drops the refused identity if its state contains no formed group: such an identity has never voted,
// so the next tick can create another. Otherwise it sets Removed, which prevents this process from voting.
func (v *staticVoters) handleRefusal(env *statemachine.Env, grant message.VoterGrant) {
	if !v.State.Formed {
		env.Event(eventIdentityDropped, 0, 0, v.Voter)
		v.State.Identity, v.grants = "", map[string]message.VoterGrant{}
		return
	}
	if !v.Removed {
		env.Event(eventRemoved, int(errcode.VoterShutOut), 0, v.Voter+" refused by "+grant.Voter)
	}
	v.Removed = true
}

// listFromGrants returns the member list that results from the grants, and the granters' states. complete reports
// whether each other voter has granted the claim or is marked vacant.
func (v *staticVoters) listFromGrants() (list memberList, states [][]byte, complete bool) {
	list = memberList{v.Voter: v.State.Identity}
	for _, voter := range slices.Sorted(slices.Values(v.settings.Voters)) {
		if voter == v.Voter {
			continue
		}
		grant, granted := v.grants[voter]
		switch {
		case granted:
			list[voter] = grant.Identity
			states = append(states, grant.State)
		case v.markedVacant(voter):
			list[voter] = ""
		default:
			return nil, nil, false
		}
	}
	return list, states, true
}

// grantersAgree reports whether the member list of each granter contains the identities of all other granters. It
// drops the first grant whose list does not: one of the granters has been replaced in the meantime.
func (v *staticVoters) grantersAgree(list memberList) bool {
	for _, grant := range v.grants {
		for _, voter := range v.settings.Voters {
			if voter != v.Voter && grant.MemberList[voter] != list[voter] {
				delete(v.grants, grant.Voter)
				return false
			}
		}
	}
	return true
}

// markedVacant reports whether a granter's member list has no holder for a voter, because an operator's forced
// recovery (ForceRecover) has marked it vacant.
func (v *staticVoters) markedVacant(voter string) bool {
	for _, grant := range v.grants {
		if holder, listed := grant.MemberList[voter]; listed && holder == "" {
			return true
		}
	}
	return false
}
