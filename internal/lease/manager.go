package lease

import (
	"sort"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// restartWaitNotStarted is the value of Manager.restartWaitEnd until this voter starts voting.
const restartWaitNotStarted time.Duration = -1

// recoveryEpochGap is added to the epochs by a forced recovery. It exceeds the number of epochs that lost
// disks can have granted since the last write that survived.
const recoveryEpochGap = 1 << 20

// Host is implemented by the machine that contains a Manager and provides its disk and peers.
type Host interface {
	// Persist appends a record to the log and calls then once the record is synced or the write has failed.
	Persist(env *statemachine.Env, record any, then storage.SyncCallback)
	// Failure returns the error with which the disk failed, or nil if it accepts writes.
	Failure() error
	// WriteLatency returns the approximate duration of a synced write.
	WriteLatency() time.Duration
	// Peers returns the other members of the group, except those considered dead.
	Peers() []message.Member
}

// Callbacks are the functions through which a Manager consults and notifies the machine that contains it.
type Callbacks struct {
	// Eligible reports whether this voter may become a candidate for a tag.
	Eligible func(tag string) bool
	// OnAcquired is called after this voter has become the holder of a tag.
	OnAcquired func(env *statemachine.Env, tag string, epoch int64)
	// OnLost is called after this voter has ceased to be the holder of a tag.
	OnLost func(env *statemachine.Env, tag string, epoch int64)
}

// Manager manages one voter's leases, votes and campaigns for all tags of its group. Like the machine that
// contains it, it is driven by one call at a time.
type Manager struct {
	settings       settings.Settings
	host           Host
	quorum         *quorum.Quorum
	tags           map[string]*tagState
	tagNames       []string              // sorted
	restartWaitEnd time.Duration         // end of the wait before voting; restartWaitNotStarted before BeginVoting
	promisesOnDisk bool                  // the votes on this disk include every promise that it made
	rounds         statemachine.Sequence // numbers the request rounds of all tags
	callbacks      Callbacks
}

// tagState is a voter's state for one tag, with one field per role.
type tagState struct {
	name      string
	acceptor  acceptorState
	candidate candidateState
	holder    holderState
}

// New returns a Manager for the leases of tags. votes are the votes read from this voter's disk.
func New(cfg settings.Settings, host Host, group *quorum.Quorum, tags []string, votes []message.Vote,
	callbacks Callbacks) *Manager {
	m := &Manager{
		settings:  cfg,
		host:      host,
		quorum:    group,
		tags:      map[string]*tagState{},
		callbacks: callbacks,
	}
	for _, name := range tags {
		m.tags[name] = newTagState(name)
		m.tagNames = append(m.tagNames, name)
	}
	sort.Strings(m.tagNames)
	m.Restore(votes)
	m.restartWaitEnd = restartWaitNotStarted
	return m
}

// newTagState returns the state of a tag for which this voter has neither voted nor campaigned.
func newTagState(name string) *tagState {
	return &tagState{name: name, acceptor: newAcceptorState(name)}
}

// Restore adopts votes from the disk or from the state that another voter granted. For each tag it keeps
// the vote with the higher epoch.
func (m *Manager) Restore(votes []message.Vote) {
	for _, vote := range votes {
		tag, known := m.tags[vote.LeaseName]
		if known && tag.acceptor.restore(vote) {
			tag.candidate.wasHolder = vote.Holder == m.quorum.Voter
		}
	}
}

// Votes returns the votes for all tags, for the snapshot on disk and for the state granted to other voters.
// The epoch of a vote is raised to the epoch that this voter last requested, if that is higher.
func (m *Manager) Votes() []message.Vote {
	votes := []message.Vote{}
	for _, name := range m.tagNames {
		tag := m.tags[name]
		vote := tag.acceptor.vote
		vote.Epoch = max(vote.Epoch, tag.candidate.epoch)
		votes = append(votes, vote)
	}
	return votes
}

// BeginVoting starts the wait for a full lease before the first vote. A newly formed group has made no
// promises, so its voters don't wait.
func (m *Manager) BeginVoting(env *statemachine.Env, newGroup bool) {
	m.restartWaitEnd = env.Now + m.settings.Lease()
	if newGroup {
		m.restartWaitEnd = env.Now
	}
	for _, name := range m.tagNames {
		m.tags[name].acceptor.startVoting(env.Now)
	}
}

// IsHolder reports whether this voter holds a tag at the time now of its own clock.
func (m *Manager) IsHolder(tagName string, now time.Duration) bool {
	tag := m.tags[tagName]
	return tag != nil && tag.holder.activeAt(now) && !m.quorum.Removed
}

// LeaseExpiry returns when this voter's lease of a tag expires unless renewed, by its own clock; 0 if it
// doesn't hold the tag.
func (m *Manager) LeaseExpiry(tagName string) time.Duration {
	tag := m.tags[tagName]
	if tag == nil || !tag.holder.holding {
		return 0
	}
	return tag.holder.expiresAt
}

// Epoch returns the epoch of this voter's last vote for a tag, which is the highest that it has voted for.
func (m *Manager) Epoch(tagName string) int64 { return m.tags[tagName].acceptor.vote.Epoch }

// Holder returns the voter for which this voter last voted; "" if it has not voted.
func (m *Manager) Holder(tagName string) string { return m.tags[tagName].acceptor.vote.Holder }

// ConfirmedSince reports whether a majority has granted a round that started at or after since. A
// linearizable read waits for this. It compares only times of the holder's own clock.
func (m *Manager) ConfirmedSince(tagName string, since time.Duration) bool {
	holder := &m.tags[tagName].holder
	return holder.holding && holder.expiresAt-m.settings.HolderLease() >= since
}

// Tick renews the leases that this voter holds, ends those that have expired and campaigns for tags for
// which no promise is in force. A process that may not vote ends all its leases.
func (m *Manager) Tick(env *statemachine.Env) {
	if !m.quorum.Voting() {
		m.releaseAll(env)
		return
	}
	if m.restartWaitEnd == restartWaitNotStarted {
		m.BeginVoting(env, false)
		m.promisesOnDisk = true
	}
	for _, name := range m.tagNames {
		tag := m.tags[name]
		if tag.holder.holding {
			m.tickHolder(env, tag)
		} else {
			m.tickCandidate(env, tag)
		}
	}
}

// Handle processes a message from the process at the address from. It reports whether msg is a lease
// message; lease messages of another group are ignored.
func (m *Manager) Handle(env *statemachine.Env, from string, msg any) bool {
	switch received := msg.(type) {
	case message.LeaseRequest:
		if received.Group == m.quorum.Group {
			m.handleRequest(env, from, received)
		}
	case message.LeaseVote:
		if received.Group == m.quorum.Group {
			m.handleVote(env, received)
		}
	case message.LeaseYield:
		if received.Group == m.quorum.Group {
			m.handleTransfer(env, received)
		}
	default:
		return false
	}
	return true
}

// Forget discards all leases, votes and promises, because the voter has been assigned to another process.
func (m *Manager) Forget(env *statemachine.Env) {
	for _, name := range m.tagNames {
		m.loseLease(env, m.tags[name], lostVoterReassigned)
		m.tags[name] = newTagState(name)
	}
	m.restartWaitEnd, m.promisesOnDisk = restartWaitNotStarted, false
}

// ForceRecover raises all epochs above those that lost disks may have granted.
func (m *Manager) ForceRecover() {
	for _, tag := range m.tags {
		tag.acceptor.vote.Epoch += recoveryEpochGap
	}
}
