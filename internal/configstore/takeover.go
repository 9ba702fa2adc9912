package configstore

import (
	"fmt"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// takeover is the state of a new holder of the lease before it serves: it reads the log positions of a
// majority, fetches the log with the highest one, and commits it again in its own epoch. A majority has
// every write that an earlier holder acknowledged, so at least one voter of the majority that is read has
// it, and a log with a higher position has it too.
type takeover struct {
	positions map[string]message.LogPositionResponse // by voter
	source    message.LogPositionResponse            // the response with the highest position
	recommit  message.LogRecommit
}

// leaseAcquired is called when this voter has become the holder of the lease.
func (m *Machine) leaseAcquired(env *statemachine.Env, _ string, epoch int64) {
	m.leadership.term, m.leadership.phase, m.leadership.sentAt = epoch, readingPositions, 0
	m.leadership.followers = followerProgress{}
	own := m.positionResponse(epoch, m.log.position())
	own.Identity = m.quorum.State.Identity
	m.leadership.takeover.positions = map[string]message.LogPositionResponse{m.quorum.Voter: own}
	m.proposal.entry = nil
	m.step(env)
}

// requestPositions requests the log positions of all voters.
func (m *Machine) requestPositions(env *statemachine.Env) {
	for _, peer := range m.Peers() {
		env.Send(peer.Address, message.LogPositionRequest{
			Epoch:    m.leadership.term,
			Voter:    m.quorum.Voter,
			Identity: m.quorum.Signature(),
		})
	}
}

// positionResponse returns the response that reports a position of this voter's log.
func (m *Machine) positionResponse(epoch int64, end position) message.LogPositionResponse {
	return message.LogPositionResponse{
		Epoch:         epoch,
		Voter:         m.quorum.Voter,
		Identity:      m.quorum.Signature(),
		PositionEpoch: end.epoch,
		PositionSeq:   end.seq,
		Hash:          end.hash,
	}
}

// handlePosition records the log position of another voter.
func (m *Machine) handlePosition(env *statemachine.Env, response message.LogPositionResponse) {
	if m.leadership.phase == readingPositions && response.Epoch == m.leadership.term {
		m.leadership.takeover.positions[response.Voter] = response
		m.chooseSource(env)
	}
}

// chooseSource selects the log with the highest position once the positions of a majority are known.
func (m *Machine) chooseSource(env *statemachine.Env) {
	positions := m.leadership.takeover.positions
	identities := map[string]string{}
	for voter, response := range positions {
		identities[voter] = response.Identity
	}
	if !m.quorum.Majority(identities) && !guardsOff.majorityRead {
		return
	}
	source := positions[m.quorum.Voter]
	for _, voter := range m.quorum.VoterNames() {
		response, known := positions[voter]
		if known && !guardsOff.highestPosition && m.quorum.VerifySignature(voter, response.Identity) &&
			reportedPosition(source).before(reportedPosition(response)) {
			source = response
		}
	}
	m.leadership.takeover.source = source
	m.leadership.sentAt = 0
	if source.Voter == m.quorum.Voter {
		m.beginRecommit(env)
		return
	}
	m.leadership.phase = fetchingSnapshot
	m.step(env)
}

// reportedPosition returns the position in a response, without the hash, which doesn't order positions.
func reportedPosition(response message.LogPositionResponse) position {
	return position{epoch: response.PositionEpoch, seq: response.PositionSeq}
}

// fetchFromSource requests the complete log of the source.
func (m *Machine) fetchFromSource(env *statemachine.Env) {
	for _, peer := range m.Peers() {
		if peer.Voter == m.leadership.takeover.source.Voter {
			env.Send(peer.Address, m.snapshotRequest(m.leadership.term))
		}
	}
}

// beginRecommit starts to commit the complete log again in this term. This voter's own acknowledgement
// counts once the log is on its disk in the new epoch.
func (m *Machine) beginRecommit(env *statemachine.Env) {
	m.leadership.takeover.recommit = m.recommitMessage(m.log.position())
	m.leadership.phase, m.leadership.acks, m.leadership.sentAt = recommitting, map[string]string{}, 0
	m.log.recommit(m.leadership.term)
	term, logEnd := m.leadership.term, m.log.position()
	m.WriteSnapshot(env, func(env *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.log.synced = logEnd
		if m.leadership.term == term {
			m.handleAppended(env, m.selfAppended(term, 0))
		}
	})
	m.step(env)
}

// selfAppended returns this voter's own acknowledgement of an entry.
func (m *Machine) selfAppended(epoch, seq int64) message.LogAppended {
	return message.LogAppended{Epoch: epoch, Seq: seq, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity}
}

// sendRecommit asks all voters to move the log into this term.
func (m *Machine) sendRecommit(env *statemachine.Env) {
	m.leadership.takeover.recommit.Identity = m.quorum.Signature()
	for _, peer := range m.Peers() {
		env.Send(peer.Address, m.leadership.takeover.recommit)
	}
}

// beginServing completes the takeover after a majority has synced the log in this epoch.
func (m *Machine) beginServing(env *statemachine.Env) {
	m.leadership.phase = serving
	source := m.leadership.takeover.source
	cause := fmt.Sprintf("after (%d,%d) of %s", source.PositionEpoch, source.PositionSeq, source.Voter)
	env.Event(eventServing, 0, m.leadership.term, cause)
	for _, configName := range m.log.configNames() {
		m.publish(env, configName)
	}
}
