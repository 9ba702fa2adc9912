package registry

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// heartbeatRetention is how long the newest heartbeat of a silent upstream is kept, in
	// heartbeat bounds.
	heartbeatRetention = 4
	// deregistrationRetention is how long a deregistration is kept, in heartbeat bounds, so that
	// late heartbeats of the ended incarnation don't register it again.
	deregistrationRetention = 10
)

// upstreamHeartbeat is the newest heartbeat of an upstream.
type upstreamHeartbeat struct {
	heartbeat message.Heartbeat
	at        time.Duration // when the upstream announced itself, by this registry's clock
	proxy     string        // that passed it on
}

// deregistration is an upstream's word that it has ended an incarnation, and all before it.
type deregistration struct {
	incarnation int64
	at          time.Duration
}

// heartbeatTable holds what upstreams last said, by the keys of their registrations. Every
// registry keeps one, not only the holder of a zone.
type heartbeatTable struct {
	newest          map[string]upstreamHeartbeat
	deregistrations map[string]deregistration
}

func newHeartbeatTable() *heartbeatTable {
	return &heartbeatTable{newest: map[string]upstreamHeartbeat{}, deregistrations: map[string]deregistration{}}
}

// record takes a heartbeat, unless a newer one is known. Of one incarnation the later
// announcement is newer; the proxy that passed on the last one is always believed.
func (t *heartbeatTable) record(received upstreamHeartbeat) bool {
	key := received.heartbeat.Registration.Key()
	incarnation := received.heartbeat.Registration.Incarnation
	if last, known := t.newest[key]; known {
		lastIncarnation := last.heartbeat.Registration.Incarnation
		if incarnation < lastIncarnation {
			return false
		}
		if incarnation == lastIncarnation && received.at < last.at && last.proxy != received.proxy {
			return false
		}
	}
	t.newest[key] = received
	return true
}

func (t *heartbeatTable) recordDeregistration(key string, incarnation int64, now time.Duration) {
	if known, deregistered := t.deregistrations[key]; !deregistered || known.incarnation < incarnation {
		t.deregistrations[key] = deregistration{incarnation, now}
	}
}

// isDeregistered says that the incarnation of a registration has ended.
func (t *heartbeatTable) isDeregistered(registration message.Registration) bool {
	known, deregistered := t.deregistrations[registration.Key()]
	return deregistered && registration.Incarnation <= known.incarnation
}

func (t *heartbeatTable) forgetDeregistrations(before time.Duration) {
	maps.DeleteFunc(t.deregistrations, func(_ string, known deregistration) bool { return known.at < before })
}

// handleHeartbeats takes the heartbeats that a proxy heard from its upstreams.
func (m *Machine) handleHeartbeats(env *statemachine.Env, from string, batch message.HeartbeatBatch) {
	if !m.proxies.record(batch, env.Now) {
		return
	}
	env.Send(from, message.HeartbeatResponse{
		Registry:       m.membership.Self().Name,
		SealedBelow:    m.usage.sealed.lowestOpen(),
		NewerPositions: m.distribution.NewerThan(batch.Positions),
	})
	for _, end := range batch.Deregistrations {
		m.heartbeats.recordDeregistration(end.Service+"/"+end.Instance, end.Incarnation, env.Now)
	}
	for _, heartbeat := range batch.Heartbeats {
		announcedAt := env.Now - time.Duration(heartbeat.Age)
		if m.heartbeats.record(upstreamHeartbeat{heartbeat, announcedAt, batch.Proxy}) {
			m.reconcileHeartbeat(env, heartbeat.Registration.Key())
		}
	}
	m.pullWhereProxyIsAhead(env, batch.Positions)
}

// pullWhereProxyIsAhead asks the peers for the zones of which a proxy has a later position.
func (m *Machine) pullWhereProxyIsAhead(env *statemachine.Env, marks []message.Position) {
	for _, mark := range marks {
		zone, isSlice := zoneOfTopic(mark.Topic)
		if !isSlice {
			continue
		}
		if replica, known := m.zones[zone]; known && replica.slice.Position.Before(mark) {
			m.pullZone(env, zone, "a proxy is ahead")
		}
	}
}

// reconcileHeartbeats holds all recent heartbeats against the roster, and drops old ones.
func (m *Machine) reconcileHeartbeats(env *statemachine.Env) {
	oldest := env.Now - m.settings.HeartbeatTimeout()*heartbeatRetention
	for _, key := range slices.Sorted(maps.Keys(m.heartbeats.newest)) {
		if m.heartbeats.newest[key].at < oldest {
			delete(m.heartbeats.newest, key)
			continue
		}
		m.reconcileHeartbeat(env, key)
	}
}
