package proxy

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/statemachine"
)

// Snapshot is the control state as the data plane sees it. It is immutable after it was published.
// Times are readings of the process clock.
type Snapshot struct {
	Configurations        []*routeconfig.Configuration
	ConfigurationsKnown   bool          // Configurations holds every configuration
	ConfigurationsFreshAt time.Duration // latest time at which all configurations were known to be current

	Upstreams     map[string][]message.Registration // by service
	RosterKnown   bool                              // Upstreams holds the slices of all subscribed zones
	RosterFreshAt time.Duration                     // latest time at which all slices were known to be current

	ProxyCount int  // proxies in the fleet, including this one
	Joined     bool // at least one other node is known
	Stopping   bool
}

// Ready reports whether this node should receive traffic. staleAfter is the maximum age of its
// configurations and roster. A nil snapshot is not ready.
func (s *Snapshot) Ready(now time.Duration, staleAfter time.Duration) bool {
	if s == nil || !s.Joined || s.Stopping || !s.ConfigurationsKnown || !s.RosterKnown {
		return false
	}
	return now-s.ConfigurationsFreshAt <= staleAfter && now-s.RosterFreshAt <= staleAfter
}

// publish publishes a new snapshot to the data plane. Heartbeats report the readiness of the last
// published snapshot.
func (m *Machine) publish(env *statemachine.Env) {
	m.lastPublished = m.snapshot(env)
	env.Publish(m.lastPublished)
}

// snapshot builds a snapshot of the current control state.
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

// addConfiguration adds a configuration to a snapshot if it may be applied. After each start of the
// process it must first have been known to be current: a configuration from a partitioned relay may be
// older than the one that was in force before the restart.
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

// addSlice adds the registrations of a zone to a snapshot, except orphaned ones.
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

// orphaned reports whether the serving proxy of a registration is known to have died or left since it
// made the registration. Its start time distinguishes it from a restarted proxy of the same name.
func (m *Machine) orphaned(registration message.Registration) bool {
	servingProxy, known := m.membership.Find(registration.ServingProxy)
	return known && servingProxy.State >= message.Dead && servingProxy.StartTime >= registration.ServingProxyStartTime
}

// proxyCount returns the number of proxies, including those that appear dead: in a partition the proxies
// of both sides still share the fleet's retry allowance.
func (m *Machine) proxyCount() int {
	count := 0
	for _, member := range m.membership.All() {
		if member.Role == message.RoleProxy && member.State != message.Left {
			count++
		}
	}
	return count
}
