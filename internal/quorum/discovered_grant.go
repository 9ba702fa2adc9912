package quorum

import (
	"maps"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handleClaim grants or refuses another process's claim on a voter. A grant is sent only after the member list with
// the claimant is synced; from then on this process signs nothing with the previous list.
func (d *discoveredVoters) handleClaim(env *statemachine.Env, from string, claim message.VoterClaim) {
	if d.leaving() && claim.Voter == d.Voter {
		d.releaseVoter(env, from, claim)
		return
	}
	holder, listed := d.State.MemberList[claim.Voter]
	if !d.Voting() || d.list.pendingWrites > 0 || !listed {
		return
	}
	switch {
	case claim.Identity == holder:
		d.grantIfListed(env, from, claim)
	case d.mayReplace(env, holder, claim):
		d.grantReplacement(env, from, claim)
	default:
		d.sendRefusal(env, from, claim)
	}
}

// mayReplace reports whether a claim may replace the holder of its voter: the claimant's identity is later, and the
// holder's node is itself the claimant, is dead or has left, or hands the voter over to the claimant.
func (d *discoveredVoters) mayReplace(env *statemachine.Env, holder string, claim message.VoterClaim) bool {
	if claim.Identity < holder || claim.Voter == d.Voter {
		return false
	}
	return d.holderReplaceable(env, holder, claim) || guardsOff.vacated
}

// holderReplaceable reports whether the holder's node claims the voter again, is dead or has left, or names the
// claimant as its successor.
func (d *discoveredVoters) holderReplaceable(env *statemachine.Env, holder string, claim message.VoterClaim) bool {
	claimant, holderNode := parseIdentity(claim.Identity).node, parseIdentity(holder).node
	if claimant == holderNode || d.directory.NodeDeadOrLeft(env, holderNode) {
		return true
	}
	return d.namesSuccessor(claim.Voter, holder, claimant)
}

// grantReplacement puts a claimant on the member list and grants the claim once the list is synced.
func (d *discoveredVoters) grantReplacement(env *statemachine.Env, to string, claim message.VoterClaim) {
	list := memberList(d.State.MemberList).withHolder(claim.Voter, claim.Identity)
	d.writeMemberList(env, list, func(env *statemachine.Env) { d.grantIfListed(env, to, claim) })
	if guardsOff.writtenGrant {
		d.sendGrant(env, to, claim)
	}
}

// grantIfListed grants a claim if the synced member list contains it.
func (d *discoveredVoters) grantIfListed(env *statemachine.Env, to string, claim message.VoterClaim) {
	if d.Voting() && d.list.pendingWrites == 0 && d.State.MemberList[claim.Voter] == claim.Identity {
		d.sendGrant(env, to, claim)
	}
}

// sendRefusal tells a claimant that this voter does not grant its claim.
func (d *discoveredVoters) sendRefusal(env *statemachine.Env, to string, claim message.VoterClaim) {
	env.Send(to, message.VoterGrant{
		Group:      d.Group,
		Voter:      d.Voter,
		Identity:   d.State.Identity,
		Claimant:   claim.Identity,
		Refused:    true,
		MemberList: maps.Clone(d.State.MemberList),
		State:      []byte{},
	})
}
