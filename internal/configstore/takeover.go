package configstore

import (
	"fmt"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// takeover is the way of a new holder of the lease from the lease to serving: it reads the positions of
// a majority, fetches the log with the highest one, and commits it again in its own epoch. Whatever an
// earlier holder acknowledged lies on a majority, so one voter of the majority that is read has it, and
// no other log can have a higher position without having it too.
type takeover struct {
	positions map[string]message.LogPositionResponse // by voter
	source    message.LogPositionResponse            // of the highest position
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

// requestPositions asks all voters for the ends of their logs.
func (m *Machine) requestPositions(env *statemachine.Env) {
	for _, peer := range m.Peers() {
		env.Send(peer.Address, message.LogPositionRequest{
			Epoch:    m.leadership.term,
			Voter:    m.quorum.Voter,
			Identity: m.quorum.Signature(),
		})
	}
}

// positionResponse tells where this voter's log ends.
func (m *Machine) positionResponse(epoch int64, at position) message.LogPositionResponse {
	return message.LogPositionResponse{
		Epoch:         epoch,
		Voter:         m.quorum.Voter,
		Identity:      m.quorum.Signature(),
		PositionEpoch: at.epoch,
		PositionSeq:   at.seq,
		Hash:          at.hash,
	}
}

// handlePosition takes the end of another voter's log.
func (m *Machine) handlePosition(env *statemachine.Env, response message.LogPositionResponse) {
	if m.leadership.phase == readingPositions && response.Epoch == m.leadership.term {
		m.leadership.takeover.positions[response.Voter] = response
		m.chooseSource(env)
	}
}

// chooseSource takes the voter with the highest position for the source, once a majority was read.
func (m *Machine) chooseSource(env *statemachine.Env) {
	positions := m.leadership.takeover.positions
	read := map[string]string{}
	for voter, response := range positions {
		read[voter] = response.Identity
	}
	if !m.quorum.Majority(read) && !guardsOff.majorityRead {
		return
	}
	source := positions[m.quorum.Voter]
	for _, voter := range m.quorum.VoterNames() {
		response, known := positions[voter]
		if known && !guardsOff.highestPosition && m.quorum.VerifySignature(voter, response.Identity) &&
			endOf(source).before(endOf(response)) {
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

// endOf returns the place that a position response tells; hashes don't order positions.
func endOf(response message.LogPositionResponse) position {
	return position{epoch: response.PositionEpoch, seq: response.PositionSeq}
}

// fetchFromSource asks the source for its log.
func (m *Machine) fetchFromSource(env *statemachine.Env) {
	for _, peer := range m.Peers() {
		if peer.Voter == m.leadership.takeover.source.Voter {
			env.Send(peer.Address, m.snapshotRequest(m.leadership.term))
		}
	}
}

// beginRecommit commits the whole log again in this term. The log is written to disk in the new epoch
// before this voter acknowledges it to itself.
func (m *Machine) beginRecommit(env *statemachine.Env) {
	m.leadership.takeover.recommit = m.recommitMessage(m.log.position())
	m.leadership.phase, m.leadership.acks, m.leadership.sentAt = recommitting, map[string]string{}, 0
	m.log.recommit(m.leadership.term)
	term, reached := m.leadership.term, m.log.position()
	m.WriteSnapshot(env, func(env *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.log.synced = reached
		if m.leadership.term == term {
			m.handleAppended(env, m.ownAppended(term, 0))
		}
	})
	m.step(env)
}

// ownAppended acknowledges an entry as this voter, to itself.
func (m *Machine) ownAppended(epoch, seq int64) message.LogAppended {
	return message.LogAppended{Epoch: epoch, Seq: seq, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity}
}

// sendRecommit asks all voters to take the log into this term.
func (m *Machine) sendRecommit(env *statemachine.Env) {
	m.leadership.takeover.recommit.Identity = m.quorum.Signature()
	for _, peer := range m.Peers() {
		env.Send(peer.Address, m.leadership.takeover.recommit)
	}
}

// beginServing ends the takeover: a majority has the log in this epoch.
func (m *Machine) beginServing(env *statemachine.Env) {
	m.leadership.phase = serving
	source := m.leadership.takeover.source
	cause := fmt.Sprintf("after (%d,%d) of %s", source.PositionEpoch, source.PositionSeq, source.Voter)
	env.Event(eventServing, 0, m.leadership.term, cause)
	for _, configName := range m.log.configNames() {
		m.publish(env, configName)
	}
}
