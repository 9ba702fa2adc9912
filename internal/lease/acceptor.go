package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/statemachine"
)

// acceptorState is the state of a granting voter: the vote that it has cast for a tag, and what binds it
// besides the vote.
type acceptorState struct {
	vote            message.Vote
	voteSynced      bool          // the vote is on disk
	promisedUntil   time.Duration // no other candidate is granted before
	holderConfirmed bool          // the candidate voted for has renewed, so it did hold the tag
	coolDownFrom    time.Duration // when the cool-down of the holder before, vote.PreviousHolder, began
	// heldUntil is when each voter that cools down held the tag last, at the latest.
	heldUntil     map[string]time.Duration
	reservedFor   string // the voter to which the last holder has transferred the tag
	reservedUntil time.Duration
}

func newAcceptorState(tagName string) acceptorState {
	return acceptorState{
		vote:       message.Vote{LeaseName: tagName},
		voteSynced: true,
		heldUntil:  map[string]time.Duration{},
	}
}

// restore takes over a vote whose epoch is higher than that of the acceptor's own. It reports whether
// it did.
func (a *acceptorState) restore(vote message.Vote) bool {
	if vote.Epoch <= a.vote.Epoch {
		return false
	}
	a.vote, a.voteSynced = vote, true
	return true
}

// begin starts the acceptor's work after a restart, when it can't know what happened since its last
// vote: the candidate voted for is taken to have held the tag until now.
func (a *acceptorState) begin(now time.Duration) {
	a.coolDownFrom = now
	a.holderConfirmed = a.vote.Holder != ""
	a.restartCoolDowns(now)
}

// votedFor reports whether the vote is for this candidate, with this disk.
func (a *acceptorState) votedFor(voter, signature string) bool {
	return a.vote.Holder == voter && a.vote.Identity == quorum.SignatureIdentity(signature)
}

// renew extends the promise to the holder.
func (a *acceptorState) renew(now, lease time.Duration) {
	a.promisedUntil = now + lease
	if !a.holderConfirmed {
		a.holderConfirmed, a.coolDownFrom = true, now
	}
}

// changeVote votes for a request. The vote doesn't count before it is synced.
func (a *acceptorState) changeVote(request message.LeaseRequest, now, lease, coolDown time.Duration) {
	if !a.votedFor(request.Voter, request.Identity) {
		if a.holderConfirmed {
			a.startCoolDown(now, coolDown)
		}
		a.holderConfirmed = false
		a.coolDownFrom = now
	}
	a.vote.Epoch = request.Epoch
	a.vote.Holder = request.Voter
	a.vote.Identity = quorum.SignatureIdentity(request.Identity)
	a.voteSynced = false
	a.promisedUntil = now + lease
	a.reservedFor = ""
}

// handleRequest answers a candidate or a holder; from is empty when the request is this voter's own.
func (m *Manager) handleRequest(env *statemachine.Env, from string, request message.LeaseRequest) {
	tag, known := m.tags[request.LeaseName]
	if !known {
		return
	}
	m.recordOtherHolder(env, tag, request)
	if !m.mayVote(env.Now, tag, request) {
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
	decided := decide(tag, request, decisionInputs{
		now:      env.Now,
		accepted: m.quorum.VerifySignature(request.Voter, request.Identity),
		precedes: m.precedes(request.LeaseName, request.Voter),
		coolDown: m.settings.HolderCooldown(),
	})
	switch decided.action {
	case ignore:
		return
	case castVote:
		m.castVote(env, from, tag, request, answer)
		return
	case renew:
		tag.acceptor.renew(env.Now, m.settings.Lease())
		tag.candidate.preVotes = 0
	case grantPreVote:
		if from != "" {
			m.postponePreVote(env, tag)
		}
	}
	answer.Granted = decided.action != refuse
	answer.Reason = string(decided.reason)
	m.answer(env, from, answer)
}

// mayVote reports whether this voter may answer a request at all. In the wait after a restart it
// answers only the holder that its disk names.
func (m *Manager) mayVote(now time.Duration, tag *tagState, request message.LeaseRequest) bool {
	if !m.quorum.Voting() || m.grantsFrom == notStarted {
		return false
	}
	return now >= m.grantsFrom || m.promisedTo(tag, request.Voter, request.Identity) || guardsOff.restartWait
}

// promisedTo reports whether the last promise that this disk made was to this very candidate: no
// promise forgotten in a restart can then forbid to grant it again.
func (m *Manager) promisedTo(tag *tagState, voter, signature string) bool {
	return m.votesAreOwn && tag.acceptor.voteSynced && tag.acceptor.votedFor(voter, signature)
}

// castVote votes for a request and answers it once the vote is synced, unless another vote has been
// cast by then.
func (m *Manager) castVote(env *statemachine.Env, from string, tag *tagState, request message.LeaseRequest,
	answer message.LeaseVote) {
	acceptor := &tag.acceptor
	acceptor.changeVote(request, env.Now, m.settings.Lease(), m.settings.HolderCooldown())
	answer.Granted = true
	if guardsOff.syncedVote {
		m.answer(env, from, answer)
	}
	vote := acceptor.vote
	m.host.Persist(env, vote, func(env *statemachine.Env, failure error) {
		if failure != nil || acceptor.vote != vote {
			return
		}
		acceptor.voteSynced = true
		acceptor.promisedUntil = env.Now + m.settings.Lease()
		m.answer(env, from, answer)
	})
}

// answer signs an answer, as late as it is sent, and sends it to the candidate.
func (m *Manager) answer(env *statemachine.Env, to string, answer message.LeaseVote) {
	answer.Identity = m.quorum.Signature()
	if to == "" {
		m.handleVote(env, answer)
		return
	}
	env.Send(to, answer)
}
