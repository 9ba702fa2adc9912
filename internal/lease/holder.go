package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Causes in the journal event lease-lost.
const (
	lostExpired         = "lease expired"
	lostNotVoting       = "not voting"
	lostVoterReassigned = "another process has the voter"
)

// holderState is a voter's state as the holder of one tag. The epoch of the lease is candidateState.epoch.
type holderState struct {
	holding          bool
	acquiredAt       time.Duration
	expiresAt        time.Duration // HolderLease after the start of the last round that a majority granted
	renewAt          time.Duration // start of the next renewal round
	nextEpochRaiseAt time.Duration // the epoch is not raised before this time
}

// activeAt reports whether the lease is held and has not expired.
func (h *holderState) activeAt(now time.Duration) bool {
	return h.holding && (now < h.expiresAt || guardsOff.leaseEnd)
}

// tickHolder renews the lease when a renewal is due, and ends the lease when it has expired.
func (m *Manager) tickHolder(env *statemachine.Env, tag *tagState) {
	switch {
	case !tag.holder.activeAt(env.Now):
		m.loseLease(env, tag, lostExpired)
		tag.candidate.nextAttemptAt = env.Now + randomUpTo(env, m.settings.Lease())
	case env.Now >= tag.holder.renewAt:
		m.failBackToPreferred(env, tag)
		if tag.holder.holding {
			m.startRound(env, tag)
		}
	}
}

// RenewNow renews a lease before the renewal is due. If a round started less than a quarter of the renewal
// interval ago and is still pending, it requests a follow-up round instead, because replacing the pending
// round on every call would prevent any round from being granted.
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

// completeRound processes a round that a majority has granted: it extends the lease, or acquires it if
// this voter doesn't hold it yet.
func (m *Manager) completeRound(env *statemachine.Env, tag *tagState) {
	current := &tag.candidate.round
	tag.holder.expiresAt = max(tag.holder.expiresAt, current.startedAt+m.settings.HolderLease())
	if !tag.holder.holding && env.Now < tag.holder.expiresAt {
		m.acquireLease(env, tag)
	}
	current.pending = false
	if current.followUp && tag.holder.holding {
		m.startRound(env, tag)
	}
}

// acquireLease makes this voter the holder of a tag.
func (m *Manager) acquireLease(env *statemachine.Env, tag *tagState) {
	tag.holder.holding = true
	tag.holder.acquiredAt = env.Now
	tag.candidate.wasHolder = true
	tag.candidate.otherHolder = ""
	env.Event("lease-taken", 0, tag.candidate.epoch, tag.name+" by "+m.quorum.Voter)
	m.callbacks.OnAcquired(env, tag.name, tag.candidate.epoch)
}

// loseLease ends this voter's lease, if it holds one, and marks the epoch as spent. cause is the reason in
// the journal.
func (m *Manager) loseLease(env *statemachine.Env, tag *tagState, cause string) {
	if !tag.holder.holding {
		return
	}
	tag.holder.holding = false
	tag.candidate.spentEpoch = tag.candidate.epoch
	env.Event("lease-lost", 0, tag.candidate.epoch, tag.name+": "+cause)
	m.callbacks.OnLost(env, tag.name, tag.candidate.epoch)
}

// handleRefusal ends the lease of a holder and campaigns for a higher epoch if the refusing voter has
// voted in the holder's epoch or a higher one. It does so at most once per lease duration. It ignores
// voters that are still bound by a promise to another candidate, since that promise expires by itself.
func (m *Manager) handleRefusal(env *statemachine.Env, tag *tagState, vote message.LeaseVote) {
	if !tag.holder.holding || vote.HighestEpoch < tag.candidate.epoch || vote.Reason == string(refusedPromisedToAnother) {
		return
	}
	if env.Now < tag.holder.nextEpochRaiseAt || !m.callbacks.Eligible(tag.name) {
		return
	}
	tag.holder.nextEpochRaiseAt = env.Now + m.settings.Lease()
	m.loseLease(env, tag, "raises its epoch: "+vote.Voter+" has voted otherwise")
	m.campaign(env, tag)
}
