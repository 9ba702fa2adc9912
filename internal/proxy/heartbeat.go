package proxy

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// sendHeartbeat sends what is known of the upstreams beside this proxy to every registry.
func (m *Machine) sendHeartbeat(env *statemachine.Env) {
	batch := message.HeartbeatBatch{
		Proxy:           m.membership.Self().Name,
		StartTime:       m.startTime,
		Ready:           m.published.Ready(env.Now, m.settings.MaxAgeReady()),
		Heartbeats:      m.upstreams.heartbeats(env.Now),
		Deregistrations: m.upstreams.recentDeregistrations(env.Now),
		Positions:       m.distribution.Positions(),
		RelayPath:       []string{},
		CurrentWindow:   int64(env.Wall / m.settings.UsageWindow()),
	}
	if _, path, _ := m.distribution.Parent(); path != nil {
		batch.RelayPath = path
	}
	for _, registry := range m.membership.RecentlyAlive(message.RoleRegistry, env.Now) {
		env.Send(registry.Address, batch)
	}
}

// handleAnnounced takes an accepted announcement. A change is told to the registries at once.
func (m *Machine) handleAnnounced(env *statemachine.Env, registration message.Registration) {
	self := m.membership.Self()
	registration.ServingProxy = self.Name
	registration.ServingProxyAddress = self.Address
	registration.ServingProxyStartTime = m.startTime
	if m.upstreams.announce(env.Now, registration) {
		m.nextHeartbeat = env.Now
	}
}

// handleProbed takes the result of a probe. A change is told to the registries at once.
func (m *Machine) handleProbed(env *statemachine.Env, result Probed) {
	if m.upstreams.recordProbe(result) {
		m.nextHeartbeat = env.Now
	}
}
