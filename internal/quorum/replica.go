package quorum

import (
	"maps"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

const (
	// recentIntervals is the number of status intervals for which a received status counts as recent.
	recentIntervals = 5
	// steadyStateIntervals is the number of status intervals between two statuses while the group is stable: this
	// voter votes and, with discovered voters, all others do too.
	steadyStateIntervals = 10
)

// receivedStatus is the last status received from another process.
type receivedStatus struct {
	address    string // of the sender
	status     message.VoterStatus
	receivedAt time.Duration
}

// Replica is this process's state as a member of its group: the persistent state, and the last statuses and grants
// received from the others. Both implementations of voterSet embed it.
type Replica struct {
	// Group is the name of the group in messages: the role of its processes.
	Group string
	// Voter is the voter that this process holds, or "" if it holds none.
	Voter string
	// State is the persistent state, including changes whose writes are not synced yet. Only this package changes it.
	State message.VoterState
	// Removed reports that another disk holds the voter that the settings assign to this process. It is used with
	// static voters only.
	Removed bool

	settings    settings.Settings
	storage     Storage
	directory   Directory
	transfer    StateTransfer
	beginVoting func(env *statemachine.Env, newGroup bool)

	statuses       map[string]receivedStatus     // last status of each other voter
	grants         map[string]message.VoterGrant // for this process's claim, by the granter's voter
	nextStatusAt   time.Duration
	proposalSynced bool
	blockedOnWrite bool // a write that must be synced before any further step is in progress or has failed
}

// newReplica returns a Replica with the state that was read from disk.
func newReplica(group string, cfg settings.Settings, host Host, state message.VoterState,
	beginVoting func(env *statemachine.Env, newGroup bool)) *Replica {
	if state.MemberList == nil {
		state.MemberList = map[string]string{}
	}
	if state.Proposal == nil {
		state.Proposal = map[string]string{}
	}
	return &Replica{
		Group:          group,
		Voter:          cfg.Voter,
		State:          state,
		settings:       cfg,
		storage:        host,
		directory:      host,
		transfer:       host,
		beginVoting:    beginVoting,
		statuses:       map[string]receivedStatus{},
		grants:         map[string]message.VoterGrant{},
		proposalSynced: len(state.Proposal) > 0,
	}
}

// Voting reports whether this process may vote. A process whose disk has failed may not.
func (r *Replica) Voting() bool {
	return r.State.Voting && !r.Removed && !r.blockedOnWrite && r.storage.Failure() == nil
}

// AddressOf returns the address from which the holder of a voter last sent a status, or "" if none was received.
func (r *Replica) AddressOf(voter string) string { return r.statuses[voter].address }

// LastStatus returns the last status of the holder of a voter and when it was received.
func (r *Replica) LastStatus(voter string) (status message.VoterStatus, receivedAt time.Duration, known bool) {
	last, known := r.statuses[voter]
	return last.status, last.receivedAt, known
}

// isRecent reports whether a status was received within the last recentIntervals status intervals.
func (r *Replica) isRecent(env *statemachine.Env, received receivedStatus) bool {
	return env.Now-received.receivedAt <= r.settings.DigestEvery()*recentIntervals
}

// status returns the status that this process sends to the others. It omits state that is not synced yet.
func (r *Replica) status(wantsReply bool) message.VoterStatus {
	status := message.VoterStatus{
		Group:      r.Group,
		Voter:      r.Voter,
		Identity:   r.State.Identity,
		Formed:     r.State.Formed && !r.blockedOnWrite,
		Voting:     r.Voting(),
		Proposal:   map[string]string{},
		MemberList: map[string]string{},
		WantsReply: wantsReply,
		Founder:    r.State.Founder && !r.State.Formed,
		Round:      r.State.Round,
		FreeVoters: []string{},
		NonVoter:   r.settings.NonVoter,
	}
	if r.proposalSynced {
		status.Proposal = maps.Clone(r.State.Proposal)
	}
	if !r.blockedOnWrite {
		status.MemberList = maps.Clone(r.State.MemberList)
	}
	return status
}

// startVoting writes a snapshot, and once that is synced calls announce and begins to vote. newGroup reports that
// the group has just been formed.
func (r *Replica) startVoting(env *statemachine.Env, newGroup bool, announce func(env *statemachine.Env)) {
	r.blockedOnWrite = !guardsOff.writtenStand
	r.writeBlockingSnapshot(env, func(env *statemachine.Env) {
		eventName := eventRecovered
		if newGroup {
			eventName = eventGroupFormed
		}
		env.Event(eventName, 0, 0, r.Voter)
		announce(env)
		r.beginVoting(env, newGroup)
	})
}

// writeBlockingSnapshot writes a snapshot. Once it is synced, it clears blockedOnWrite and calls onSynced; if the
// write fails, blockedOnWrite stays set.
func (r *Replica) writeBlockingSnapshot(env *statemachine.Env, onSynced func(env *statemachine.Env)) {
	r.storage.WriteSnapshot(env, func(env *statemachine.Env, failure error) {
		r.blockedOnWrite = failure != nil
		if failure == nil {
			onSynced(env)
		}
	})
}

// sendGrant grants a claim and sends this voter's state to the claimant.
func (r *Replica) sendGrant(env *statemachine.Env, to string, claim message.VoterClaim) {
	env.Send(to, message.VoterGrant{
		Group:      r.Group,
		Voter:      r.Voter,
		Identity:   r.State.Identity,
		Claimant:   claim.Identity,
		MemberList: maps.Clone(r.State.MemberList),
		State:      r.transfer.StateForGrant(),
	})
}
