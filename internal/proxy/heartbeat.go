package proxy

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// sendHeartbeat sends one batch to every registry that was recently alive: the readiness of this proxy,
// heartbeats and deregistrations of its upstreams, and its distribution positions.
func (m *Machine) sendHeartbeat(env *statemachine.Env) {
	batch := message.HeartbeatBatch{
		Proxy:           m.membership.Self().Name,
		StartTime:       m.startTime,
		Ready:           m.lastPublished.Ready(env.Now, m.settings.MaxAgeReady()),
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

// handleAnnounced records an accepted announcement. A change makes the next heartbeat due immediately.
func (m *Machine) handleAnnounced(env *statemachine.Env, registration message.Registration) {
	self := m.membership.Self()
	registration.ServingProxy = self.Name
	registration.ServingProxyAddress = self.Address
	registration.ServingProxyStartTime = m.startTime
	if m.upstreams.announce(env.Now, registration) {
		m.nextHeartbeat = env.Now
	}
}

// handleProbed records the result of a probe. A change makes the next heartbeat due immediately.
func (m *Machine) handleProbed(env *statemachine.Env, result Probed) {
	if m.upstreams.recordProbe(result) {
		m.nextHeartbeat = env.Now
	}
}
