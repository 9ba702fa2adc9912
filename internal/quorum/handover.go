package quorum

import (
	"maps"
	"slices"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handoverState is the planned replacement of this process's voter.
//
// A voter that is asked to stop names a successor in its status and continues to vote. The successor claims the voter
// in the same way as that of a lost node, and the leaving voter may be one of the granters. A majority is therefore
// left if another voter is lost during the handover (docs/control-safety.md).
type handoverState struct {
	successor string              // the node that is to take the voter over; "" unless this process is leaving
	released  *message.VoterGrant // the grant to the successor, once the new member list is synced
}

// handOver names the first eligible successor. It returns false if this process does not vote or there is none.
func (d *discoveredVoters) handOver(env *statemachine.Env) bool {
	if d.leaving() {
		return true
	}
	if !d.Voting() {
		return false
	}
	successors := d.eligibleSuccessors(env)
	if len(successors) == 0 {
		return false
	}
	d.handover.successor = successors[0]
	d.nextStatusAt = env.Now
	env.Event(eventLeaving, 0, 0, d.Voter+" to "+d.handover.successor)
	return true
}

// handedOver reports whether this process has granted its voter to the successor, or has learned from another's
// member list that its voter was replaced.
func (d *discoveredVoters) handedOver() bool {
	return d.leaving() && (d.handover.released != nil || !d.State.Formed)
}

// leaving reports whether a handover has begun.
func (d *discoveredVoters) leaving() bool { return d.handover.successor != "" }

// retired reports whether this process has released its voter. A retired process sends and processes no statuses.
func (d *discoveredVoters) retired() bool {
	return d.leaving() && !d.Voting() && d.list.pendingWrites > 0
}

// eligibleSuccessors returns, sorted by name, the live nodes that have recently sent a status, hold no voter, take no
// part in the bootstrap, and would keep the spread of voters over zones and regions.
func (d *discoveredVoters) eligibleSuccessors(env *statemachine.Env) []string {
	nodes := []string{}
	for _, nodeName := range slices.Sorted(maps.Keys(d.bootstrap.candidates)) {
		received := d.bootstrap.candidates[nodeName]
		status := received.status
		zone := parseIdentity(status.Identity).zone
		withoutVoter := status.Voter == "" && !status.Founder
		keepsSpread := d.placement().keepsSpread(d.State.MemberList, d.Voter, zone)
		if withoutVoter && keepsSpread && d.isRecent(env, received) && !d.directory.NodeDeadOrLeft(env, nodeName) {
			nodes = append(nodes, nodeName)
		}
	}
	return nodes
}

// namesSuccessor reports whether the last status of a voter's holder names a node as its successor.
func (d *discoveredVoters) namesSuccessor(voter, holder, nodeName string) bool {
	received, known := d.statuses[voter]
	return known && received.status.Identity == holder && received.status.Successor == nodeName
}

// handedOverToThisNode reports whether a recent status of a voter's holder names this node as its successor.
func (d *discoveredVoters) handedOverToThisNode(env *statemachine.Env, voter, holder string) bool {
	return d.isRecent(env, d.statuses[voter]) && d.namesSuccessor(voter, holder, d.settings.Node)
}

// releaseVoter grants the successor's claim on the voter of this leaving process, and ignores every other claim. The
// newer list is synced before the grant is sent, and this process never signs again.
func (d *discoveredVoters) releaseVoter(env *statemachine.Env, to string, claim message.VoterClaim) {
	if released := d.handover.released; released != nil {
		if released.Claimant == claim.Identity {
			env.Send(to, *released)
		}
		return
	}
	if !d.mayRelease(claim) {
		return
	}
	list := memberList(d.State.MemberList).withHolder(d.Voter, claim.Identity)
	grant := message.VoterGrant{
		Group:      d.Group,
		Voter:      d.Voter,
		Identity:   d.State.Identity,
		Claimant:   claim.Identity,
		MemberList: maps.Clone(list),
		State:      d.transfer.StateForGrant(),
	}
	d.setMemberList(list)
	d.State.Voting = false
	d.list.pendingWrites++ // never decremented, so that this process signs and counts nothing from now on
	d.storage.Persist(env, d.State, func(env *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		d.handover.released = &grant
		edition := parseIdentity(claim.Identity).edition
		env.Event(eventReleased, 0, int64(edition), d.Voter+" to "+d.handover.successor)
		env.Send(to, grant)
	})
}

// mayRelease reports whether a claim on this process's voter is from its successor and has a later identity.
func (d *discoveredVoters) mayRelease(claim message.VoterClaim) bool {
	if !d.Voting() || d.list.pendingWrites > 0 {
		return false
	}
	return parseIdentity(claim.Identity).node == d.handover.successor && claim.Identity > d.State.Identity
}
