package configstore

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Snapshot returns the complete state in the form that is written to disk.
func (m *Machine) Snapshot() []byte { return m.encodeState(m.log.entries()) }

// StateForGrant returns the complete state for a new disk that takes over a voter. Versions are encoded
// as differences.
func (m *Machine) StateForGrant() []byte { return m.encodeState(m.encoder.encode(m.log.entries())) }

// encodeState encodes the complete state with the given entries, whose bodies may be differences.
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
		// ConfigStoreState is a registered type whose fields all have an Avro encoding, so a failure here
		// is a programming error.
		panic("configstore: encode snapshot: " + err.Error())
	}
	return body
}

// MergeGrantedStates restores the votes of the states that the other voters granted, and replaces the log
// by the one with the highest position among them if that is higher than its own.
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
			// Voting with an older log could lose an acknowledged write, so the process must stop.
			panic("configstore: decode the log of a granted state: " + err.Error())
		}
		state.Configurations = entries
		m.log.replace(state)
	}
	m.log.synced = m.log.position()
}

// DiscardState drops the lease, the votes and the log after another disk has taken over this voter.
func (m *Machine) DiscardState(env *statemachine.Env) {
	m.leases.Forget(env)
	m.leadership.term, m.leadership.phase = 0, following
	m.leadership.takeover.positions, m.leadership.acks = nil, nil
	m.log.replace(message.ConfigStoreState{})
	m.log.synced = m.log.position()
}

// ForceRecover makes this voter the only member of its group and returns the snapshot to be written to
// its disk. It is for an operator who lost the disks of all other voters, and runs while the process of
// the remaining voter is stopped.
func (m *Machine) ForceRecover() []byte {
	m.quorum.ForceRecover()
	m.leases.ForceRecover()
	return m.Snapshot()
}
