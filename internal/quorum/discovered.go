package quorum

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// votingRecentIntervals is the number of status intervals for which a voter counts as voting after its last status.
// It is greater than steadyStateIntervals, so that a voter in a stable group counts without interruption.
const votingRecentIntervals = 15

// discoveredVoters is the voterSet in which the settings give only the number of voters. The processes form the
// group (bootstrap), a process without a voter can claim one (claim), and a voter can be handed over (handover).
//
// docs/control-safety.md proves that any two decisions of the group share a voter whose state includes the earlier one.
type discoveredVoters struct {
	*Replica
	list           listState
	bootstrap      bootstrapState
	claim          claimState
	handover       handoverState
	discardOnStart bool // the restored state is that of a voter which was handed over
}

// newDiscoveredVoters resumes from the restored state. If the member list of a formed group gives this process's voter
// to another identity, it drops the restored state and resumes without a voter.
func newDiscoveredVoters(replica *Replica) *discoveredVoters {
	d := &discoveredVoters{
		Replica: replica,
		bootstrap: bootstrapState{
			candidates: map[string]receivedStatus{},
			nonVoters:  map[string]bool{},
		},
		claim: claimState{vacantSince: map[string]time.Duration{}},
	}
	d.setMemberList(d.State.MemberList)
	if !d.State.Formed {
		return d
	}
	if d.State.MemberList[d.State.Voter] != d.State.Identity {
		// This process handed its voter over before it stopped. The first tick gives it a new identity.
		d.discardOnStart = true
		d.State = message.VoterState{Proposal: map[string]string{}, MemberList: map[string]string{}}
		d.setMemberList(d.State.MemberList)
		return d
	}
	d.Voter = d.State.Voter
	d.directory.AnnounceVoter(d.Voter)
	return d
}

// voterNames returns the voters of the member list. Before this process has a member list, it returns the voters of
// the longest list received from others, or the names derived from the voter count in the settings.
func (d *discoveredVoters) voterNames() []string {
	names := memberList(d.State.MemberList).voters()
	for _, received := range d.statuses {
		reported := memberList(received.status.MemberList)
		if !d.State.Formed && len(reported) > len(names) {
			names = reported.voters()
		}
	}
	if len(names) == 0 {
		return d.settings.Voters
	}
	return names
}

// majority returns the number of voters that is needed for a decision, and of grants that is needed for a claim.
func (d *discoveredVoters) majority() int { return len(d.voterNames())/2 + 1 }

// tick creates an identity if there is none. When a status is due, it advances the bootstrap and the claim, and sends
// the status.
func (d *discoveredVoters) tick(env *statemachine.Env) {
	if d.State.Identity == "" {
		if d.discardOnStart {
			d.discardOnStart = false
			d.transfer.DiscardState(env)
		}
		d.resetWithNewIdentity(env, d.settings.Bootstrap && !d.settings.NonVoter)
		return
	}
	if d.retired() {
		return
	}
	d.expediteStatusAfterMismatch(env)
	if env.Now < d.nextStatusAt || d.blockedOnWrite {
		return
	}
	d.nextStatusAt = env.Now + d.settings.DigestEvery()
	if d.Voting() && d.allOthersVoting(env) {
		d.nextStatusAt = env.Now + d.settings.DigestEvery()*steadyStateIntervals
	}
	d.advanceBootstrap(env)
	d.advanceClaim(env)
	if !d.blockedOnWrite {
		d.sendStatuses(env)
	}
}

// resetWithNewIdentity replaces the state by that of a process without a voter, under a new identity. founder
// reports whether this process takes part in forming the group.
func (d *discoveredVoters) resetWithNewIdentity(env *statemachine.Env, founder bool) {
	d.State = message.VoterState{
		Identity:           d.newIdentity(env, 0),
		Founder:            founder,
		Proposal:           map[string]string{},
		MemberList:         map[string]string{},
		ReplacedIdentities: []string{},
	}
	d.Voter = ""
	d.proposalSynced = false
	d.list.pendingWrites = 0
	d.blockedOnWrite = true
	d.writeBlockingSnapshot(env, func(*statemachine.Env) {})
	env.Event(eventIdentityCreated, 0, 0, d.settings.Node)
}

// newIdentity returns a new identity of this process with an edition.
func (d *discoveredVoters) newIdentity(env *statemachine.Env, edition uint64) string {
	first, second := env.Random.Uint64(), env.Random.Uint64()
	created := identity{
		edition: edition,
		random:  formatRandom(first, second),
		node:    d.settings.Node,
		zone:    d.settings.Zone,
	}
	return created.String()
}

// sendStatuses sends the status, and the claim if there is one, to all peers.
func (d *discoveredVoters) sendStatuses(env *statemachine.Env) {
	for _, peer := range d.directory.Peers() {
		env.Send(peer.Address, d.fullStatus(env, true))
		if !d.State.Formed && d.State.Voter != "" {
			env.Send(peer.Address, message.VoterClaim{Group: d.Group, Voter: d.State.Voter, Identity: d.State.Identity})
		}
	}
}

// fullStatus returns the status that this process sends to the others. While a newer member list is being written,
// the status does not report a formed group.
func (d *discoveredVoters) fullStatus(env *statemachine.Env, wantsReply bool) message.VoterStatus {
	status := d.status(wantsReply)
	status.FreeVoters = d.vacantVoters(env)
	status.Successor = d.handover.successor
	if d.list.pendingWrites > 0 {
		status.Formed = false
		status.Founder = false
	}
	return status
}

// vacantVoters returns the voters whose holders are dead or have left by this process's membership. A process that
// does not vote reports none.
func (d *discoveredVoters) vacantVoters(env *statemachine.Env) []string {
	vacant := []string{}
	if !d.Voting() || d.list.pendingWrites > 0 {
		return vacant
	}
	for _, voter := range d.voterNames() {
		holder := parseIdentity(d.State.MemberList[voter])
		if voter != d.Voter && d.directory.NodeDeadOrLeft(env, holder.node) {
			vacant = append(vacant, voter)
		}
	}
	return vacant
}

// allOthersVoting reports whether the last status of every other voter says that it votes, and is at most
// votingRecentIntervals status intervals old.
func (d *discoveredVoters) allOthersVoting(env *statemachine.Env) bool {
	for _, voter := range d.voterNames() {
		if voter == d.Voter {
			continue
		}
		received, known := d.statuses[voter]
		if !known || !received.status.Voting || env.Now-received.receivedAt > d.settings.DigestEvery()*votingRecentIntervals {
			return false
		}
	}
	return true
}

// handle ignores this process's own statuses, and grants that are not for its current claim.
func (d *discoveredVoters) handle(env *statemachine.Env, from string, msg any) {
	switch received := msg.(type) {
	case message.VoterStatus:
		if SignatureIdentity(received.Identity) != d.State.Identity {
			d.handleStatus(env, from, received)
		}
	case message.VoterClaim:
		d.handleClaim(env, from, received)
	case message.VoterGrant:
		if received.Claimant == d.State.Identity && !d.State.Formed && !d.blockedOnWrite {
			d.handleGrant(env, received)
		}
	}
}

// handleStatus replies to a status if the sender requests that, and records it for the bootstrap or, if the sender's
// group is formed, as the status of a voter.
func (d *discoveredVoters) handleStatus(env *statemachine.Env, from string, status message.VoterStatus) {
	if d.State.Identity == "" || d.blockedOnWrite || d.retired() {
		return
	}
	if status.Successor == d.settings.Node {
		d.nextStatusAt = env.Now
	}
	if status.WantsReply {
		env.Send(from, d.fullStatus(env, false))
	}
	if status.NonVoter {
		d.bootstrap.nonVoters[from] = true
		return
	}
	sender := parseIdentity(status.Identity).node
	if !status.Formed {
		d.bootstrap.candidates[sender] = receivedStatus{address: from, status: status, receivedAt: env.Now}
		d.advanceBootstrap(env)
		return
	}
	delete(d.bootstrap.candidates, sender)
	if d.recordVoterStatus(env, from, status) {
		d.followFormedGroup(env, status)
	}
}

// recordVoterStatus stores the status of a voter of the formed group. It returns false if the sender does not hold,
// or no longer holds, its voter.
func (d *discoveredVoters) recordVoterStatus(env *statemachine.Env, from string, status message.VoterStatus) bool {
	if d.State.Formed {
		if !d.mergeMemberList(env, status.MemberList) || d.State.MemberList[status.Voter] != status.Identity {
			return false
		}
	} else if last, known := d.statuses[status.Voter]; known && last.status.Identity > status.Identity {
		return false
	}
	d.statuses[status.Voter] = receivedStatus{address: from, status: status, receivedAt: env.Now}
	return true
}

// recentVotingStatuses merges the member lists in the recent statuses of voters, and returns the merged list with the
// statuses of those senders that vote and hold their voter by it.
func (d *discoveredVoters) recentVotingStatuses(env *statemachine.Env) (list memberList, voting []message.VoterStatus) {
	list = memberList{}
	names := d.voterNames()
	for _, voter := range names {
		if received, known := d.statuses[voter]; known && d.isRecent(env, received) {
			for member, holder := range received.status.MemberList {
				list[member] = max(list[member], holder)
			}
		}
	}
	for _, voter := range names {
		received, known := d.statuses[voter]
		if known && d.isRecent(env, received) && received.status.Voting && list[voter] == received.status.Identity {
			voting = append(voting, received.status)
		}
	}
	return list, voting
}

// standby reports whether this process neither holds nor claims a voter, while a majority of voters has recently
// sent a status that says that the sender votes.
func (d *discoveredVoters) standby(env *statemachine.Env) bool {
	if d.State.Formed || d.State.Voter != "" {
		return false
	}
	_, voting := d.recentVotingStatuses(env)
	return len(voting) >= d.majority()
}
