package quorum

import (
	"slices"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// mustClaim says that this process is a newcomer: it never voted, and a formed group has another identity
// for its voter, or it knows a formed group itself.
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

func (v *staticVoters) handleClaim(env *statemachine.Env, from string, claim message.VoterClaim) {
	if !v.Voting() {
		return
	}
	if slices.Contains(v.State.ReplacedIdentities, claim.Identity) {
		v.refuse(env, from, claim)
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
	// Where the list has the claimant already, its write may be under way; a write behind it keeps the order.
	v.storage.Persist(env, v.State, func(env *statemachine.Env, failure error) {
		if failure == nil && v.accepts(claim.Voter, claim.Identity) {
			v.sendGrant(env, from, claim)
		}
	})
}

func (v *staticVoters) refuse(env *statemachine.Env, to string, claim message.VoterClaim) {
	env.Send(to, message.VoterGrant{
		Group:      v.Group,
		Voter:      v.Voter,
		Identity:   v.State.Identity,
		Claimant:   claim.Identity,
		Refused:    true,
		MemberList: map[string]string{},
	})
}

// otherReplacementPending says that another voter is being replaced. Of two voters that were given up one is
// replaced first, so that the second newcomer has two to read.
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

func (v *staticVoters) handleGrant(env *statemachine.Env, grant message.VoterGrant) {
	if v.State.Voting || v.writing {
		return
	}
	if grant.Refused {
		v.handleRefusal(env, grant)
		return
	}
	v.grants[grant.Voter] = grant
	list, states, complete := v.grantedList()
	if !complete || !v.grantersAgree(list) {
		return
	}
	v.transfer.MergeGrantedStates(env, states)
	v.State.Formed, v.State.Voting, v.State.MemberList = true, true, list
	v.startVoting(env, false, func(*statemachine.Env) {})
}

// handleRefusal takes another identity where nothing rests on this one yet, since it never voted.
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

// grantedList is the member list by the grants, and the states told with them; complete says that each other
// voter has granted or was given up.
func (v *staticVoters) grantedList() (list memberList, states [][]byte, complete bool) {
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
		case v.givenUp(voter):
			list[voter] = ""
		default:
			return nil, nil, false
		}
	}
	return list, states, true
}

// grantersAgree says that the granters' member lists have each other. A granter whose list has not is dropped:
// one of them is not who it was.
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

// givenUp says that by a granter's member list an operator has given the voter up.
func (v *staticVoters) givenUp(voter string) bool {
	for _, grant := range v.grants {
		if holder, listed := grant.MemberList[voter]; listed && holder == "" {
			return true
		}
	}
	return false
}
