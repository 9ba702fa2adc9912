// Package proxy implements the control plane of a proxy as a deterministic state machine. It maintains
// the membership, receives configurations and rosters through the relay tree, reports the upstreams
// registered at this proxy and their usage to the registries, and publishes an immutable Snapshot to
// the data plane after every change. The data plane is in packages frontend (towards callers) and
// backend (towards upstreams).
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

// Machine is the control state of a proxy. It implements statemachine.Machine and persists nothing. Its
// methods must not be called concurrently.
type Machine struct {
	settings       settings.Settings
	membership     *membership.Membership
	distribution   *distribution.Distribution
	startTime      int64                          // of this process, as configured; the membership may raise its own copy
	configurations map[string]*configurationState // received configurations by name
	upstreams      localUpstreams
	usage          usageSender
	sealed         map[string]int64 // by registry: the window below which it reported usage as sealed
	lastPublished  *Snapshot        // nil before the first publication
	nextHeartbeat  time.Duration
	nextSnapshot   time.Duration
	stopping       bool
}

// configurationState is the state of one received configuration.
type configurationState struct {
	latest    *routeconfig.Configuration
	confirmed bool  // it was known to be current at some time since the process started
	inForce   int64 // the version that was last published; 0 before the first
}

// New returns the control machine of a proxy that joins as the member self.
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

// Tick advances the timers of the membership and the distribution, and sends heartbeats and publishes
// snapshots that are due.
func (m *Machine) Tick(env *statemachine.Env) {
	m.membership.Tick(env)
	m.distribution.Tick(env)
	m.sendDue(env)
}

// Handle processes a message from another process.
func (m *Machine) Handle(env *statemachine.Env, from string, received any) {
	if !m.membership.Handle(env, from, received) && !m.distribution.Handle(env, from, received) {
		switch received := received.(type) {
		case message.ProbeRequest:
			m.upstreams.probe(env, received)
		case message.HeartbeatResponse:
			m.sealed[received.Registry] = received.SealedBelow
			m.distribution.HandleNewerPositions(env, received.Registry, received.NewerPositions)
		case message.DeregistrationsStored:
			m.upstreams.recordStored(env, received)
		}
	}
	m.sendDue(env)
}

// HandleRequest processes a notice or a query from the local process. Replies carry requestID.
func (m *Machine) HandleRequest(env *statemachine.Env, requestID int64, noticeOrQuery any) {
	switch request := noticeOrQuery.(type) {
	case Announced:
		m.handleAnnounced(env, request.Registration)
	case SignedOff:
		m.upstreams.signOff(env.Now, request)
		m.nextHeartbeat = env.Now
	case AwaitStored:
		m.upstreams.awaitStored(env, requestID, request.Deregistration)
	case Probed:
		m.handleProbed(env, request)
	case UsageCounted:
		m.sendUsage(env, request)
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(request.Seeds)
	case statemachine.ConnectionClosed:
		m.distribution.HandleConnectionClosed(env, request.Address)
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

// Synced does nothing: the machine writes nothing to disk.
func (m *Machine) Synced(*statemachine.Env, int64, error) {}

// onTopicChange handles a changed configuration or roster slice.
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

// readConfiguration parses a version of a configuration. Routes that are unchanged since the previous
// version are not parsed again.
func (m *Machine) readConfiguration(configName string, version int64, body []byte) {
	state, received := m.configurations[configName]
	if !received {
		state = &configurationState{}
		m.configurations[configName] = state
	}
	state.latest = state.latest.Next(configName, version, body, m.settings.ConfigurationLimits())
}

// sendDue sends a heartbeat and publishes a snapshot if they are due.
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
