package registry

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// heartbeatRetention is how long the latest heartbeat of a silent upstream is retained, as a
	// multiple of HeartbeatTimeout.
	heartbeatRetention = 4
	// deregistrationRetention is how long a deregistration is retained, as a multiple of
	// HeartbeatTimeout, so that late heartbeats of the ended incarnation don't register it again.
	deregistrationRetention = 10
)

// upstreamHeartbeat is a heartbeat of an upstream as this registry received it.
type upstreamHeartbeat struct {
	heartbeat   message.Heartbeat
	announcedAt time.Duration // when the upstream sent it to the proxy, by this registry's clock
	proxy       string        // name of the proxy that forwarded it
}

// deregistration records that an upstream has ended an incarnation and all earlier ones.
type deregistration struct {
	message    message.Deregistration
	receivedAt time.Duration
	stored     bool // it is on this registry's disk
	restored   bool // it was on disk when this process started
}

// heartbeatTable holds the latest heartbeat and deregistration of each upstream, by the keys of
// their registrations. Every registry maintains one, whether or not it holds a lease.
type heartbeatTable struct {
	latest          map[string]upstreamHeartbeat
	deregistrations map[string]deregistration
}

// newHeartbeatTable returns an empty table.
func newHeartbeatTable() *heartbeatTable {
	return &heartbeatTable{latest: map[string]upstreamHeartbeat{}, deregistrations: map[string]deregistration{}}
}

// record stores a heartbeat and returns whether it was accepted. It rejects heartbeats of an
// earlier incarnation, and those of the same incarnation that were announced earlier, unless they
// come from the proxy that forwarded the stored one: a proxy may correct its own report. An incarnation that
// has announced that it drains stays so: a restarted proxy reports what it took over from the roster.
func (t *heartbeatTable) record(received upstreamHeartbeat) bool {
	key := received.heartbeat.Registration.Key()
	incarnation := received.heartbeat.Registration.Incarnation
	if last, known := t.latest[key]; known {
		lastIncarnation := last.heartbeat.Registration.Incarnation
		if incarnation < lastIncarnation {
			return false
		}
		if incarnation == lastIncarnation && received.announcedAt < last.announcedAt && last.proxy != received.proxy {
			return false
		}
		if incarnation == lastIncarnation && last.heartbeat.Registration.State == message.StateDraining {
			received.heartbeat.Registration.State = message.StateDraining
		}
	}
	t.latest[key] = received
	return true
}

// isDeregistered reports whether the incarnation of a registration has ended.
func (t *heartbeatTable) isDeregistered(registration message.Registration) bool {
	last, deregistered := t.deregistrations[registration.Key()]
	return deregistered && registration.Incarnation <= last.message.Incarnation
}

// handleHeartbeats processes a batch of upstream heartbeats that a proxy has forwarded.
func (m *Machine) handleHeartbeats(env *statemachine.Env, from string, batch message.HeartbeatBatch) {
	if !m.proxies.record(batch, env.Now) {
		return
	}
	env.Send(from, message.HeartbeatResponse{
		Registry:       m.membership.Self().Name,
		SealedBelow:    m.usage.sealed.lowestUnsealed(),
		NewerPositions: m.distribution.NewerThan(batch.Positions),
	})
	m.handleDeregistrations(env, from, batch.Deregistrations)
	for _, heartbeat := range batch.Heartbeats {
		announcedAt := env.Now - time.Duration(heartbeat.Age)
		if m.heartbeats.record(upstreamHeartbeat{heartbeat, announcedAt, batch.Proxy}) {
			m.reconcileHeartbeat(env, heartbeat.Registration.Key())
		}
	}
	m.pullStaleZones(env, batch.Positions)
}

// pullStaleZones pulls the zones for which a proxy reports a later position than that of the copy
// here.
func (m *Machine) pullStaleZones(env *statemachine.Env, positions []message.Position) {
	for _, position := range positions {
		zone, isSlice := zoneOfTopic(position.Topic)
		if !isSlice {
			continue
		}
		if replica, known := m.zones[zone]; known && replica.slice.Position.Before(position) {
			m.pullZone(env, zone, "a proxy is ahead")
		}
	}
}

// reconcileHeartbeats reconciles the roster with all recent heartbeats, and removes expired ones.
func (m *Machine) reconcileHeartbeats(env *statemachine.Env) {
	oldest := env.Now - m.settings.HeartbeatTimeout()*heartbeatRetention
	for _, key := range slices.Sorted(maps.Keys(m.heartbeats.latest)) {
		if m.heartbeats.latest[key].announcedAt < oldest {
			delete(m.heartbeats.latest, key)
			continue
		}
		m.reconcileHeartbeat(env, key)
	}
}
