package registry

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// maintainRoster reconciles the roster with the heartbeats, drops expired records, and removes the
// upstreams of the zones held here that have stopped sending heartbeats.
func (m *Machine) maintainRoster(env *statemachine.Env) {
	m.reconcileHeartbeats(env)
	m.heartbeats.dropDeregistrations(env.Now - m.settings.HeartbeatTimeout()*deregistrationRetention)
	m.proxies.dropBefore(env.Now - m.settings.ForgetAfter())
	for _, zone := range m.settings.Zones {
		if !m.holdsZone(env, zone) {
			continue
		}
		for _, registration := range m.zones[zone].slice.List() {
			m.checkLiveness(env, zone, registration)
		}
	}
}

// checkLiveness removes an upstream that has deregistered or whose latest heartbeat is older than
// HeartbeatTimeout. It requests a probe if that heartbeat is older than half of HeartbeatTimeout,
// or if the upstream has not answered a probe yet.
func (m *Machine) checkLiveness(env *statemachine.Env, zone string, registration message.Registration) {
	if m.heartbeats.isDeregistered(registration) {
		m.commitChange(env, zone, removal(registration, causeDeregistered))
		return
	}
	sinceHeartbeat := m.timeSinceHeartbeat(env, zone, registration)
	switch {
	case sinceHeartbeat > m.settings.HeartbeatTimeout():
		m.commitChange(env, zone, removal(registration, causeHeartbeatsStopped))
	case sinceHeartbeat > m.settings.HeartbeatTimeout()/2 || registration.State == message.StateCreated:
		m.requestProbe(env, zone, registration)
	}
}

// timeSinceHeartbeat returns the time since an upstream's latest heartbeat, counted at most from
// the acquisition of the zone's lease. A new holder thus allows each upstream a full
// HeartbeatTimeout, since earlier heartbeats may have been sent to other registries.
func (m *Machine) timeSinceHeartbeat(env *statemachine.Env, zone string, registration message.Registration) time.Duration {
	sinceAcquired := env.Now - m.zones[zone].acquiredAt
	latest, found := m.heartbeats.latest[registration.Key()]
	if !found {
		return sinceAcquired
	}
	return min(sinceAcquired, env.Now-latest.announcedAt)
}

// requestProbe asks the serving proxy of an upstream to probe it with a connection, at most once
// per two heartbeat intervals.
func (m *Machine) requestProbe(env *statemachine.Env, zone string, registration message.Registration) {
	if !m.changes.beginProbe(registration.Key(), env.Now, m.settings.HeartbeatEvery()*2) {
		return
	}
	env.Send(registration.ServingProxyAddress, message.ProbeRequest{
		Zone:        zone,
		Epoch:       m.zones[zone].slice.Position.Epoch,
		Service:     registration.Service,
		Instance:    registration.Instance,
		Incarnation: registration.Incarnation,
	})
}

// reconcileHeartbeat reconciles the zones held here with the latest heartbeat of an upstream.
func (m *Machine) reconcileHeartbeat(env *statemachine.Env, key string) {
	latest := m.heartbeats.latest[key]
	announced := latest.heartbeat.Registration
	if m.heartbeats.isDeregistered(announced) || env.Now-latest.announcedAt > m.settings.HeartbeatTimeout() {
		return
	}
	for _, zone := range m.settings.Zones {
		if !m.holdsZone(env, zone) {
			continue
		}
		if zone != announced.Zone {
			m.removeMoved(env, zone, announced)
		}
		m.removeAddressConflicts(env, zone, latest)
		if zone == announced.Zone {
			m.register(env, zone, latest.heartbeat)
		}
	}
}

// removeMoved removes an upstream from a zone after it has announced itself in another one.
func (m *Machine) removeMoved(env *statemachine.Env, zone string, announced message.Registration) {
	current, registered := m.zones[zone].slice.Registrations[announced.Key()]
	if registered && announced.Incarnation >= current.Incarnation {
		m.commitChange(env, zone, removal(current, causeMovedTo+announced.Zone))
	}
}

// removeAddressConflicts removes the registrations of other upstreams at the address of the
// announced one, unless their heartbeats are at least as recent: an address belongs to one
// upstream.
func (m *Machine) removeAddressConflicts(env *statemachine.Env, zone string, latest upstreamHeartbeat) {
	announced := latest.heartbeat.Registration
	for _, other := range m.zones[zone].slice.List() {
		if other.Address != announced.Address || other.Key() == announced.Key() {
			continue
		}
		otherLatest, found := m.heartbeats.latest[other.Key()]
		if !found || otherLatest.announcedAt < latest.announcedAt {
			m.commitChange(env, zone, removal(other, causeAddressTakenBy+announced.Key()))
		}
	}
}

// register updates the registration of an upstream to match its heartbeat, unless a later
// incarnation is registered.
func (m *Machine) register(env *statemachine.Env, zone string, heartbeat message.Heartbeat) {
	current, registered := m.zones[zone].slice.Registrations[heartbeat.Registration.Key()]
	if registered && current.Incarnation > heartbeat.Registration.Incarnation {
		return
	}
	desired := desiredRegistration(heartbeat, current, registered)
	if registered && current == desired {
		return
	}
	m.commitChange(env, zone, registrationChange{registration: desired, cause: changeCause(registered, current, desired)})
	if desired.State == message.StateCreated {
		m.requestProbe(env, zone, desired)
	}
}

// desiredRegistration returns the registration that the roster should hold for an upstream's
// heartbeat. The state leaving is final for an incarnation. An incarnation that has not yet
// answered a probe stays in the state created unless it announces leaving.
func desiredRegistration(heartbeat message.Heartbeat, current message.Registration,
	registered bool) message.Registration {
	desired := heartbeat.Registration
	newIncarnation := !registered || current.Incarnation < desired.Incarnation
	switch {
	case !newIncarnation && current.State == message.StateDraining:
		desired.State = message.StateDraining
	case desired.State == message.StateDraining:
		// Draining does not depend on the result of a probe.
	case heartbeat.ProbeResult != message.ProbeAnswered && (newIncarnation || current.State == message.StateCreated):
		desired.State = message.StateCreated
	}
	return desired
}
