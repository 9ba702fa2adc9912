package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/statemachine"
)

// acceptorState is a voter's state as an acceptor for one tag: the last vote that it cast, and the
// promises and reservations that restrict its next vote.
type acceptorState struct {
	vote              message.Vote
	voteSynced        bool          // vote is durable
	promisedUntil     time.Duration // no other candidate is granted before this time
	holderConfirmed   bool          // vote.Holder has renewed, so it has acquired the tag
	coolDownStartedAt time.Duration // start of the cool-down of vote.PreviousHolder
	// lastHeldAt holds, for each voter in cool-down, the latest time at which it may have held the tag.
	// Only the usage tag uses it.
	lastHeldAt    map[string]time.Duration
	reservedFor   string        // voter to which the last holder transferred the tag; "" if none
	reservedUntil time.Duration // end of the reservation for reservedFor
}

// newAcceptorState returns the state of an acceptor that has never voted.
func newAcceptorState(tagName string) acceptorState {
	return acceptorState{
		vote:       message.Vote{LeaseName: tagName},
		voteSynced: true,
		lastHeldAt: map[string]time.Duration{},
	}
}

// restore replaces the acceptor's vote by a stored vote if the stored one has a higher epoch. It reports
// whether it did.
func (a *acceptorState) restore(vote message.Vote) bool {
	if vote.Epoch <= a.vote.Epoch {
		return false
	}
	a.vote, a.voteSynced = vote, true
	return true
}

// startVoting prepares the acceptor for voting after a start. The state since its last vote is unknown,
// so the candidate of that vote is assumed to have held the tag until now.
func (a *acceptorState) startVoting(now time.Duration) {
	a.coolDownStartedAt = now
	a.holderConfirmed = a.vote.Holder != ""
	a.restartCoolDowns(now)
}

// votedFor reports whether the last vote is for this voter with the disk identity in signature.
func (a *acceptorState) votedFor(voter, signature string) bool {
	return a.vote.Holder == voter && a.vote.Identity == quorum.SignatureIdentity(signature)
}

// renew extends the promise to the holder.
func (a *acceptorState) renew(now, lease time.Duration) {
	a.promisedUntil = now + lease
	if !a.holderConfirmed {
		a.holderConfirmed, a.coolDownStartedAt = true, now
	}
}

// changeVote records a vote for the request in memory. The vote must not be granted before it is synced.
func (a *acceptorState) changeVote(request message.LeaseRequest, now, lease, coolDown time.Duration) {
	if !a.votedFor(request.Voter, request.Identity) {
		if a.holderConfirmed {
			a.startCoolDown(now, coolDown)
		}
		a.holderConfirmed = false
		a.coolDownStartedAt = now
	}
	a.vote.Epoch = request.Epoch
	a.vote.Holder = request.Voter
	a.vote.Identity = quorum.SignatureIdentity(request.Identity)
	a.voteSynced = false
	a.promisedUntil = now + lease
	a.reservedFor = ""
}

// handleRequest answers a request of a candidate or a holder. from is the address of the sender; it is
// empty for this voter's own request.
func (m *Manager) handleRequest(env *statemachine.Env, from string, request message.LeaseRequest) {
	tag, known := m.tags[request.LeaseName]
	if !known {
		return
	}
	m.recordOtherHolder(env, tag, request)
	if !m.mayAnswer(env.Now, tag, request) {
		return
	}
	answer := message.LeaseVote{
		Group:        request.Group,
		LeaseName:    request.LeaseName,
		Epoch:        request.Epoch,
		Round:        request.Round,
		Voter:        m.quorum.Voter,
		PreVote:      request.PreVote,
		HighestEpoch: max(tag.acceptor.vote.Epoch, tag.candidate.highestSeen),
	}
	decision := decide(tag, request, decisionInputs{
		now:           env.Now,
		isMember:      m.quorum.VerifySignature(request.Voter, request.Identity),
		hasPrecedence: m.hasPrecedenceOver(request.LeaseName, request.Voter),
		coolDown:      m.settings.HolderCooldown(),
	})
	switch decision.action {
	case ignore:
		return
	case castVote:
		m.castVote(env, from, tag, request, answer)
		return
	case renew:
		tag.acceptor.renew(env.Now, m.settings.Lease())
		tag.candidate.preVoteCount = 0
	case grantPreVote:
		if from != "" {
			m.abandonPreVote(env, tag)
		}
	}
	answer.Granted = decision.action != refuse
	answer.Reason = string(decision.reason)
	m.sendAnswer(env, from, answer)
}

// mayAnswer reports whether this voter may answer a request. During the wait after a start it answers
// only the holder recorded on its own disk.
func (m *Manager) mayAnswer(now time.Duration, tag *tagState, request message.LeaseRequest) bool {
	if !m.quorum.Voting() || m.restartWaitEnd == restartWaitNotStarted {
		return false
	}
	return now >= m.restartWaitEnd || m.lastPromisedTo(tag, request.Voter, request.Identity) || guardsOff.restartWait
}

// lastPromisedTo reports whether the last promise recorded on this disk was made to this voter with the
// disk identity in signature. If so, no promise from before a restart can conflict with granting it again.
func (m *Manager) lastPromisedTo(tag *tagState, voter, signature string) bool {
	return m.promisesOnDisk && tag.acceptor.voteSynced && tag.acceptor.votedFor(voter, signature)
}

// castVote votes for a request. It answers the request once the vote is synced, unless the vote has
// changed in the meantime or the write has failed.
func (m *Manager) castVote(env *statemachine.Env, from string, tag *tagState, request message.LeaseRequest,
	answer message.LeaseVote) {
	acceptor := &tag.acceptor
	acceptor.changeVote(request, env.Now, m.settings.Lease(), m.settings.HolderCooldown())
	answer.Granted = true
	if guardsOff.syncedVote {
		m.sendAnswer(env, from, answer)
	}
	vote := acceptor.vote
	m.host.Persist(env, vote, func(env *statemachine.Env, failure error) {
		if failure != nil || acceptor.vote != vote {
			return
		}
		acceptor.voteSynced = true
		acceptor.promisedUntil = env.Now + m.settings.Lease()
		m.sendAnswer(env, from, answer)
	})
}

// sendAnswer sends an answer to the candidate at the address to, or processes it directly if to is empty.
// It signs the answer at the time of sending, because the signature may change while a vote is synced.
func (m *Manager) sendAnswer(env *statemachine.Env, to string, answer message.LeaseVote) {
	answer.Identity = m.quorum.Signature()
	if to == "" {
		m.handleVote(env, answer)
		return
	}
	env.Send(to, answer)
}
