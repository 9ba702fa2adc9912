package registry

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// restoreRoster restores the copies of the zones from the disk snapshot. Zones that are not in the
// settings are ignored.
func (m *Machine) restoreRoster(saved []message.RosterSnapshot) {
	for _, snapshot := range saved {
		if replica, known := m.zones[snapshot.Zone]; known {
			replica.slice.Replace(snapshot.Position, snapshot.Registrations)
		}
	}
}

// replay applies a record of the log on disk.
func (m *Machine) replay(record any) {
	switch saved := record.(type) {
	case message.RosterChange:
		if replica, known := m.replicaOfTopic(saved.Position.Topic); known {
			replica.slice.Append(saved.Position.Epoch, saved.Registration, saved.Removed, saved.Cause)
		}
	case message.Deregistration:
		m.heartbeats.restoreDeregistration(saved)
	case message.UsageSealed:
		m.usage.sealed.merge(saved)
	case message.UnreportedUsage:
		m.usage.counts.restore(saved)
	case message.UsageReported:
		m.usage.sealed.advanceReported(saved.Window)
	}
}

// Snapshot returns the encoded state of the machine, as a slot on the disk stores it.
func (m *Machine) Snapshot() []byte { return m.snapshot() }

// snapshot encodes the state of the machine.
func (m *Machine) snapshot() []byte {
	state := message.RegistryState{
		Voter:              m.quorum.State,
		Votes:              m.leases.Votes(),
		Slices:             []message.RosterSnapshot{},
		Sealed:             m.usage.sealed.list(),
		LastReportedWindow: m.usage.sealed.reported,
		KnownAddresses:     m.membership.KnownAddresses(),
		Usage:              m.usage.counts.unsealed(),
	}
	for _, zone := range m.settings.Zones {
		slice := m.zones[zone].slice
		state.Slices = append(state.Slices, message.RosterSnapshot{Zone: zone, Position: slice.Position, Registrations: slice.List()})
	}
	body, err := message.Encode(state)
	if err != nil {
		// Unreachable unless message.RegistryState is not registered as a message kind: any value
		// of a registered kind can be encoded.
		panic("registry: cannot encode the snapshot: " + err.Error())
	}
	return body
}

// StateForGrant returns the state that this voter sends with its grant. StateForGrant,
// MergeGrantedStates and the methods of quorum.ControlBase implement quorum.Host.
func (m *Machine) StateForGrant() []byte { return m.snapshot() }

// MergeGrantedStates merges the states of the voters that granted this process its voter. States
// that can't be decoded are skipped.
func (m *Machine) MergeGrantedStates(_ *statemachine.Env, states [][]byte) {
	for _, body := range states {
		decoded, err := message.Decode(body)
		state, isState := decoded.(message.RegistryState)
		if err != nil || !isState {
			continue
		}
		m.leases.Restore(state.Votes)
		for _, sealed := range state.Sealed {
			m.usage.sealed.merge(sealed)
		}
		m.usage.sealed.advanceReported(state.LastReportedWindow)
		for _, snapshot := range state.Slices {
			if replica, known := m.zones[snapshot.Zone]; known && replica.slice.Position.Before(snapshot.Position) {
				replica.slice.Replace(snapshot.Position, snapshot.Registrations)
			}
		}
	}
}

// DiscardState discards the state that belongs to the voter, after another process was given it.
// The roster is kept, as if it had been received in updates.
func (m *Machine) DiscardState(env *statemachine.Env) {
	m.leases.Forget(env)
	m.usage.discardVoterState()
}

// ForceRecover removes the other voters from the group and returns the snapshot to be written. An
// operator uses it on the stopped survivor after the disks of two voters are lost.
func (m *Machine) ForceRecover() []byte {
	m.quorum.ForceRecover()
	m.leases.ForceRecover()
	return m.snapshot()
}

// compactWhenDue writes a disk snapshot, at most once per HolderCooldown, after a zone snapshot was
// received or an epoch was started: neither is in the log.
func (m *Machine) compactWhenDue(env *statemachine.Env) {
	if !m.replication.snapshotDue || env.Now < m.replication.nextSnapshotAt {
		return
	}
	m.replication.snapshotDue = false
	m.replication.nextSnapshotAt = env.Now + m.settings.HolderCooldown()
	m.WriteSnapshot(env, func(*statemachine.Env, error) {})
}
