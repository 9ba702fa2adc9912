package quorum

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// votingFreshIntervals is how many status intervals a voter counts as voting after its last status. It is
// longer than steadyIntervals.
const votingFreshIntervals = 15

// discoveredVoters is the design in which the settings only count the voters. The processes form the group
// (bootstrap), and a process without a voter may come to hold one (claim) or give its own up (handover).
//
// docs/control-safety.md proves that any two decisions of the group share a voter that knows the earlier one.
type discoveredVoters struct {
	*Replica
	list           listState
	bootstrap      bootstrapState
	claim          claimState
	handover       handoverState
	discardOnStart bool // the disk holds the state of a voter that was handed over
}

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
		// It had handed its voter over before it ended, and is a newcomer now.
		d.discardOnStart = true
		d.State = message.VoterState{Proposal: map[string]string{}, MemberList: map[string]string{}}
		d.setMemberList(d.State.MemberList)
		return d
	}
	d.Voter = d.State.Voter
	d.directory.AnnounceVoter(d.Voter)
	return d
}

// names lists the voters of the member list once it is known, and before that as many as the settings count.
func (d *discoveredVoters) names() []string {
	names := memberList(d.State.MemberList).voters()
	for _, received := range d.statuses {
		told := memberList(received.status.MemberList)
		if !d.State.Formed && len(told) > len(names) {
			names = told.voters()
		}
	}
	if len(names) == 0 {
		return d.settings.Voters
	}
	return names
}

// majority is how many voters decide, and how many grants a newcomer needs.
func (d *discoveredVoters) majority() int { return len(d.names())/2 + 1 }

func (d *discoveredVoters) tick(env *statemachine.Env) {
	if d.State.Identity == "" {
		if d.discardOnStart {
			d.discardOnStart = false
			d.transfer.DiscardState(env)
		}
		d.startAnew(env, d.settings.Bootstrap && !d.settings.NonVoter)
		return
	}
	if d.retired() {
		return
	}
	d.expediteStatusAfterMismatch(env)
	if env.Now < d.nextStatusAt || d.writing {
		return
	}
	d.nextStatusAt = env.Now + d.settings.DigestEvery()
	if d.Voting() && d.othersVoting(env) {
		d.nextStatusAt = env.Now + d.settings.DigestEvery()*steadyIntervals
	}
	d.advanceBootstrap(env)
	d.advanceClaim(env)
	if !d.writing {
		d.sendStatuses(env)
	}
}

// startAnew begins as a process that holds no voter, with a new identity. founder says that it takes part in
// forming the group.
func (d *discoveredVoters) startAnew(env *statemachine.Env, founder bool) {
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
	d.writing = true
	d.finishSnapshot(env, func(*statemachine.Env) {})
	env.Event(eventIdentityMade, 0, 0, d.settings.Node)
}

// newIdentity makes an identity of this process with an edition.
func (d *discoveredVoters) newIdentity(env *statemachine.Env, edition uint64) string {
	first, second := env.Random.Uint64(), env.Random.Uint64()
	made := identity{
		edition: edition,
		random:  formatRandom(first, second),
		node:    d.settings.Node,
		zone:    d.settings.Zone,
	}
	return made.String()
}

func (d *discoveredVoters) sendStatuses(env *statemachine.Env) {
	for _, peer := range d.directory.Peers() {
		env.Send(peer.Address, d.fullStatus(env, true))
		if !d.State.Formed && d.State.Voter != "" {
			env.Send(peer.Address, message.VoterClaim{Group: d.Group, Voter: d.State.Voter, Identity: d.State.Identity})
		}
	}
}

// fullStatus is what this process tells of itself. While a newer member list is being written it does not
// claim to know a formed group.
func (d *discoveredVoters) fullStatus(env *statemachine.Env, wantsReply bool) message.VoterStatus {
	status := d.status(wantsReply)
	status.FreeVoters = d.vacancies(env)
	status.Successor = d.handover.successor
	if d.list.pendingWrites > 0 {
		status.Formed = false
		status.Founder = false
	}
	return status
}

// vacancies lists the voters whose holders are gone, as far as this process knows.
func (d *discoveredVoters) vacancies(env *statemachine.Env) []string {
	vacant := []string{}
	if !d.Voting() || d.list.pendingWrites > 0 {
		return vacant
	}
	for _, voter := range d.names() {
		holder := parseIdentity(d.State.MemberList[voter])
		if voter != d.Voter && d.directory.NodeDeadOrLeft(env, holder.node) {
			vacant = append(vacant, voter)
		}
	}
	return vacant
}

// othersVoting says that every other voter was heard to vote, not long ago.
func (d *discoveredVoters) othersVoting(env *statemachine.Env) bool {
	for _, voter := range d.names() {
		if voter == d.Voter {
			continue
		}
		received, known := d.statuses[voter]
		if !known || !received.status.Voting || env.Now-received.at > d.settings.DigestEvery()*votingFreshIntervals {
			return false
		}
	}
	return true
}

func (d *discoveredVoters) handle(env *statemachine.Env, from string, msg any) {
	switch received := msg.(type) {
	case message.VoterStatus:
		if SignatureIdentity(received.Identity) != d.State.Identity {
			d.handleStatus(env, from, received)
		}
	case message.VoterClaim:
		d.handleClaim(env, from, received)
	case message.VoterGrant:
		if received.Claimant == d.State.Identity && !d.State.Formed && !d.writing {
			d.handleGrant(env, received)
		}
	}
}

func (d *discoveredVoters) handleStatus(env *statemachine.Env, from string, status message.VoterStatus) {
	if d.State.Identity == "" || d.writing || d.retired() {
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
		d.bootstrap.candidates[sender] = receivedStatus{from: from, status: status, at: env.Now}
		d.advanceBootstrap(env)
		return
	}
	delete(d.bootstrap.candidates, sender)
	if d.recordVoter(env, from, status) {
		d.followFormedGroup(env, status)
	}
}

// recordVoter keeps the status of a voter of the formed group; false when the sender is not, or no longer, the
// holder of its voter.
func (d *discoveredVoters) recordVoter(env *statemachine.Env, from string, status message.VoterStatus) bool {
	if d.State.Formed {
		if !d.joinMemberList(env, status.MemberList) || d.State.MemberList[status.Voter] != status.Identity {
			return false
		}
	} else if last, known := d.statuses[status.Voter]; known && last.status.Identity > status.Identity {
		return false
	}
	d.statuses[status.Voter] = receivedStatus{from: from, status: status, at: env.Now}
	return true
}

// recentVoters joins the member lists of the voters that were heard recently, and lists the statuses of those
// that vote and hold their voter by the joined list.
func (d *discoveredVoters) recentVoters(env *statemachine.Env) (list memberList, voting []message.VoterStatus) {
	list = memberList{}
	names := d.names()
	for _, voter := range names {
		if received, known := d.statuses[voter]; known && d.recent(env, received) {
			for member, holder := range received.status.MemberList {
				list[member] = max(list[member], holder)
			}
		}
	}
	for _, voter := range names {
		received, known := d.statuses[voter]
		if known && d.recent(env, received) && received.status.Voting && list[voter] == received.status.Identity {
			voting = append(voting, received.status)
		}
	}
	return list, voting
}

func (d *discoveredVoters) standby(env *statemachine.Env) bool {
	if d.State.Formed || d.State.Voter != "" {
		return false
	}
	_, voting := d.recentVoters(env)
	return len(voting) >= d.majority()
}
