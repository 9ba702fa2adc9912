package registry

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// restoreRoster takes the roster of the snapshot.
func (m *Machine) restoreRoster(saved []message.RosterSnapshot) {
	for _, snapshot := range saved {
		if replica, known := m.zones[snapshot.Zone]; known {
			replica.slice.Replace(snapshot.Position, snapshot.Registrations)
		}
	}
}

// replay takes a record of the log on disk.
func (m *Machine) replay(record any) {
	switch saved := record.(type) {
	case message.RosterChange:
		if replica, known := m.replicaOfTopic(saved.Position.Topic); known {
			replica.slice.Append(saved.Position.Epoch, saved.Registration, saved.Removed, saved.Cause)
		}
	case message.UsageSealed:
		m.usage.sealed.learn(saved)
	case message.UnreportedUsage:
		m.usage.counts.restore(saved)
	case message.UsageReported:
		m.usage.sealed.learnReported(saved.Window)
	}
}

// Snapshot is the whole state, as a slot of the disk holds it.
func (m *Machine) Snapshot() []byte { return m.snapshot() }

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
		// Programming error: the type is one of the message kinds, and any value of it can be encoded.
		panic("registry: snapshot: " + err.Error())
	}
	return body
}

// StateForGrant is the state that this voter hands to one which asks for its grant. With
// MergeGrantedStates and the methods of quorum.ControlBase it makes the machine a quorum.Host.
func (m *Machine) StateForGrant() []byte { return m.snapshot() }

// MergeGrantedStates takes what the granters of this voter know.
func (m *Machine) MergeGrantedStates(_ *statemachine.Env, states [][]byte) {
	for _, body := range states {
		decoded, err := message.Decode(body)
		state, isState := decoded.(message.RegistryState)
		if err != nil || !isState {
			continue
		}
		m.leases.Restore(state.Votes)
		for _, sealed := range state.Sealed {
			m.usage.sealed.learn(sealed)
		}
		m.usage.sealed.learnReported(state.LastReportedWindow)
		for _, snapshot := range state.Slices {
			if replica, known := m.zones[snapshot.Zone]; known && replica.slice.Position.Before(snapshot.Position) {
				replica.slice.Replace(snapshot.Position, snapshot.Registrations)
			}
		}
	}
}

// DiscardState drops what rested on a voter that is now held by another process. The roster stays, as
// what was heard in updates.
func (m *Machine) DiscardState(env *statemachine.Env) {
	m.leases.Forget(env)
	m.usage.forget()
}

// ForceRecover gives up the other voters and returns the snapshot to be written. An operator does
// so on the stopped survivor when the disks of two voters are lost.
func (m *Machine) ForceRecover() []byte {
	m.quorum.ForceRecover()
	m.leases.ForceRecover()
	return m.snapshot()
}

// compactWhenDue writes a snapshot after whole copies were pulled, at most once in HolderCooldown.
// What was pulled is not in the log.
func (m *Machine) compactWhenDue(env *statemachine.Env) {
	if !m.replication.snapshotDue || env.Now < m.replication.nextSnapshotAt {
		return
	}
	m.replication.snapshotDue = false
	m.replication.nextSnapshotAt = env.Now + m.settings.HolderCooldown()
	m.WriteSnapshot(env, func(*statemachine.Env, error) {})
}
