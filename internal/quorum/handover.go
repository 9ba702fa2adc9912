package quorum

import (
	"maps"
	"slices"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handoverState is the planned replacement of this process's voter.
//
// A voter that is told to stop names a successor in its status and goes on voting. The successor claims the
// voter as that of a lost node is claimed, and the leaving voter may be one of the granters. So a further loss in
// the middle leaves a majority (docs/control-safety.md).
type handoverState struct {
	successor string              // the node that is to take the voter; "" while this process doesn't leave
	released  *message.VoterGrant // the grant to the successor, once it is synced
}

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

// handedOver says that the successor's claim is on this voter's member list, or that another's list has it.
func (d *discoveredVoters) handedOver() bool {
	return d.leaving() && (d.handover.released != nil || !d.State.Formed)
}

func (d *discoveredVoters) leaving() bool { return d.handover.successor != "" }

// retired says that this process has given its vote away; what it would tell of itself is of no use.
func (d *discoveredVoters) retired() bool {
	return d.leaving() && !d.Voting() && d.list.pendingWrites > 0
}

// eligibleSuccessors lists the nodes without a voter that were heard recently, by name.
func (d *discoveredVoters) eligibleSuccessors(env *statemachine.Env) []string {
	nodes := []string{}
	for _, nodeName := range slices.Sorted(maps.Keys(d.bootstrap.candidates)) {
		received := d.bootstrap.candidates[nodeName]
		status := received.status
		zone := parseIdentity(status.Identity).zone
		free := status.Voter == "" && !status.Founder
		spread := d.placement().keepsSpread(d.State.MemberList, d.Voter, zone)
		if free && spread && d.recent(env, received) && !d.directory.NodeDeadOrLeft(env, nodeName) {
			nodes = append(nodes, nodeName)
		}
	}
	return nodes
}

// handsOverTo says that the holder of a voter last named a node as its successor.
func (d *discoveredVoters) handsOverTo(voter, holder, nodeName string) bool {
	received, known := d.statuses[voter]
	return known && received.status.Identity == holder && received.status.Successor == nodeName
}

// offeredToThisNode says that the holder of a voter hands it over to this node now.
func (d *discoveredVoters) offeredToThisNode(env *statemachine.Env, voter, holder string) bool {
	return d.recent(env, d.statuses[voter]) && d.handsOverTo(voter, holder, d.settings.Node)
}

// releaseVoter grants the claim on this leaving process's own voter, if it is its successor's. The newer list is
// written before the grant is sent, and the process never signs again.
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
	list := memberList(d.State.MemberList).with(d.Voter, claim.Identity)
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
	d.list.pendingWrites++ // never taken back: this process signs and counts nothing any more
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

func (d *discoveredVoters) mayRelease(claim message.VoterClaim) bool {
	if !d.Voting() || d.list.pendingWrites > 0 {
		return false
	}
	return parseIdentity(claim.Identity).node == d.handover.successor && claim.Identity > d.State.Identity
}
