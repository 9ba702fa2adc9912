package configstore

import (
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// handleHolderRequest handles the requests that only the holder of the lease may send to a voter.
func (m *Machine) handleHolderRequest(env *statemachine.Env, from string, msg any) {
	switch received := msg.(type) {
	case message.LogPositionRequest:
		if m.acceptsHolder(received.Voter, received.Identity, received.Epoch) {
			env.Send(from, m.positionResponse(received.Epoch, m.log.synced))
		}
	case message.LogSnapshotRequest:
		if m.acceptsHolder(received.Voter, received.Identity, received.Epoch) {
			env.Send(from, m.logSnapshot(received.Epoch))
		}
	case message.LogRecommit:
		if m.acceptsHolder(received.Voter, received.Identity, received.Epoch) {
			m.handleRecommit(env, from, received)
		}
	case message.LogAppend:
		if m.acceptsHolder(received.Voter, received.Identity, received.Epoch) {
			m.handleAppend(env, from, received)
		}
	case message.LogAppendDelta:
		if m.acceptsHolder(received.Voter, received.Identity, received.Epoch) {
			m.handleAppendDelta(env, from, received)
		}
	}
}

// acceptsHolder reports whether a message is from the voter to which this voter granted the lease: the
// sender must be on the member list, and its epoch must equal the promised one.
func (m *Machine) acceptsHolder(voter, identity string, epoch int64) bool {
	inEpoch := epoch == m.leases.Epoch(settings.ConfigLogLease) || guardsOff.promisedEpoch
	return m.quorum.Voting() && m.quorum.VerifySignature(voter, identity) && inEpoch && m.Failure() == nil
}

// handleAppendDelta handles an append that is encoded as a difference. An entry that is already in the log
// is acknowledged without decoding it.
func (m *Machine) handleAppendDelta(env *statemachine.Env, from string, delta message.LogAppendDelta) {
	entry := message.LogAppend{Epoch: delta.Epoch, Seq: delta.Seq}
	isNew := m.log.epoch == delta.Epoch && m.log.seq < delta.Seq
	if isNew {
		decoded, baseMatches := m.decodeAppend(delta)
		if !baseMatches {
			m.requestSnapshot(env, from)
			return
		}
		entry = decoded
	}
	m.handleAppend(env, from, entry)
}

// handleAppend appends the holder's next entry and acknowledges it once it is on disk.
func (m *Machine) handleAppend(env *statemachine.Env, from string, entry message.LogAppend) {
	switch {
	case m.log.epoch == entry.Epoch && m.log.seq >= entry.Seq:
		m.acknowledge(env, from)
	case m.log.epoch == entry.Epoch && (m.log.seq == entry.Seq-1 || guardsOff.appendInOrder):
		m.log.append(entry.Epoch, entry.Seq, entry.Configuration)
		logEnd := m.log.position()
		if guardsOff.syncedAppend {
			m.log.synced = logEnd
			m.acknowledge(env, from)
		}
		m.Persist(env, entry, func(env *statemachine.Env, failure error) {
			if failure == nil {
				m.log.synced = logEnd
				m.acknowledge(env, from)
			}
		})
	default:
		m.requestSnapshot(env, from)
	}
}

// acknowledge sends the synced position to the holder if it is of the promised epoch.
func (m *Machine) acknowledge(env *statemachine.Env, holderAddress string) {
	synced := m.log.synced
	if synced.epoch == m.leases.Epoch(settings.ConfigLogLease) {
		env.Send(holderAddress, message.LogAppended{
			Epoch:    synced.epoch,
			Seq:      synced.seq,
			Voter:    m.quorum.Voter,
			Identity: m.quorum.Signature(),
		})
	}
}

// handleRecommit moves this voter's log into the holder's epoch if its position is the one that the holder
// recommits. Otherwise it requests the holder's complete log.
func (m *Machine) handleRecommit(env *statemachine.Env, from string, recommit message.LogRecommit) {
	switch {
	case m.isBehindHolder(recommit):
		m.requestSnapshot(env, from)
	case m.log.epoch == recommit.Epoch:
		m.acknowledge(env, from)
	case m.log.position() == position{recommit.PositionEpoch, recommit.PositionSeq, recommit.Hash}:
		m.log.recommit(recommit.Epoch)
		reached := m.log.position()
		m.Persist(env, recommit, func(env *statemachine.Env, failure error) {
			if failure == nil {
				m.log.synced = reached
				m.acknowledge(env, from)
			}
		})
	default:
		m.requestSnapshot(env, from)
	}
}

// isBehindHolder reports whether this voter's log is of the holder's epoch but lacks its last entries.
func (m *Machine) isBehindHolder(recommit message.LogRecommit) bool {
	return recommit.PositionEpoch == recommit.Epoch && m.log.epoch == recommit.Epoch && m.log.seq < recommit.PositionSeq
}
