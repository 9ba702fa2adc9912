package quorum

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// claimState is what a process without a voter knows of the vacancies, and of its own claim.
type claimState struct {
	vacantSince map[string]time.Duration // by voter: when a majority first said that its holder is gone
	predecessor string                   // the identity that this process's claim replaces
}

// advanceClaim claims a voter when one is to be had, and drops a claim that another process has overtaken.
func (d *discoveredVoters) advanceClaim(env *statemachine.Env) {
	if d.State.Formed || d.State.Founder || d.writing || d.settings.NonVoter || d.leaving() || d.directory.Superseded() {
		return
	}
	list, voting := d.recentVoters(env)
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
		d.makeClaim(env, voter, list[voter])
	}
}

// chooseVoter picks the voter to claim: one recorded for this node or handed over to it, and else any whose
// holder is gone; "" for none.
func (d *discoveredVoters) chooseVoter(env *statemachine.Env, list memberList, voting []message.VoterStatus) string {
	reserved, vacant := "", []string{}
	for _, voter := range d.names() {
		if d.vacancyConfirmed(env, voter, voting) && d.placement().keepsSpread(list, voter, d.settings.Zone) {
			vacant = append(vacant, voter)
		}
		if parseIdentity(list[voter]).node == d.settings.Node || d.offeredToThisNode(env, voter, list[voter]) {
			reserved = voter
		}
	}
	if reserved == "" && len(vacant) > 0 {
		return vacant[env.Random.IntN(len(vacant))]
	}
	return reserved
}

// vacancyConfirmed says that a majority has reported the voter vacant for as long as a claim has to wait.
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

func (d *discoveredVoters) makeClaim(env *statemachine.Env, voter, holder string) {
	edition := parseIdentity(holder).edition + 1
	d.claim.predecessor = holder
	d.State.Voter, d.State.Identity = voter, d.newIdentity(env, edition)
	d.grants = map[string]message.VoterGrant{}
	d.claim.vacantSince = map[string]time.Duration{}
	d.writing = true
	env.Event(eventClaimed, 0, int64(edition), voter)
	d.storage.Persist(env, d.State, func(env *statemachine.Env, failure error) {
		d.writing = failure != nil
		d.nextStatusAt = env.Now
	})
}

// dropClaim gives a claim up. If some member lists have it already, they record the voter for this node, which
// claims it again before any other.
func (d *discoveredVoters) dropClaim(env *statemachine.Env, cause string) {
	env.Event(eventClaimDropped, 0, 0, d.State.Voter+": "+cause)
	d.State.Voter, d.grants = "", map[string]message.VoterGrant{}
	d.writing = true
	d.storage.Persist(env, d.State, func(_ *statemachine.Env, failure error) { d.writing = failure != nil })
}

// handleGrant collects grants. With those of a majority on one member list this process takes over the
// granters' states, and becomes a voter once all is written.
func (d *discoveredVoters) handleGrant(env *statemachine.Env, grant message.VoterGrant) {
	if grant.Refused {
		d.dropClaim(env, "refused by "+grant.Voter)
		return
	}
	d.grants[grant.Voter] = grant
	states := d.statesGrantedWith(grant.MemberList)
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

// statesGrantedWith lists the states told with the valid grants on one member list.
func (d *discoveredVoters) statesGrantedWith(list memberList) [][]byte {
	states := [][]byte{}
	for _, voter := range d.names() {
		grant, granted := d.grants[voter]
		sameList := maps.Equal(grant.MemberList, list) || guardsOff.grantsAlike
		if granted && sameList && d.validGranter(voter, grant) {
			states = append(states, grant.State)
		}
	}
	return states
}

// validGranter says that a grant is of the member that holds a voter by the granted list, or, for the voter
// claimed, of the holder that this process replaces.
func (d *discoveredVoters) validGranter(voter string, grant message.VoterGrant) bool {
	if voter == d.State.Voter {
		return d.claim.predecessor != "" && grant.Identity == d.claim.predecessor
	}
	return grant.MemberList[voter] == grant.Identity
}
