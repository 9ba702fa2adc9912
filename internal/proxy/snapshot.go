package proxy

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/statemachine"
)

// Snapshot is what traffic sees of the control state. It is never changed after it was published.
type Snapshot struct {
	Configurations        []*routeconfig.Configuration
	Upstreams             map[string][]message.Registration // by service
	ProxyCount            int                               // in the fleet, this one included
	ConfigurationsFreshAt time.Duration                     // when all configurations were last known current
	ConfigurationsKnown   bool                              // every configuration is here
	RosterFreshAt         time.Duration                     // when all slices were last known current
	RosterKnown           bool                              // every slice is here
	Joined                bool                              // any other node is known
	Stopping              bool
}

// Ready reports whether this node should get traffic; staleAfter is the age past which its
// configurations or roster are too old.
func (v *Snapshot) Ready(now time.Duration, staleAfter time.Duration) bool {
	return v != nil && v.Joined && !v.Stopping && v.ConfigurationsKnown && v.RosterKnown && now-v.ConfigurationsFreshAt <= staleAfter && now-v.RosterFreshAt <= staleAfter
}

// publish hands the traffic side a snapshot; heartbeats tell the readiness of the last one published.
func (m *Machine) publish(env *statemachine.Env) {
	m.published = m.snapshot(env)
	env.Publish(m.published)
}

// snapshot returns the control state as traffic is to see it.
func (m *Machine) snapshot(env *statemachine.Env) *Snapshot {
	snapshot := &Snapshot{
		Upstreams:             map[string][]message.Registration{},
		ConfigurationsKnown:   true,
		RosterKnown:           true,
		Joined:                m.membership.Joined(),
		Stopping:              m.stopping,
		ProxyCount:            m.proxies(),
		ConfigurationsFreshAt: env.Now,
		RosterFreshAt:         env.Now,
	}
	for _, configName := range m.settings.ConfigNames {
		m.addConfiguration(env, snapshot, configName)
	}
	for _, zone := range m.settings.Subscribed() {
		m.addSlice(snapshot, zone)
	}
	return snapshot
}

// addConfiguration adds a configuration that may be applied. A life begins only with a configuration
// that was known current: an old one from a relay that is cut off may be behind what the life before
// had in force.
func (m *Machine) addConfiguration(env *statemachine.Env, snapshot *Snapshot, configName string) {
	configuration, held := m.configurations[configName]
	freshAt, fresh := m.distribution.FreshAt(distribution.ConfigurationTopic(configName))
	if held && fresh && env.Now-freshAt <= m.settings.Reparent() {
		m.begun[configName] = true
	}
	if !held || !m.begun[configName] {
		snapshot.ConfigurationsKnown = false
		return
	}
	if m.inForce[configName] != configuration.Version {
		m.inForce[configName] = configuration.Version
		env.Event("configuration-in-force", 0, configuration.Version, configName)
	}
	snapshot.Configurations = append(snapshot.Configurations, configuration)
	snapshot.ConfigurationsFreshAt = min(snapshot.ConfigurationsFreshAt, freshAt)
}

// addSlice adds the upstreams of a zone.
func (m *Machine) addSlice(snapshot *Snapshot, zone string) {
	registrations, known := m.distribution.Registrations(zone)
	freshAt, fresh := m.distribution.FreshAt(distribution.SliceTopic(zone))
	if !known || !fresh && !m.settings.ByTarget() {
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

// proxies returns how many proxies there are, with those that seem lost: behind a cut each side still
// shares the fleet's allowance of retries with the other.
func (m *Machine) proxies() int {
	count := 0
	for _, member := range m.membership.All() {
		if member.Role == message.RoleProxy && member.State != message.Left {
			count++
		}
	}
	return count
}
