package registry

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// maintainRoster is the steady part of a holder: it holds heartbeats against the roster and
// expires upstreams that were silent for too long.
func (m *Machine) maintainRoster(env *statemachine.Env) {
	m.reconcileHeartbeats(env)
	m.heartbeats.forgetDeregistrations(env.Now - m.settings.HeartbeatTimeout()*deregistrationRetention)
	m.proxies.forget(env.Now - m.settings.ForgetAfter())
	for _, zone := range m.settings.Zones {
		if !m.holdsZone(env, zone) {
			continue
		}
		for _, registration := range m.zones[zone].slice.List() {
			m.checkLiveness(env, zone, registration)
		}
	}
}

// checkLiveness removes an upstream that deregistered or was silent for the heartbeat bound, and has
// one probed that is late or was never probed.
func (m *Machine) checkLiveness(env *statemachine.Env, zone string, registration message.Registration) {
	if m.heartbeats.isDeregistered(registration) {
		m.commitChange(env, zone, removal(registration, causeDeregistered))
		return
	}
	silentFor := m.silentFor(env, zone, registration)
	switch {
	case silentFor > m.settings.HeartbeatTimeout():
		m.commitChange(env, zone, removal(registration, causeHeartbeatsStopped))
	case silentFor > m.settings.HeartbeatTimeout()/2 || registration.State == message.StateCreated:
		m.requestProbe(env, zone, registration)
	}
}

// silentFor is how long an upstream was not heard. A new holder gives each upstream the whole bound,
// counted from the acquisition of the lease: the heartbeats may have gone to others before.
func (m *Machine) silentFor(env *statemachine.Env, zone string, registration message.Registration) time.Duration {
	sinceAcquired := env.Now - m.zones[zone].acquiredAt
	newest, heard := m.heartbeats.newest[registration.Key()]
	if !heard {
		return sinceAcquired
	}
	return min(sinceAcquired, env.Now-newest.at)
}

// requestProbe asks an upstream's serving proxy to try a connection to it.
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

// reconcileHeartbeat holds the newest heartbeat of an upstream against the zones held here.
func (m *Machine) reconcileHeartbeat(env *statemachine.Env, key string) {
	newest := m.heartbeats.newest[key]
	announced := newest.heartbeat.Registration
	if m.heartbeats.isDeregistered(announced) || env.Now-newest.at > m.settings.HeartbeatTimeout() {
		return
	}
	for _, zone := range m.settings.Zones {
		if !m.holdsZone(env, zone) {
			continue
		}
		if zone != announced.Zone {
			m.removeMoved(env, zone, announced)
		}
		m.removeAddressConflicts(env, zone, newest)
		if zone == announced.Zone {
			m.register(env, zone, newest.heartbeat)
		}
	}
}

// removeMoved removes an upstream that announces itself in another zone now.
func (m *Machine) removeMoved(env *statemachine.Env, zone string, announced message.Registration) {
	current, registered := m.zones[zone].slice.Registrations[announced.Key()]
	if registered && announced.Incarnation >= current.Incarnation {
		m.commitChange(env, zone, removal(current, causeMovedTo+announced.Zone))
	}
}

// removeAddressConflicts removes upstreams of other names at the address of one that was heard
// later: an address has one upstream.
func (m *Machine) removeAddressConflicts(env *statemachine.Env, zone string, newest upstreamHeartbeat) {
	announced := newest.heartbeat.Registration
	for _, other := range m.zones[zone].slice.List() {
		if other.Address != announced.Address || other.Key() == announced.Key() {
			continue
		}
		otherNewest, heard := m.heartbeats.newest[other.Key()]
		if !heard || otherNewest.at < newest.at {
			m.commitChange(env, zone, removal(other, causeAddressTakenBy+announced.Key()))
		}
	}
}

// register puts an upstream on the roster of its zone as its heartbeat says, unless a later
// incarnation is registered.
func (m *Machine) register(env *statemachine.Env, zone string, heartbeat message.Heartbeat) {
	current, registered := m.zones[zone].slice.Registrations[heartbeat.Registration.Key()]
	if registered && current.Incarnation > heartbeat.Registration.Incarnation {
		return
	}
	wanted := wantedRegistration(heartbeat, current, registered)
	if registered && current == wanted {
		return
	}
	m.commitChange(env, zone, registrationChange{registration: wanted, cause: causeOf(registered, current, wanted)})
	if wanted.State == message.StateCreated {
		m.requestProbe(env, zone, wanted)
	}
}

// wantedRegistration is what the roster should say of an upstream. Leaving is final for an
// incarnation, and one that wasn't probed yet stays created whatever it says of itself.
func wantedRegistration(heartbeat message.Heartbeat, current message.Registration,
	registered bool) message.Registration {
	wanted := heartbeat.Registration
	newIncarnation := !registered || current.Incarnation < wanted.Incarnation
	switch {
	case !newIncarnation && current.State == message.StateDraining:
		wanted.State = message.StateDraining
	case wanted.State == message.StateDraining:
		// It drains, probed or not.
	case heartbeat.ProbeResult != message.ProbeAnswered && (newIncarnation || current.State == message.StateCreated):
		wanted.State = message.StateCreated
	}
	return wanted
}
