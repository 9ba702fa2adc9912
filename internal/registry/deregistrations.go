package registry

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// A deregistration is acknowledged to the upstream once a majority of the registries have it on disk. It is
// a record of the log and no part of the disk snapshot: it is needed only until the holder of the zone has
// removed the registration, and for a while after that, so that late heartbeats don't bring it back.

// deregistrationKey returns the key of the registration that a deregistration ends.
func deregistrationKey(ended message.Deregistration) string {
	return message.Registration{Service: ended.Service, Instance: ended.Instance}.Key()
}

// recordDeregistration records the end of an incarnation, unless that of the same or a later incarnation is
// recorded. It reports whether it did.
func (t *heartbeatTable) recordDeregistration(ended message.Deregistration, now time.Duration) bool {
	key := deregistrationKey(ended)
	if last, exists := t.deregistrations[key]; exists && last.message.Incarnation >= ended.Incarnation {
		return false
	}
	t.deregistrations[key] = deregistration{message: ended, receivedAt: now}
	return true
}

// restoreDeregistration records a deregistration that was read from the disk.
func (t *heartbeatTable) restoreDeregistration(ended message.Deregistration) {
	if t.recordDeregistration(ended, 0) {
		t.deregistrations[deregistrationKey(ended)] = deregistration{message: ended, stored: true, restored: true}
	}
}

// markStored records that a deregistration is on disk.
func (t *heartbeatTable) markStored(ended message.Deregistration) {
	key := deregistrationKey(ended)
	if recorded, exists := t.deregistrations[key]; exists && recorded.message == ended {
		recorded.stored = true
		t.deregistrations[key] = recorded
	}
}

// isStored reports whether the end of this or a later incarnation is on disk.
func (t *heartbeatTable) isStored(ended message.Deregistration) bool {
	recorded, exists := t.deregistrations[deregistrationKey(ended)]
	return exists && recorded.stored && recorded.message.Incarnation >= ended.Incarnation
}

// dropDeregistrations removes the deregistrations that were received before an instant.
func (t *heartbeatTable) dropDeregistrations(before time.Duration) {
	maps.DeleteFunc(t.deregistrations, func(_ string, recorded deregistration) bool { return recorded.receivedAt < before })
}

// sortedDeregistrations lists the deregistrations by the keys of their registrations.
func (t *heartbeatTable) sortedDeregistrations() []deregistration {
	sorted := make([]deregistration, 0, len(t.deregistrations))
	for _, key := range slices.Sorted(maps.Keys(t.deregistrations)) {
		sorted = append(sorted, t.deregistrations[key])
	}
	return sorted
}

// handleDeregistrations records the deregistrations that a proxy reports, and tells the proxy which of them
// are on disk, now or once they are synced.
func (m *Machine) handleDeregistrations(env *statemachine.Env, from string, ended []message.Deregistration) {
	stored := []message.Deregistration{}
	for _, deregistered := range ended {
		if m.heartbeats.isStored(deregistered) {
			stored = append(stored, deregistered)
			continue
		}
		m.storeDeregistration(env, deregistered, func(env *statemachine.Env) {
			m.confirmStored(env, from, []message.Deregistration{deregistered})
		})
	}
	if len(stored) > 0 {
		m.confirmStored(env, from, stored)
	}
}

// storeDeregistration records a deregistration, if it is new, and writes it to disk. It removes the
// registration from the zones held here at once. onStored is called when the deregistration is on disk.
func (m *Machine) storeDeregistration(env *statemachine.Env, ended message.Deregistration, onStored func(env *statemachine.Env)) {
	if !m.heartbeats.recordDeregistration(ended, env.Now) {
		return
	}
	m.AppendToLog(env, ended, func(env *statemachine.Env, failure error) {
		if failure == nil {
			m.heartbeats.markStored(ended)
			onStored(env)
		}
	})
	for _, zone := range m.settings.Zones {
		registration, registered := m.zones[zone].slice.Registrations[deregistrationKey(ended)]
		if registered && m.holdsZone(env, zone) && m.heartbeats.isDeregistered(registration) {
			m.commitChange(env, zone, removal(registration, causeDeregistered))
		}
	}
}

// confirmStored tells a proxy which deregistrations are on this disk. Only a voter's disk counts towards a
// majority.
func (m *Machine) confirmStored(env *statemachine.Env, proxyAddress string, stored []message.Deregistration) {
	if !m.quorum.Voting() {
		return
	}
	env.Send(proxyAddress, message.DeregistrationsStored{Registry: m.membership.Self().Name, Deregistrations: stored})
}

// handlePeerDeregistration records a deregistration that a peer had on its disk when it started.
func (m *Machine) handlePeerDeregistration(env *statemachine.Env, ended message.Deregistration) {
	m.storeDeregistration(env, ended, func(*statemachine.Env) {})
}

// shareRestoredDeregistrations sends the peers the deregistrations that were on this disk when the process
// started. A registry that holds a zone after a restart of all may not have been among the majority that
// stored them.
func (m *Machine) shareRestoredDeregistrations(env *statemachine.Env) {
	if env.Now-m.startedAt > m.settings.LeaseTakeover() {
		return
	}
	for _, recorded := range m.heartbeats.sortedDeregistrations() {
		if !recorded.restored {
			continue
		}
		for _, peer := range m.Peers() {
			env.Send(peer.Address, recorded.message)
		}
	}
}

// appendDeregistrations writes the deregistrations to the log again, after a snapshot that replaced it.
func (m *Machine) appendDeregistrations(env *statemachine.Env) {
	for _, recorded := range m.heartbeats.sortedDeregistrations() {
		if recorded.stored {
			m.AppendToLog(env, recorded.message, func(*statemachine.Env, error) {})
		}
	}
}
