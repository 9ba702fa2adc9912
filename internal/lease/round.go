package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// round is one request to all voters and the grants received for it. Candidates request pre-votes and
// votes in rounds, and holders renew their lease in rounds.
type round struct {
	number    int64 // 0 matches no answer
	startedAt time.Duration
	grants    map[string]string // signatures by voter
	pending   bool              // not yet granted by a majority
	followUp  bool              // start another round as soon as this one is granted
}

// startRound starts a round: it requests the candidate's epoch from all voters, from this one last.
func (m *Manager) startRound(env *statemachine.Env, tag *tagState) {
	number := m.rounds.Next(env)
	tag.candidate.round = round{
		number:    number,
		startedAt: env.Now,
		grants:    map[string]string{},
		pending:   true,
	}
	tag.holder.renewAt = env.Now + m.settings.RenewEvery()
	request := message.LeaseRequest{
		Group:     m.quorum.Group,
		LeaseName: tag.name,
		Epoch:     tag.candidate.epoch,
		Voter:     m.quorum.Voter,
		Identity:  m.quorum.Signature(),
		Round:     number,
		PreVote:   tag.candidate.preVote,
	}
	m.sendToPeers(env, request)
	m.handleRequest(env, "", request)
}

// sendToPeers sends a message to the processes of the other voters.
func (m *Manager) sendToPeers(env *statemachine.Env, msg any) {
	for _, peer := range m.host.Peers() {
		if peer.Voter != m.quorum.Voter {
			env.Send(peer.Address, msg)
		}
	}
}

// handleVote processes a voter's answer to a request of this voter. Answers for a spent epoch, for
// another epoch or round, or with a signature that doesn't match the member list don't count as grants.
func (m *Manager) handleVote(env *statemachine.Env, vote message.LeaseVote) {
	tag, known := m.tags[vote.LeaseName]
	if !known {
		return
	}
	candidate := &tag.candidate
	candidate.highestSeen = max(candidate.highestSeen, vote.HighestEpoch)
	if vote.Epoch != candidate.epoch || vote.Epoch <= candidate.spentEpoch && !guardsOff.spentEpoch {
		return
	}
	if !m.quorum.VerifySignature(vote.Voter, vote.Identity) {
		return
	}
	if !vote.Granted {
		m.handleRefusal(env, tag, vote)
		return
	}
	if vote.Round != candidate.round.number || vote.PreVote != candidate.preVote {
		return
	}
	candidate.round.grants[vote.Voter] = vote.Identity
	if !m.quorum.Majority(candidate.round.grants) && !guardsOff.majorityVote {
		return
	}
	switch {
	case candidate.preVote:
		m.requestVote(env, tag)
	case tag.acceptor.vote.Epoch <= candidate.epoch:
		m.completeRound(env, tag)
	}
}
