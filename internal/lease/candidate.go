package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// candidateState is a voter's state as a candidate for one tag. A holder keeps using its epoch and round.
type candidateState struct {
	epoch           int64 // epoch that it requests and, once acquired, holds the tag in
	spentEpoch      int64 // last epoch whose lease was lost; it must not be acquired again
	highestSeen     int64 // highest epoch reported in the answers to its requests
	round           round
	preVote         bool          // round is a pre-vote
	preVoteCount    int           // pre-votes started since this voter last granted a renewal
	nextAttemptAt   time.Duration // no campaign starts before this time
	unpromisedSince time.Duration // first tick that found no promise in force and a campaign allowed; 0 while a promise is in force

	wasHolder        bool          // this voter has held the tag, or its restored vote is for itself
	otherHolder      string        // voter that has since claimed the tag; "" if none
	otherHolderSince time.Duration // time of the first such claim by otherHolder
}

// preVoteHasPrecedence reports whether a pre-vote is in progress that takes precedence over pre-votes of
// lower-ranked voters (see Manager.hasPrecedenceOver).
func (c *candidateState) preVoteHasPrecedence(now time.Duration) bool {
	return c.preVote && now < c.nextAttemptAt && c.preVoteCount <= maxPreVotesWithPrecedence
}

// backOff delays the next attempt by a random duration between wait and twice wait, so that candidates
// whose requests collided don't collide again.
func (c *candidateState) backOff(env *statemachine.Env, wait time.Duration) {
	c.nextAttemptAt = env.Now + wait + randomUpTo(env, wait)
}

// tickCandidate starts a campaign if no promise is in force and this voter need not defer to another
// candidate.
func (m *Manager) tickCandidate(env *statemachine.Env, tag *tagState) {
	candidate := &tag.candidate
	if env.Now < tag.acceptor.promisedUntil {
		candidate.unpromisedSince = 0
		return
	}
	if !m.mayCampaign(env.Now, tag) {
		return
	}
	if candidate.unpromisedSince == 0 {
		candidate.unpromisedSince = env.Now
	}
	if m.defersToFasterDisks(env.Now, tag) || m.inOwnCoolDown(env.Now, tag) {
		return
	}
	if m.deferToReserved(env, tag) || m.deferToPreferred(env, tag) {
		return
	}
	if !m.knowsMajority() {
		return
	}
	m.campaign(env, tag)
}

// mayCampaign reports whether this voter may start a campaign now. During the wait after a start it may
// do so only if its own disk records itself as the holder.
func (m *Manager) mayCampaign(now time.Duration, tag *tagState) bool {
	if now < m.restartWaitEnd && !m.lastPromisedTo(tag, m.quorum.Voter, m.quorum.State.Identity) {
		return false
	}
	return now >= tag.candidate.nextAttemptAt && m.callbacks.Eligible(tag.name)
}

// defersToFasterDisks reports whether this voter still leaves the first attempt to voters with faster
// disks. It waits for two write latencies, but at most for a lease.
func (m *Manager) defersToFasterDisks(now time.Duration, tag *tagState) bool {
	return now-tag.candidate.unpromisedSince < min(m.host.WriteLatency()*2, m.settings.Lease())
}

// inOwnCoolDown reports whether this voter, by its own records, held the tag too recently to campaign for
// it again. It doesn't rely on the other voters to refuse, since they may have lost their records.
func (m *Manager) inOwnCoolDown(now time.Duration, tag *tagState) bool {
	if tag.name == settings.UsageLease && tag.acceptor.inCoolDown(m.quorum.Voter, now, m.settings.HolderCooldown()) {
		return true
	}
	candidate := &tag.candidate
	return candidate.wasHolder && candidate.otherHolder != "" && tag.acceptor.reservedFor != m.quorum.Voter &&
		now-candidate.otherHolderSince < m.settings.HolderCooldown()
}

// deferToReserved postpones the campaign by half a lease if the last holder has transferred the tag to
// another voter. It does so once per transfer, and reports whether it did.
func (m *Manager) deferToReserved(env *statemachine.Env, tag *tagState) bool {
	if !tag.acceptor.reservedAgainst(m.quorum.Voter) {
		return false
	}
	tag.candidate.nextAttemptAt = env.Now + m.settings.Lease()/2
	tag.acceptor.reservedFor = ""
	return true
}

// deferToPreferred postpones the first campaign of a voter that isn't the preferred one, so that the
// preferred voter campaigns first. The delay is random, from a third to two thirds of a lease; if voters
// are discovered and none is preferred, it is up to a third. It reports whether it postponed the
// campaign.
func (m *Manager) deferToPreferred(env *statemachine.Env, tag *tagState) bool {
	candidate := &tag.candidate
	firstAttempt := candidate.epoch <= max(tag.acceptor.vote.Epoch, candidate.highestSeen) && candidate.nextAttemptAt == 0
	if !firstAttempt || m.isPreferred(tag.name) || tag.acceptor.reservedFor != "" || env.Now < m.restartWaitEnd {
		return false
	}
	delay := m.settings.Lease() / 3
	candidate.backOff(env, delay)
	if m.quorum.DiscoversVoters() && m.settings.PreferredHolders[tag.name] == "" {
		candidate.nextAttemptAt -= delay
	}
	return true
}

// isPreferred reports whether this voter is the preferred voter of a tag.
func (m *Manager) isPreferred(tagName string) bool {
	return m.settings.PreferredHolders[tagName] == m.quorum.Voter
}

// hasPrecedenceOver reports whether this voter takes precedence over another when both are candidates
// for a tag. The preferred voter ranks first, then the voters in the order of their names.
func (m *Manager) hasPrecedenceOver(tagName, other string) bool {
	if preferred := m.settings.PreferredHolders[tagName]; preferred == other || preferred == m.quorum.Voter {
		return preferred == m.quorum.Voter
	}
	return m.quorum.Voter < other
}

// knowsMajority reports whether this voter and its known peers form a majority. Without one, a pre-vote
// can't succeed and would only delay the next attempt.
func (m *Manager) knowsMajority() bool { return (len(m.host.Peers())+1)*2 > m.quorum.Size() }

// campaign starts a pre-vote for an epoch higher than all epochs known to this voter.
func (m *Manager) campaign(env *statemachine.Env, tag *tagState) {
	candidate := &tag.candidate
	candidate.epoch = max(tag.acceptor.vote.Epoch, candidate.highestSeen, candidate.epoch) + 1
	candidate.preVote = true
	candidate.preVoteCount++
	candidate.backOff(env, m.settings.RenewEvery()/2)
	m.startRound(env, tag)
}

// requestVote requests votes after a majority has granted the pre-vote.
func (m *Manager) requestVote(env *statemachine.Env, tag *tagState) {
	tag.candidate.preVote = false
	tag.candidate.backOff(env, m.settings.Lease()/2)
	m.startRound(env, tag)
}

// abandonPreVote ends this voter's own pre-vote, if one is in progress, in favour of the pre-vote of
// another candidate. It sets the round number to 0: rounds are numbered from 1, so answers still in
// flight match no round.
func (m *Manager) abandonPreVote(env *statemachine.Env, tag *tagState) {
	candidate := &tag.candidate
	if !candidate.preVote {
		return
	}
	candidate.preVote = false
	candidate.round.number = 0
	candidate.backOff(env, m.settings.RenewEvery())
}

// recordOtherHolder records a vote or renewal request of another voter, for this voter's own cool-down
// (see inOwnCoolDown). Another voter sends such a request only as the holder of the tag or after a
// majority has granted its pre-vote.
func (m *Manager) recordOtherHolder(env *statemachine.Env, tag *tagState, request message.LeaseRequest) {
	candidate := &tag.candidate
	if request.PreVote || request.Voter == m.quorum.Voter || request.Voter == candidate.otherHolder {
		return
	}
	if request.Epoch >= tag.acceptor.vote.Epoch && m.quorum.VerifySignature(request.Voter, request.Identity) {
		candidate.otherHolder, candidate.otherHolderSince = request.Voter, env.Now
	}
}

// randomUpTo returns a random duration in [0, limit).
func randomUpTo(env *statemachine.Env, limit time.Duration) time.Duration {
	return time.Duration(env.Random.Int64N(int64(limit)))
}
