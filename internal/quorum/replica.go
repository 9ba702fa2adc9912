package quorum

import (
	"maps"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

const (
	// freshIntervals is how many status intervals a received status counts as recent.
	freshIntervals = 5
	// steadyIntervals is how many status intervals pass between statuses while all voters vote.
	steadyIntervals = 10
)

// receivedStatus is what a process told of itself last.
type receivedStatus struct {
	from   string // its address
	status message.VoterStatus
	at     time.Duration
}

// Replica is this process as a member of its group: what its disk holds, and what the others told. Both
// designs share it.
type Replica struct {
	Group string
	// Voter is the voter that this process holds; "" for none.
	Voter string
	// State is what the disk holds, or is about to hold. Only this package changes it.
	State message.VoterState
	// Removed says that another disk was given this process's voter, which the settings name.
	Removed bool

	settings    settings.Settings
	storage     Storage
	directory   Directory
	transfer    StateTransfer
	beginVoting func(env *statemachine.Env, fresh bool)

	statuses       map[string]receivedStatus     // of the others, by voter
	grants         map[string]message.VoterGrant // for this process's claim, by granter's voter
	nextStatusAt   time.Duration
	proposalSynced bool
	writing        bool // a write is under way on which everything waits, or it failed
}

func newReplica(group string, cfg settings.Settings, host Host, state message.VoterState,
	beginVoting func(env *statemachine.Env, fresh bool)) *Replica {
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

// Voting says that this process may vote; one whose disk has failed may not.
func (r *Replica) Voting() bool {
	return r.State.Voting && !r.Removed && !r.writing && r.storage.Failure() == nil
}

// AddressOf is where the process that holds a voter was last heard from.
func (r *Replica) AddressOf(voter string) string { return r.statuses[voter].from }

// LastStatus is what the holder of a voter last told of itself, and when it was received.
func (r *Replica) LastStatus(voter string) (status message.VoterStatus, at time.Duration, known bool) {
	last, known := r.statuses[voter]
	return last.status, last.at, known
}

// recent says that a status was received not long ago.
func (r *Replica) recent(env *statemachine.Env, received receivedStatus) bool {
	return env.Now-received.at <= r.settings.DigestEvery()*freshIntervals
}

// status is what this process tells of itself.
func (r *Replica) status(wantsReply bool) message.VoterStatus {
	status := message.VoterStatus{
		Group:      r.Group,
		Voter:      r.Voter,
		Identity:   r.State.Identity,
		Formed:     r.State.Formed && !r.writing,
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
	if !r.writing {
		status.MemberList = maps.Clone(r.State.MemberList)
	}
	return status
}

// startVoting writes the whole state, announces the voter, and only then votes. fresh says that the group was
// just formed.
func (r *Replica) startVoting(env *statemachine.Env, fresh bool, announce func(env *statemachine.Env)) {
	r.writing = !guardsOff.writtenStand
	r.finishSnapshot(env, func(env *statemachine.Env) {
		eventName := eventRecovered
		if fresh {
			eventName = eventGroupFormed
		}
		env.Event(eventName, 0, 0, r.Voter)
		announce(env)
		r.beginVoting(env, fresh)
	})
}

// finishSnapshot writes the whole state, which ends the write on which everything waits.
func (r *Replica) finishSnapshot(env *statemachine.Env, then func(env *statemachine.Env)) {
	r.storage.WriteSnapshot(env, func(env *statemachine.Env, failure error) {
		r.writing = failure != nil
		if failure == nil {
			then(env)
		}
	})
}

// sendGrant lets a claimant have its voter and tells it this voter's state.
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
