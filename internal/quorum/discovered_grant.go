package quorum

import (
	"maps"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handleClaim grants or refuses another process's claim on a voter. A grant is sent only once the member list
// with the claimant is synced, after which this process signs nothing on the earlier list.
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
		d.grantNew(env, from, claim)
	default:
		d.refuse(env, from, claim)
	}
}

// mayReplace says that a claim may replace the holder of its voter: its identity is later, and the holder's own
// node claims again, is gone, or hands the voter over to the claimant.
func (d *discoveredVoters) mayReplace(env *statemachine.Env, holder string, claim message.VoterClaim) bool {
	if claim.Identity < holder || claim.Voter == d.Voter {
		return false
	}
	return d.vacated(env, holder, claim) || guardsOff.vacated
}

func (d *discoveredVoters) vacated(env *statemachine.Env, holder string, claim message.VoterClaim) bool {
	claimant, holderNode := parseIdentity(claim.Identity).node, parseIdentity(holder).node
	if claimant == holderNode || d.directory.NodeDeadOrLeft(env, holderNode) {
		return true
	}
	return d.handsOverTo(claim.Voter, holder, claimant)
}

func (d *discoveredVoters) grantNew(env *statemachine.Env, to string, claim message.VoterClaim) {
	list := memberList(d.State.MemberList).with(claim.Voter, claim.Identity)
	d.writeMemberList(env, list, func(env *statemachine.Env) { d.grantIfListed(env, to, claim) })
	if guardsOff.writtenGrant {
		d.sendGrant(env, to, claim)
	}
}

// grantIfListed grants a claim that the synced member list has.
func (d *discoveredVoters) grantIfListed(env *statemachine.Env, to string, claim message.VoterClaim) {
	if d.Voting() && d.list.pendingWrites == 0 && d.State.MemberList[claim.Voter] == claim.Identity {
		d.sendGrant(env, to, claim)
	}
}

func (d *discoveredVoters) refuse(env *statemachine.Env, to string, claim message.VoterClaim) {
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
