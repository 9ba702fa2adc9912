package proxy

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/statemachine"
)

// Snapshot is what traffic sees of the control state. It is never changed after it was published.
// Instants are by the process clock.
type Snapshot struct {
	Configurations        []*routeconfig.Configuration
	ConfigurationsKnown   bool          // every configuration is here
	ConfigurationsFreshAt time.Duration // when all configurations were last known current

	Upstreams     map[string][]message.Registration // by service
	RosterKnown   bool                              // every slice is here
	RosterFreshAt time.Duration                     // when all slices were last known current

	ProxyCount int  // proxies in the fleet, this one included
	Joined     bool // any other node is known
	Stopping   bool
}

// Ready reports whether this node should get traffic. staleAfter is the age past which its
// configurations or roster are too old. The snapshot may be nil, which is not ready.
func (s *Snapshot) Ready(now time.Duration, staleAfter time.Duration) bool {
	if s == nil || !s.Joined || s.Stopping || !s.ConfigurationsKnown || !s.RosterKnown {
		return false
	}
	return now-s.ConfigurationsFreshAt <= staleAfter && now-s.RosterFreshAt <= staleAfter
}

// publish hands the traffic side a snapshot; heartbeats tell the readiness of the last one published.
func (m *Machine) publish(env *statemachine.Env) {
	m.published = m.snapshot(env)
	env.Publish(m.published)
}

// snapshot returns the control state as traffic is to see it.
func (m *Machine) snapshot(env *statemachine.Env) *Snapshot {
	snapshot := &Snapshot{
		ConfigurationsKnown:   true,
		ConfigurationsFreshAt: env.Now,
		Upstreams:             map[string][]message.Registration{},
		RosterKnown:           true,
		RosterFreshAt:         env.Now,
		ProxyCount:            m.proxyCount(),
		Joined:                m.membership.Joined(),
		Stopping:              m.stopping,
	}
	for _, configName := range m.settings.ConfigNames {
		m.addConfiguration(env, snapshot, configName)
	}
	for _, zone := range m.settings.Subscribed() {
		m.addSlice(snapshot, zone)
	}
	return snapshot
}

// addConfiguration adds a configuration, if it may be applied. In each life of the process it must
// first have been known current: an old one from a relay that is cut off may be behind what the life
// before had in force.
func (m *Machine) addConfiguration(env *statemachine.Env, snapshot *Snapshot, configName string) {
	state, received := m.configurations[configName]
	freshAt, fresh := m.distribution.FreshAt(distribution.ConfigurationTopic(configName))
	if received && fresh && env.Now-freshAt <= m.settings.ReparentAfter() {
		state.confirmed = true
	}
	if !received || !state.confirmed {
		snapshot.ConfigurationsKnown = false
		return
	}
	if version := state.latest.Version; state.inForce != version {
		state.inForce = version
		env.Event("configuration-in-force", 0, version, configName)
	}
	snapshot.Configurations = append(snapshot.Configurations, state.latest)
	snapshot.ConfigurationsFreshAt = min(snapshot.ConfigurationsFreshAt, freshAt)
}

// addSlice adds the upstreams of a zone.
func (m *Machine) addSlice(snapshot *Snapshot, zone string) {
	registrations, known := m.distribution.Registrations(zone)
	freshAt, fresh := m.distribution.FreshAt(distribution.SliceTopic(zone))
	if !known || !fresh && !m.settings.ProofByTarget() {
		snapshot.RosterKnown = false
		return
	}
	if fresh {
		snapshot.RosterFreshAt = min(snapshot.RosterFreshAt, freshAt)
	}
	for _, registration := range registrations {
		if !m.orphaned(registration) {
			snapshot.Upstreams[registration.Service] = append(snapshot.Upstreams[registration.Service], registration)
		}
	}
}

// orphaned reports whether a registration's serving proxy, in the life that registered it, is known to
// have ended or left.
func (m *Machine) orphaned(registration message.Registration) bool {
	servingProxy, known := m.membership.Find(registration.ServingProxy)
	return known && servingProxy.State >= message.Dead && servingProxy.StartTime >= registration.ServingProxyStartTime
}

// proxyCount returns how many proxies there are, with those that seem lost: in a partition each side
// still shares the fleet's allowance of retries with the other.
func (m *Machine) proxyCount() int {
	count := 0
	for _, member := range m.membership.All() {
		if member.Role == message.RoleProxy && member.State != message.Left {
			count++
		}
	}
	return count
}
