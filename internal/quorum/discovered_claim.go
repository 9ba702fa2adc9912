package quorum

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// claimState holds what a process without a voter knows about vacant voters and its own claim.
type claimState struct {
	vacantSince map[string]time.Duration // by voter: when a majority first reported that its holder is dead or has left
	predecessor string                   // the identity that this process's claim replaces
}

// advanceClaim claims a voter if one is available, and drops a claim that a later identity has superseded.
func (d *discoveredVoters) advanceClaim(env *statemachine.Env) {
	if d.State.Formed || d.State.Founder || d.blockedOnWrite || d.settings.NonVoter || d.leaving() || d.directory.Superseded() {
		return
	}
	list, voting := d.recentVotingStatuses(env)
	if d.State.Voter != "" {
		if list[d.State.Voter] > d.State.Identity {
			d.dropClaim(env, "another came first")
		}
		return
	}
	if len(voting) == 0 {
		return
	}
	if voter := d.chooseVoter(env, list, voting); voter != "" {
		d.startClaim(env, voter, list[voter])
	}
}

// chooseVoter returns the voter to claim: one that the member list records for this node, or whose holder hands it
// over to this node, and otherwise a random voter whose holder is dead or has left. It returns "" if there is none.
func (d *discoveredVoters) chooseVoter(env *statemachine.Env, list memberList, voting []message.VoterStatus) string {
	reserved, vacant := "", []string{}
	for _, voter := range d.voterNames() {
		if d.vacancyConfirmed(env, voter, voting) && d.placement().keepsSpread(list, voter, d.settings.Zone) {
			vacant = append(vacant, voter)
		}
		if parseIdentity(list[voter]).node == d.settings.Node || d.handedOverToThisNode(env, voter, list[voter]) {
			reserved = voter
		}
	}
	if reserved == "" && len(vacant) > 0 {
		return vacant[env.Random.IntN(len(vacant))]
	}
	return reserved
}

// vacancyConfirmed reports whether a majority has reported a voter as vacant for at least ClaimAfter.
func (d *discoveredVoters) vacancyConfirmed(env *statemachine.Env, voter string, voting []message.VoterStatus) bool {
	reports := 0
	for _, status := range voting {
		if slices.Contains(status.FreeVoters, voter) {
			reports++
		}
	}
	if reports < d.majority() {
		delete(d.claim.vacantSince, voter)
		return false
	}
	since, known := d.claim.vacantSince[voter]
	if !known {
		d.claim.vacantSince[voter] = env.Now
		return false
	}
	return env.Now-since >= d.settings.ClaimAfter()
}

// startClaim claims a voter with a new identity, whose edition is one more than the holder's. The claim is sent
// once it is synced.
func (d *discoveredVoters) startClaim(env *statemachine.Env, voter, holder string) {
	edition := parseIdentity(holder).edition + 1
	d.claim.predecessor = holder
	d.State.Voter, d.State.Identity = voter, d.newIdentity(env, edition)
	d.grants = map[string]message.VoterGrant{}
	d.claim.vacantSince = map[string]time.Duration{}
	d.blockedOnWrite = true
	env.Event(eventClaimed, 0, int64(edition), voter)
	d.storage.Persist(env, d.State, func(env *statemachine.Env, failure error) {
		d.blockedOnWrite = failure != nil
		d.nextStatusAt = env.Now
	})
}

// dropClaim abandons the claim. Member lists that already contain it record the voter for this node, which then
// prefers that voter for its next claim.
func (d *discoveredVoters) dropClaim(env *statemachine.Env, cause string) {
	env.Event(eventClaimDropped, 0, 0, d.State.Voter+": "+cause)
	d.State.Voter, d.grants = "", map[string]message.VoterGrant{}
	d.blockedOnWrite = true
	d.storage.Persist(env, d.State, func(_ *statemachine.Env, failure error) { d.blockedOnWrite = failure != nil })
}

// handleGrant collects grants. Once a majority has granted the claim on the same member list, this process merges
// the granters' states, and becomes a voter when the result is synced.
func (d *discoveredVoters) handleGrant(env *statemachine.Env, grant message.VoterGrant) {
	if grant.Refused {
		d.dropClaim(env, "refused by "+grant.Voter)
		return
	}
	d.grants[grant.Voter] = grant
	states := d.statesFromMatchingGrants(grant.MemberList)
	enough := len(states) >= d.majority() || guardsOff.enoughGrants
	if !enough || grant.MemberList[d.State.Voter] != d.State.Identity {
		return
	}
	d.Voter = d.State.Voter
	if !guardsOff.grantedState {
		d.transfer.MergeGrantedStates(env, states)
	}
	d.State.Formed, d.State.Voting = true, true
	d.setMemberList(maps.Clone(grant.MemberList))
	d.grants = map[string]message.VoterGrant{}
	d.startVoting(env, false, d.announceVoter)
}

// statesFromMatchingGrants returns the states in those valid grants whose member list equals list.
func (d *discoveredVoters) statesFromMatchingGrants(list memberList) [][]byte {
	states := [][]byte{}
	for _, voter := range d.voterNames() {
		grant, granted := d.grants[voter]
		sameList := maps.Equal(grant.MemberList, list) || guardsOff.grantsAlike
		if granted && sameList && d.validGranter(voter, grant) {
			states = append(states, grant.State)
		}
	}
	return states
}

// validGranter reports whether a grant for a voter is from the voter's holder: by the granted member list or, for the
// claimed voter, the holder that this process replaces.
func (d *discoveredVoters) validGranter(voter string, grant message.VoterGrant) bool {
	if voter == d.State.Voter {
		return d.claim.predecessor != "" && grant.Identity == d.claim.predecessor
	}
	return grant.MemberList[voter] == grant.Identity
}
