package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// candidateState is the state of a voter that asks for votes.
type candidateState struct {
	epoch         int64 // that it asks for and, once granted, holds the tag under
	spentEpoch    int64 // the last epoch that was held and lost; it is never acquired again
	highestSeen   int64 // highest epoch that another voter has reported
	round         round
	preVote       bool          // the round is a pre-vote
	preVotes      int           // pre-votes begun since this voter last granted a renewal
	nextAttemptAt time.Duration // no campaign begins before
	freeSince     time.Duration // since when no promise has bound this voter; 0 while one does

	heldBefore       bool   // this voter has held the tag, in this life or the one before
	otherHolder      string // another voter that has claimed the tag since
	otherHolderSince time.Duration
}

// inPreVote reports whether a pre-vote is under way that goes before those of later voters.
func (c *candidateState) inPreVote(now time.Duration) bool {
	return c.preVote && now < c.nextAttemptAt && c.preVotes <= maxPrecedentPreVotes
}

// backOff forbids the next attempt for a random time between wait and twice wait, so that candidates
// that collided don't collide again.
func (c *candidateState) backOff(env *statemachine.Env, wait time.Duration) {
	c.nextAttemptAt = env.Now + wait + randomUpTo(env, wait)
}

// tickCandidate begins a campaign when the tag is free and nothing speaks for another candidate.
func (m *Manager) tickCandidate(env *statemachine.Env, tag *tagState) {
	candidate := &tag.candidate
	if env.Now < tag.acceptor.promisedUntil {
		candidate.freeSince = 0
		return
	}
	if !m.mayCampaign(env.Now, tag) {
		return
	}
	if candidate.freeSince == 0 {
		candidate.freeSince = env.Now
	}
	if m.waitsForFasterDisks(env.Now, tag) || m.coolsDown(env.Now, tag) {
		return
	}
	if m.postponesForReserved(env, tag) || m.postponesForPreferred(env, tag) {
		return
	}
	if !m.enoughPeers() {
		return
	}
	m.campaign(env, tag)
}

// mayCampaign reports whether this voter may be a candidate now. In the wait after a restart only the
// holder that its disk names may.
func (m *Manager) mayCampaign(now time.Duration, tag *tagState) bool {
	if now < m.grantsFrom && !m.promisedTo(tag, m.quorum.Voter, m.quorum.State.Identity) {
		return false
	}
	return now >= tag.candidate.nextAttemptAt && m.callbacks.Eligible(tag.name)
}

// waitsForFasterDisks reports whether voters with faster disks may still try first.
func (m *Manager) waitsForFasterDisks(now time.Duration, tag *tagState) bool {
	return now-tag.candidate.freeSince < min(m.host.WriteLatency()*2, m.settings.Lease())
}

// coolsDown reports whether this voter held the tag too recently, by its own knowledge, to ask for it
// again. The other voters may have forgotten.
func (m *Manager) coolsDown(now time.Duration, tag *tagState) bool {
	if tag.name == settings.UsageLease && tag.acceptor.inCoolDown(m.quorum.Voter, now, m.settings.HolderCooldown()) {
		return true
	}
	candidate := &tag.candidate
	return candidate.heldBefore && candidate.otherHolder != "" && tag.acceptor.reservedFor != m.quorum.Voter &&
		now-candidate.otherHolderSince < m.settings.HolderCooldown()
}

// postponesForReserved postpones the campaign, once, when the last holder has transferred the tag to
// another voter. It reports whether it did.
func (m *Manager) postponesForReserved(env *statemachine.Env, tag *tagState) bool {
	if !tag.acceptor.reservedAgainst(m.quorum.Voter) {
		return false
	}
	tag.candidate.nextAttemptAt = env.Now + m.settings.Lease()/2
	tag.acceptor.reservedFor = ""
	return true
}

// postponesForPreferred postpones the first campaign by a part of a lease, so that the preferred voter
// asks before the others. It reports whether it did.
func (m *Manager) postponesForPreferred(env *statemachine.Env, tag *tagState) bool {
	candidate := &tag.candidate
	first := candidate.epoch <= max(tag.acceptor.vote.Epoch, candidate.highestSeen) && candidate.nextAttemptAt == 0
	if !first || m.preferred(tag.name) || tag.acceptor.reservedFor != "" || env.Now < m.grantsFrom {
		return false
	}
	part := m.settings.Lease() / 3
	candidate.backOff(env, part)
	if m.quorum.DiscoversVoters() && m.settings.PreferredHolders[tag.name] == "" {
		candidate.nextAttemptAt -= part
	}
	return true
}

// preferred reports whether the settings prefer this voter for a tag.
func (m *Manager) preferred(tagName string) bool {
	return m.settings.PreferredHolders[tagName] == m.quorum.Voter
}

// precedes reports whether this voter goes before another when both are candidates at one time.
func (m *Manager) precedes(tagName, other string) bool {
	if wanted := m.settings.PreferredHolders[tagName]; wanted == other || wanted == m.quorum.Voter {
		return wanted == m.quorum.Voter
	}
	return m.quorum.Voter < other
}

// enoughPeers reports whether a majority of voters is known, this one included; without it a pre-vote
// would only cost time.
func (m *Manager) enoughPeers() bool { return (len(m.host.Peers())+1)*2 > m.quorum.Size() }

// campaign begins a pre-vote for an epoch above all that are known here.
func (m *Manager) campaign(env *statemachine.Env, tag *tagState) {
	candidate := &tag.candidate
	candidate.epoch = max(tag.acceptor.vote.Epoch, candidate.highestSeen, candidate.epoch) + 1
	candidate.preVote = true
	candidate.preVotes++
	candidate.backOff(env, m.settings.RenewEvery()/2)
	m.startRound(env, tag)
}

// requestVote asks for votes, after a majority has granted the pre-vote.
func (m *Manager) requestVote(env *statemachine.Env, tag *tagState) {
	tag.candidate.preVote = false
	tag.candidate.backOff(env, m.settings.Lease()/2)
	m.startRound(env, tag)
}

// postponePreVote ends this voter's own pre-vote, if it makes one, in favour of another candidate's.
// Rounds are numbered from 1, so no answer that is still on its way counts.
func (m *Manager) postponePreVote(env *statemachine.Env, tag *tagState) {
	candidate := &tag.candidate
	if !candidate.preVote {
		return
	}
	candidate.preVote = false
	candidate.round.number = 0
	candidate.backOff(env, m.settings.RenewEvery())
}

// recordOtherHolder records that another voter asks for a tag in earnest, which it does only as its
// holder or with a majority of pre-votes: it matters to this voter's own cool-down.
func (m *Manager) recordOtherHolder(env *statemachine.Env, tag *tagState, request message.LeaseRequest) {
	candidate := &tag.candidate
	if request.PreVote || request.Voter == m.quorum.Voter || request.Voter == candidate.otherHolder {
		return
	}
	if request.Epoch >= tag.acceptor.vote.Epoch && m.quorum.VerifySignature(request.Voter, request.Identity) {
		candidate.otherHolder, candidate.otherHolderSince = request.Voter, env.Now
	}
}

// randomUpTo returns a random duration from 0 up to, but without, limit.
func randomUpTo(env *statemachine.Env, limit time.Duration) time.Duration {
	return time.Duration(env.Random.Int64N(int64(limit)))
}
