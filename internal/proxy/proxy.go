// Package proxy is the proxy's control machine: it keeps the membership, takes the updates of
// configurations and slices, tells the registries of the upstreams beside it, and hands the traffic
// side an immutable snapshot after every change. Traffic itself is in packages frontend (the caller's
// side) and backend (the upstream's side).
package proxy

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Machine is the proxy's control state; it implements statemachine.Machine and keeps nothing on disk.
type Machine struct {
	settings       settings.Settings
	membership     *membership.Membership
	distribution   *distribution.Distribution
	locals         map[string]*local  // by key of the registration
	ends           map[string]signOff // by key of the registration
	configurations map[string]*routeconfig.Configuration
	begun          map[string]bool  // configurations that were known current in this life
	inForce        map[string]int64 // versions that were published, by configuration
	usage          usageSender
	sealed         map[string]int64 // windows below this are sealed, as each registry says
	heartbeatAt    time.Duration    // when the next heartbeat is due
	snapshotAt     time.Duration    // when the next snapshot is due
	stopping       bool
	published      *Snapshot
	birth          int64 // of this life, whatever the membership makes of it
}

// New makes the machine; a proxy keeps nothing on disk.
func New(cfg settings.Settings, self message.Member) *Machine {
	m := &Machine{settings: cfg, locals: map[string]*local{}, ends: map[string]signOff{}, configurations: map[string]*routeconfig.Configuration{}, begun: map[string]bool{}, inForce: map[string]int64{}, sealed: map[string]int64{}, birth: self.StartTime}
	m.membership = membership.New(cfg, self, nil)
	m.distribution = distribution.New(cfg, m.membership, m.changed)
	for _, configName := range cfg.ConfigNames {
		m.distribution.Subscribe(distribution.ConfigurationTopic(configName))
	}
	for _, zone := range cfg.Subscribed() {
		m.distribution.Subscribe(distribution.SliceTopic(zone))
	}
	return m
}

// changed takes a configuration or a slice that has changed.
func (m *Machine) changed(env *statemachine.Env, topic string) {
	for _, configName := range m.settings.ConfigNames {
		if distribution.ConfigurationTopic(configName) != topic {
			continue
		}
		if version, body, known := m.distribution.Configuration(configName); known {
			m.configurations[configName] = m.configurations[configName].Next(configName, version, body, m.settings.ConfigurationLimits())
			m.heartbeatAt = env.Now
		}
	}
	m.snapshotAt = env.Now
}

// Tick advances membership, updates, heartbeats and snapshots.
func (m *Machine) Tick(env *statemachine.Env) {
	m.membership.Tick(env)
	m.distribution.Tick(env)
	m.sendDue(env)
}

// sendDue sends heartbeats and publishes snapshots, where their time has come.
func (m *Machine) sendDue(env *statemachine.Env) {
	if env.Now >= m.heartbeatAt {
		m.heartbeatAt = env.Now + m.settings.HeartbeatEvery()
		m.heartbeat(env)
	}
	if env.Now >= m.snapshotAt {
		m.snapshotAt = env.Now + m.settings.UpdatesEvery()
		m.publish(env)
	}
}

// Handle takes a message from another process.
func (m *Machine) Handle(env *statemachine.Env, from string, received any) {
	if !m.membership.Handle(env, from, received) && !m.distribution.Handle(env, from, received) {
		switch received := received.(type) {
		case message.ProbeRequest:
			m.handleProbeRequest(env, received)
		case message.HeartbeatResponse:
			m.sealed[received.Registry] = received.Sealed
			m.distribution.HandleNewerMarks(env, received.Registry, received.Newer)
		}
	}
	m.sendDue(env)
}

// Asked takes a question or a notice from the process.
func (m *Machine) Asked(env *statemachine.Env, requestID int64, question any) {
	switch asked := question.(type) {
	case Announced:
		m.announced(env, asked.Registration)
	case SignedOff:
		m.signedOff(env, asked)
	case Probed:
		m.probed(env, asked)
	case UsageCounted:
		m.sendUsage(env, asked)
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(asked.Seeds)
	case statemachine.ConnectionBroke:
		m.distribution.ConnectionBroke(env, asked.Address)
	case ReadSealed:
		env.Reply(requestID, m.SealedBelow())
	case ReadStatus:
		env.Reply(requestID, m.status(env.Now))
	case metrics.Read:
		env.Reply(requestID, m.metrics(env))
	case Stop:
		m.stopping = true
		m.membership.Leave(env)
		m.publish(env)
	}
	m.sendDue(env)
}

// Synced is never called: nothing is written.
func (m *Machine) Synced(*statemachine.Env, int64, error) {}
