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

// notStarted is the value of Manager.grantsFrom before the first voting tick.
const notStarted time.Duration = -1

// recoveryEpochGap is by how much a forced recovery raises the epochs: more than any lost disk can
// have granted since the last write that is left.
const recoveryEpochGap = 1 << 20

// Host is what a Manager needs of the machine that it is a part of.
type Host interface {
	// Persist appends a record to the log and calls then when it is synced, or has failed.
	Persist(env *statemachine.Env, record any, then storage.SyncCallback)
	// Failure returns the error of the disk, or nil while it takes writes.
	Failure() error
	// WriteLatency returns about how long a synced write takes.
	WriteLatency() time.Duration
	// Peers returns the other members of the group that are not known dead.
	Peers() []message.Member
}

// Callbacks connect a Manager with the machine that it is a part of.
type Callbacks struct {
	// Eligible reports whether this voter may become a candidate for a tag.
	Eligible func(tag string) bool
	// OnAcquired is called when this voter has become the holder of a tag.
	OnAcquired func(env *statemachine.Env, tag string, epoch int64)
	// OnLost is called when this voter is no longer the holder of a tag.
	OnLost func(env *statemachine.Env, tag string, epoch int64)
}

// Manager runs one voter's part in the leases of all tags of its group.
type Manager struct {
	settings    settings.Settings
	host        Host
	quorum      *quorum.Quorum
	tags        map[string]*tagState
	tagNames    []string      // sorted
	grantsFrom  time.Duration // when the wait after a start ends; notStarted before it has begun
	votesAreOwn bool          // this disk wrote the votes itself, with every promise that it made
	lastRound   int64         // number of the last round of requests
	callbacks   Callbacks
}

// tagState is a voter's state for one tag, by role.
type tagState struct {
	name      string
	acceptor  acceptorState
	candidate candidateState
	holder    holderState
}

// New returns the manager of the leases of tags. votes are the votes that this voter's disk holds.
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
	m.grantsFrom = notStarted
	return m
}

func newTagState(name string) *tagState {
	return &tagState{name: name, acceptor: newAcceptorState(name)}
}

// Restore takes votes over from the disk or from another voter's grant. Of two votes for one tag the
// one with the higher epoch counts.
func (m *Manager) Restore(votes []message.Vote) {
	for _, vote := range votes {
		tag, known := m.tags[vote.LeaseName]
		if known && tag.acceptor.restore(vote) {
			tag.candidate.heldBefore = vote.Holder == m.quorum.Voter
		}
	}
}

// Votes returns the votes for all tags, as the snapshot on disk and grants to other voters hold them.
// Their epochs include those that this voter has asked for itself.
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

// BeginVoting starts the wait of a full lease before the first vote. A group that is newly founded
// has made no promise before, so it doesn't wait.
func (m *Manager) BeginVoting(env *statemachine.Env, newGroup bool) {
	m.grantsFrom = env.Now + m.settings.Lease()
	if newGroup {
		m.grantsFrom = env.Now
	}
	for _, name := range m.tagNames {
		m.tags[name].acceptor.begin(env.Now)
	}
}

// IsHolder reports whether this voter is active for a tag now, by its own clock.
func (m *Manager) IsHolder(tagName string, now time.Duration) bool {
	tag := m.tags[tagName]
	return tag != nil && tag.holder.activeAt(now) && !m.quorum.Removed
}

// LeaseExpiry returns when this voter's lease of a tag ends unless it is renewed before, by its own
// clock; 0 where it holds none.
func (m *Manager) LeaseExpiry(tagName string) time.Duration {
	tag := m.tags[tagName]
	if tag == nil || !tag.holder.holding {
		return 0
	}
	return tag.holder.expiresAt
}

// Epoch returns the highest epoch that this voter has voted for.
func (m *Manager) Epoch(tagName string) int64 { return m.tags[tagName].acceptor.vote.Epoch }

// Holder returns the voter that this one last voted for.
func (m *Manager) Holder(tagName string) string { return m.tags[tagName].acceptor.vote.Holder }

// ConfirmedSince reports whether a majority has renewed the lease in a round that began at or after
// since. A linearizable read waits for it; it compares times of the holder's clock only.
func (m *Manager) ConfirmedSince(tagName string, since time.Duration) bool {
	holder := &m.tags[tagName].holder
	return holder.holding && holder.expiresAt-m.settings.HolderLease() >= since
}

// Tick renews the leases that this voter holds, gives up those that have expired and campaigns for
// tags that are free.
func (m *Manager) Tick(env *statemachine.Env) {
	if !m.quorum.Voting() {
		m.releaseAll(env)
		return
	}
	if m.grantsFrom == notStarted {
		m.BeginVoting(env, false)
		m.votesAreOwn = true
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

// Handle takes a message of another voter. It returns false when the message is no lease message.
func (m *Manager) Handle(env *statemachine.Env, from string, received any) bool {
	switch received := received.(type) {
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

// Forget drops all leases, votes and promises, because another process has this voter now.
func (m *Manager) Forget(env *statemachine.Env) {
	for _, name := range m.tagNames {
		m.loseLease(env, m.tags[name], lostVoter)
		m.tags[name] = newTagState(name)
	}
	m.grantsFrom, m.votesAreOwn = notStarted, false
}

// ForceRecover raises all epochs above whatever the lost disks may have granted.
func (m *Manager) ForceRecover() {
	for _, tag := range m.tags {
		tag.acceptor.vote.Epoch += recoveryEpochGap
	}
}
