package configstore

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Snapshot returns the whole state, as a slot of the disk holds it.
func (m *Machine) Snapshot() []byte { return m.encodeState(m.log.entries()) }

// StateForGrant returns the whole state for a new disk that takes a voter over; versions travel as
// differences.
func (m *Machine) StateForGrant() []byte { return m.encodeState(m.encoder.encode(m.log.entries())) }

// encodeState returns the whole state with the given form of the log's entries.
func (m *Machine) encodeState(entries []message.StoredConfiguration) []byte {
	state := message.ConfigStoreState{
		Voter:          m.quorum.State,
		Votes:          m.leases.Votes(),
		Epoch:          m.log.epoch,
		Seq:            m.log.seq,
		Configurations: entries,
		History:        m.log.history.entries,
		KnownAddresses: m.membership.KnownAddresses(),
	}
	body, err := message.Encode(state)
	if err != nil {
		// The type is registered and holds only what has an Avro form: a programming error.
		panic("configstore: snapshot: " + err.Error())
	}
	return body
}

// MergeGrantedStates takes the log with the highest position among those that the other voters granted.
func (m *Machine) MergeGrantedStates(_ *statemachine.Env, states [][]byte) {
	for _, body := range states {
		decoded, err := message.Decode(body)
		state, isState := decoded.(message.ConfigStoreState)
		if err != nil || !isState {
			continue
		}
		m.leases.Restore(state.Votes)
		if !m.log.position().before(position{epoch: state.Epoch, seq: state.Seq}) {
			continue
		}
		entries, err := decodeDifferences(state.Configurations, state.History, m.settings.Limits.Configuration)
		if err != nil {
			// To vote with an older log could lose what was acknowledged, so this voter doesn't go on.
			panic("configstore: a granted state: " + err.Error())
		}
		state.Configurations = entries
		m.log.replace(state)
	}
	m.log.synced = m.log.position()
}

// DiscardState drops what rested on a voter that another disk holds now.
func (m *Machine) DiscardState(env *statemachine.Env) {
	m.leases.Forget(env)
	m.leadership.term, m.leadership.phase = 0, following
	m.leadership.takeover.positions, m.leadership.acks = nil, nil
	m.log.replace(message.ConfigStoreState{})
	m.log.synced = m.log.position()
}

// ForceRecover makes this voter's disk the whole group and returns the snapshot to be written. It is for
// an operator who lost the disks of all other voters, and runs on the stopped survivor.
func (m *Machine) ForceRecover() []byte {
	m.quorum.ForceRecover()
	m.leases.ForceRecover()
	return m.Snapshot()
}
