package proxy

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// keptBounds is for how many heartbeat bounds a silent upstream, or one that ended, is still told of.
const keptBounds = 2

// local is an upstream beside this proxy.
type local struct {
	registration message.Registration
	announcedAt  time.Duration
	probed       int64 // message.NotProbed, ProbeAnswered or ProbeRefused
}

// signOff is an end that is repeated to the registries for a while.
type signOff struct {
	end message.Deregistration
	at  time.Duration
}

// heartbeat sends what is known of the upstreams beside this proxy to every registry.
func (m *Machine) heartbeat(env *statemachine.Env) {
	batch := message.HeartbeatBatch{
		Proxy:           m.membership.Self().Name,
		StartTime:       m.birth,
		Ready:           m.published.Ready(env.Now, m.settings.MaxAgeReady()),
		Heartbeats:      m.heartbeats(env),
		Deregistrations: m.recentEnds(env),
		Positions:       m.distribution.Marks(),
		Path:            []string{},
		Window:          int64(env.Wall / m.settings.UsageWindow()),
	}
	if _, path, _ := m.distribution.Parent(); path != nil {
		batch.Path = path
	}
	for _, registryNode := range m.membership.RecentlyAlive(message.RoleRegistry, env.Now) {
		env.Send(registryNode.Address, batch)
	}
}

// heartbeats returns a heartbeat for each upstream, and forgets those that have been silent for long.
func (m *Machine) heartbeats(env *statemachine.Env) []message.Heartbeat {
	heartbeats := []message.Heartbeat{}
	for _, key := range slices.Sorted(maps.Keys(m.locals)) {
		held := m.locals[key]
		age := env.Now - held.announcedAt
		if age > m.settings.HeartbeatTimeout()*keptBounds {
			delete(m.locals, key)
			continue
		}
		heartbeats = append(heartbeats, message.Heartbeat{Registration: held.registration, Age: int64(age), ProbeResult: held.probed})
	}
	return heartbeats
}

// recentEnds returns the ends of upstreams that are still repeated, and forgets older ones.
func (m *Machine) recentEnds(env *statemachine.Env) []message.Deregistration {
	ends := []message.Deregistration{}
	for _, key := range slices.Sorted(maps.Keys(m.ends)) {
		if env.Now-m.ends[key].at > m.settings.HeartbeatTimeout()*keptBounds {
			delete(m.ends, key)
			continue
		}
		ends = append(ends, m.ends[key].end)
	}
	return ends
}

// announced takes an accepted announcement; what changes is told to the registries at once.
func (m *Machine) announced(env *statemachine.Env, registration message.Registration) {
	self := m.membership.Self()
	registration.ServingProxy = self.Name
	registration.ServingProxyAddress = self.Address
	registration.ServingProxyStartTime = m.birth
	key := registration.Key()
	held, known := m.locals[key]
	if known && held.registration == registration {
		held.announcedAt = env.Now
		return
	}
	probed := message.NotProbed
	if known && held.registration.Incarnation == registration.Incarnation && held.registration.Address == registration.Address {
		probed = held.probed
	}
	m.locals[key] = &local{registration, env.Now, probed}
	m.heartbeatAt = env.Now
}

// signedOff takes the end of an incarnation, and tells the registries at once.
func (m *Machine) signedOff(env *statemachine.Env, ended SignedOff) {
	key := ended.Service + "/" + ended.Instance
	m.ends[key] = signOff{message.Deregistration{Service: ended.Service, Instance: ended.Instance, Incarnation: ended.Incarnation}, env.Now}
	if held, known := m.locals[key]; known && held.registration.Incarnation <= ended.Incarnation {
		delete(m.locals, key)
	}
	m.heartbeatAt = env.Now
}

// probed takes the result of a probe; a changed one is told to the registries at once.
func (m *Machine) probed(env *statemachine.Env, result Probed) {
	held, known := m.locals[result.Key]
	if !known || held.registration.Incarnation != result.Incarnation {
		return
	}
	before := held.probed
	held.probed = message.ProbeRefused
	if result.Answered {
		held.probed = message.ProbeAnswered
	}
	if held.probed != before {
		m.heartbeatAt = env.Now
	}
}

// handleProbeRequest probes an upstream that announced itself here lately.
func (m *Machine) handleProbeRequest(env *statemachine.Env, request message.ProbeRequest) {
	key := request.Service + "/" + request.Instance
	held, known := m.locals[key]
	if known && held.registration.Incarnation == request.Incarnation && env.Now-held.announcedAt < m.settings.HeartbeatTimeout() {
		env.Probe(held.registration.Address, key, request.Incarnation)
	}
}
