package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Causes of the event lease-lost.
const (
	lostExpired   = "lease expired"
	lostNotVoting = "not voting"
	lostVoter     = "another process has the voter"
)

// holderState is the state of a voter's own lease. While it holds the tag its epoch is the candidate's.
type holderState struct {
	holding     bool
	acquiredAt  time.Duration
	expiresAt   time.Duration // counted from the start of the last round that a majority granted
	renewAt     time.Duration // when the next round begins
	nextRaiseAt time.Duration // the epoch is raised no sooner than this
}

// activeAt reports whether the lease is held and has not expired.
func (h *holderState) activeAt(now time.Duration) bool {
	return h.holding && (now < h.expiresAt || guardsOff.leaseEnd)
}

// tickHolder renews the lease when it is time, and ends it when it has expired.
func (m *Manager) tickHolder(env *statemachine.Env, tag *tagState) {
	switch {
	case !tag.holder.activeAt(env.Now):
		m.loseLease(env, tag, lostExpired)
		tag.candidate.nextAttemptAt = env.Now + randomUpTo(env, m.settings.Lease())
	case env.Now >= tag.holder.renewAt:
		m.returnToPreferred(env, tag)
		if tag.holder.holding {
			m.startRound(env, tag)
		}
	}
}

// RenewNow renews a lease before it is time. While a round is under way it asks for another behind it
// instead: a round that each caller began anew would never be granted.
func (m *Manager) RenewNow(tagName string, env *statemachine.Env) {
	tag := m.tags[tagName]
	current := &tag.candidate.round
	switch {
	case !tag.holder.holding:
	case current.pending && env.Now-current.startedAt < m.settings.RenewEvery()/4:
		current.followUp = true
	default:
		m.startRound(env, tag)
	}
}

// completeRound extends the lease after a majority has granted the round, and acquires it if this
// voter didn't hold it.
func (m *Manager) completeRound(env *statemachine.Env, tag *tagState) {
	granted := &tag.candidate.round
	tag.holder.expiresAt = max(tag.holder.expiresAt, granted.startedAt+m.settings.HolderLease())
	if !tag.holder.holding && env.Now < tag.holder.expiresAt {
		m.acquireLease(env, tag)
	}
	granted.pending = false
	if granted.followUp && tag.holder.holding {
		m.startRound(env, tag)
	}
}

func (m *Manager) acquireLease(env *statemachine.Env, tag *tagState) {
	tag.holder.holding = true
	tag.holder.acquiredAt = env.Now
	tag.candidate.heldBefore = true
	tag.candidate.otherHolder = ""
	env.Event("lease-taken", 0, tag.candidate.epoch, tag.name+" by "+m.quorum.Voter)
	m.callbacks.OnAcquired(env, tag.name, tag.candidate.epoch)
}

// loseLease ends this voter's lease, if it holds one. The epoch is spent.
func (m *Manager) loseLease(env *statemachine.Env, tag *tagState, cause string) {
	if !tag.holder.holding {
		return
	}
	tag.holder.holding = false
	tag.candidate.spentEpoch = tag.candidate.epoch
	env.Event("lease-lost", 0, tag.candidate.epoch, tag.name+": "+cause)
	m.callbacks.OnLost(env, tag.name, tag.candidate.epoch)
}

// handleRefusal raises the holder's epoch when a voter has voted for another candidate or for an epoch
// that is as high, at most once a lease. A voter that says it is still promised to another is left
// alone: its promise ends by itself.
func (m *Manager) handleRefusal(env *statemachine.Env, tag *tagState, vote message.LeaseVote) {
	if !tag.holder.holding || vote.HighestEpoch < tag.candidate.epoch || vote.Reason == string(refusedHeldByAnother) {
		return
	}
	if env.Now < tag.holder.nextRaiseAt || !m.callbacks.Eligible(tag.name) {
		return
	}
	tag.holder.nextRaiseAt = env.Now + m.settings.Lease()
	m.loseLease(env, tag, "raises its epoch: "+vote.Voter+" has voted otherwise")
	m.campaign(env, tag)
}
