// Package proxy is the proxy's control machine. It keeps the membership, receives configurations and
// rosters through the relay tree, tells the registries of the upstreams beside it and of their usage,
// and hands the traffic side an immutable Snapshot after every change. Traffic itself is in packages
// frontend (the caller's side) and backend (the upstream's side).
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

// Machine is the proxy's control state. It implements statemachine.Machine and keeps nothing on disk.
type Machine struct {
	settings       settings.Settings
	membership     *membership.Membership
	distribution   *distribution.Distribution
	startTime      int64                          // of this life, whatever the membership makes of it
	configurations map[string]*configurationState // by name; those that were received
	upstreams      localUpstreams
	usage          usageSender
	sealed         map[string]int64 // the window below which each registry says that usage is sealed
	published      *Snapshot        // the last one; nil before the first
	nextHeartbeat  time.Duration
	nextSnapshot   time.Duration
	stopping       bool
}

// configurationState is a configuration that was received.
type configurationState struct {
	latest    *routeconfig.Configuration
	confirmed bool  // it was known current at some time in this life
	inForce   int64 // the version that was published last; 0 before
}

// New returns the control machine of a proxy.
func New(cfg settings.Settings, self message.Member) *Machine {
	m := &Machine{
		settings:       cfg,
		startTime:      self.StartTime,
		configurations: map[string]*configurationState{},
		upstreams:      newLocalUpstreams(cfg),
		sealed:         map[string]int64{},
	}
	m.membership = membership.New(cfg, self, nil)
	m.distribution = distribution.New(cfg, m.membership, m.onTopicChange)
	for _, configName := range cfg.ConfigNames {
		m.distribution.Subscribe(distribution.ConfigurationTopic(configName))
	}
	for _, zone := range cfg.Subscribed() {
		m.distribution.Subscribe(distribution.SliceTopic(zone))
	}
	return m
}

// Tick advances membership and updates, and sends what is due.
func (m *Machine) Tick(env *statemachine.Env) {
	m.membership.Tick(env)
	m.distribution.Tick(env)
	m.sendDue(env)
}

// Handle takes a message from another process.
func (m *Machine) Handle(env *statemachine.Env, from string, received any) {
	if !m.membership.Handle(env, from, received) && !m.distribution.Handle(env, from, received) {
		switch received := received.(type) {
		case message.ProbeRequest:
			m.upstreams.probe(env, received)
		case message.HeartbeatResponse:
			m.sealed[received.Registry] = received.SealedBelow
			m.distribution.HandleNewerPositions(env, received.Registry, received.NewerPositions)
		}
	}
	m.sendDue(env)
}

// HandleRequest takes a notice or a query from the process.
func (m *Machine) HandleRequest(env *statemachine.Env, requestID int64, question any) {
	switch asked := question.(type) {
	case Announced:
		m.handleAnnounced(env, asked.Registration)
	case SignedOff:
		m.upstreams.signOff(env.Now, asked)
		m.nextHeartbeat = env.Now
	case Probed:
		m.handleProbed(env, asked)
	case UsageCounted:
		m.sendUsage(env, asked)
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(asked.Seeds)
	case statemachine.ConnectionClosed:
		m.distribution.HandleConnectionClosed(env, asked.Address)
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

// Synced is never called, since nothing is written.
func (m *Machine) Synced(*statemachine.Env, int64, error) {}

// onTopicChange takes a configuration or a slice whose content has changed.
func (m *Machine) onTopicChange(env *statemachine.Env, topic string) {
	for _, configName := range m.settings.ConfigNames {
		if distribution.ConfigurationTopic(configName) != topic {
			continue
		}
		if version, body, known := m.distribution.Configuration(configName); known {
			m.readConfiguration(configName, version, body)
			m.nextHeartbeat = env.Now
		}
	}
	m.nextSnapshot = env.Now
}

// readConfiguration parses a version of a configuration. Routes that did not change since the version
// before are not parsed again.
func (m *Machine) readConfiguration(configName string, version int64, body []byte) {
	state, received := m.configurations[configName]
	if !received {
		state = &configurationState{}
		m.configurations[configName] = state
	}
	state.latest = state.latest.Next(configName, version, body, m.settings.ConfigurationLimits())
}

// sendDue sends a heartbeat and publishes a snapshot, where their times have come.
func (m *Machine) sendDue(env *statemachine.Env) {
	if env.Now >= m.nextHeartbeat {
		m.nextHeartbeat = env.Now + m.settings.HeartbeatEvery()
		m.sendHeartbeat(env)
	}
	if env.Now >= m.nextSnapshot {
		m.nextSnapshot = env.Now + m.settings.UpdatesEvery()
		m.publish(env)
	}
}
