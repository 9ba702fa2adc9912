// Package proxy is the proxy's control machine: it keeps membership, takes the updates
// of configurations and slices, tells the registries of the upstreams beside it, and hands
// the traffic side an immutable snapshot after every change. Traffic itself lives in
// frontend (the caller's side) and backend (the upstream's side).
package proxy

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Questions and tidings from the process.
type (
	// Announced is what the backend has accepted from an upstream.
	Announced struct {
		Registration message.Registration
	}
	// SignedOff is an upstream's last word, or its end by another's announcement.
	SignedOff struct {
		Service     string
		Instance    string
		Incarnation int64
	}
	// Probed is the outcome of a probe.
	Probed struct {
		Key         string
		Incarnation int64
		Answered    bool
	}
	// Counted is what the frontend has counted; windows below Closed won't change.
	Counted struct {
		Usage  []message.UsageCount
		Closed int64
	}
	// ReadSealed asks below which window all is sealed; ReadStatus for the counters.
	ReadSealed struct{}
	ReadStatus struct{}
	// Stop is the polite end.
	Stop struct{}
)

// Snapshot is what traffic sees of the control state. It is never changed after it was
// published.
type Snapshot struct {
	Configurations []*routeconfig.Configuration
	Upstreams      map[string][]message.Registration
	Proxies        int
	FreshAt        time.Duration // as of when all configurations are known current
	Known          bool          // every configuration is here
	RosterAt       time.Duration
	RosterHere     bool
	Joined         bool
	Stopping       bool
}

// Ready says whether this node should get traffic.
func (v *Snapshot) Ready(now time.Duration, staleAfter time.Duration) bool {
	return v != nil && v.Joined && !v.Stopping && v.Known && v.RosterHere && now-v.FreshAt <= staleAfter && now-v.RosterAt <= staleAfter
}

type local struct {
	registration message.Registration
	announcedAt  time.Duration
	probed       int64
}

type signOff struct {
	end message.SignOff
	at  time.Duration
}

// Machine is the proxy's control state.
type Machine struct {
	settings       settings.Settings
	membership     *membership.Membership
	distribution   *distribution.Distribution
	locals         map[string]*local
	ends           map[string]signOff
	configurations map[string]*routeconfig.Configuration
	begun          map[string]bool  // configurations that were known current in this life
	forced         map[string]int64 // versions handed to the traffic side
	usage          usageSender
	sealed         map[string]int64
	heartbeatAt    time.Duration
	snapshotAt     time.Duration
	stopping       bool
	shown          *Snapshot
	life           int64 // this life's birth, whatever the membership makes of it
}

// New makes the machine; a proxy keeps nothing on disk.
func New(cfg settings.Settings, self message.Member) *Machine {
	m := &Machine{settings: cfg, locals: map[string]*local{}, ends: map[string]signOff{}, configurations: map[string]*routeconfig.Configuration{}, begun: map[string]bool{}, forced: map[string]int64{}, sealed: map[string]int64{}, life: self.Birth}
	m.membership = membership.New(cfg, self, nil)
	m.distribution = distribution.New(cfg, m.membership, m.changed)
	for _, configName := range cfg.ConfigNames {
		m.distribution.Want(distribution.ConfigurationTopic(configName))
	}
	for _, zone := range cfg.Subscribed() {
		m.distribution.Want(distribution.SliceTopic(zone))
	}
	return m
}

func (m *Machine) changed(s *statemachine.Env, topic string) {
	for _, configName := range m.settings.ConfigNames {
		if distribution.ConfigurationTopic(configName) != topic {
			continue
		}
		if version, body, known := m.distribution.ConfigName(configName); known {
			m.configurations[configName] = routeconfig.Parse(configName, version, body, m.settings.ConfigurationLimits())
			m.heartbeatAt = s.Now
		}
	}
	m.snapshotAt = s.Now
}

// Tick is one step of the clock.
func (m *Machine) Tick(s *statemachine.Env) {
	m.membership.Tick(s)
	m.distribution.Tick(s)
	m.commit(s)
}

// settle sends what is due: heartbeats and snapshots.
func (m *Machine) commit(s *statemachine.Env) {
	if s.Now >= m.heartbeatAt {
		m.heartbeatAt = s.Now + m.settings.HeartbeatEvery()
		m.heartbeat(s)
	}
	if s.Now >= m.snapshotAt {
		m.snapshotAt = s.Now + m.settings.UpdatesEvery()
		m.show(s)
	}
}

func (m *Machine) heartbeat(s *statemachine.Env) {
	batch := message.HeartbeatBatch{Proxy: m.membership.Self().Name, Birth: m.life, Ready: m.shown.Ready(s.Now, m.settings.StaleReady()),
		Heartbeats: []message.Heartbeat{}, Ends: []message.SignOff{}, Marks: m.distribution.Marks(), Path: []string{}}
	if _, path, _ := m.distribution.Parent(); path != nil {
		batch.Path = path
	}
	for _, key := range slices.Sorted(maps.Keys(m.locals)) {
		held := m.locals[key]
		age := s.Now - held.announcedAt
		if age > m.settings.HeartbeatBound()*2 {
			delete(m.locals, key)
			continue
		}
		batch.Heartbeats = append(batch.Heartbeats, message.Heartbeat{Registration: held.registration, Age: int64(age), Probed: held.probed})
	}
	for _, key := range slices.Sorted(maps.Keys(m.ends)) {
		if s.Now-m.ends[key].at > m.settings.HeartbeatBound()*2 {
			delete(m.ends, key)
			continue
		}
		batch.Ends = append(batch.Ends, m.ends[key].end)
	}
	for _, registryNode := range m.membership.Lately(message.RoleRegistry, s.Now) {
		s.Send(registryNode.Address, batch)
	}
}

// show hands the traffic side a snapshot; heartbeats tell the readiness of the last one shown.
func (m *Machine) show(s *statemachine.Env) {
	m.shown = m.snapshot(s)
	s.Publish(m.shown)
}

// proxies counts the proxies that there are, with those that seem lost: behind a cut
// each side still shares the fleet's allowance of retries with the other.
func (m *Machine) proxies() int {
	count := 0
	for _, member := range m.membership.All() {
		if member.Role == message.RoleProxy && member.State != message.Left {
			count++
		}
	}
	return count
}

func (m *Machine) snapshot(s *statemachine.Env) *Snapshot {
	snapshot := &Snapshot{Upstreams: map[string][]message.Registration{}, Known: true, RosterHere: true, Joined: m.membership.Joined(), Stopping: m.stopping,
		Proxies: m.proxies(), FreshAt: s.Now, RosterAt: s.Now}
	for _, configName := range m.settings.ConfigNames {
		configuration, held := m.configurations[configName]
		freshAt, fresh := m.distribution.FreshAt(distribution.ConfigurationTopic(configName))
		// A life begins only with a configuration known current: an old one from a cut-off
		// relay may be behind what the life before had in force.
		if held && fresh && s.Now-freshAt <= m.settings.Reparent() {
			m.begun[configName] = true
		}
		if !held || !m.begun[configName] {
			snapshot.Known = false
			continue
		}
		if m.forced[configName] != configuration.Version {
			m.forced[configName] = configuration.Version
			s.Event("configuration-in-force", 0, configuration.Version, configName)
		}
		snapshot.Configurations = append(snapshot.Configurations, configuration)
		snapshot.FreshAt = min(snapshot.FreshAt, freshAt)
	}
	for _, zone := range m.settings.Subscribed() {
		registrations, known := m.distribution.Slice(zone)
		freshAt, fresh := m.distribution.FreshAt(distribution.SliceTopic(zone))
		if !known || !fresh && !m.settings.ByTarget() {
			snapshot.RosterHere = false
			continue
		}
		if fresh {
			snapshot.RosterAt = min(snapshot.RosterAt, freshAt)
		}
		for _, registration := range registrations {
			if m.orphaned(registration) {
				continue
			}
			snapshot.Upstreams[registration.Service] = append(snapshot.Upstreams[registration.Service], registration)
		}
	}
	return snapshot
}

// homeless: the serving proxy's process, of that life, is known to have ended or left.
func (m *Machine) orphaned(registration message.Registration) bool {
	servingProxy, known := m.membership.Find(registration.ServingProxy)
	return known && servingProxy.State >= message.Dead && servingProxy.Birth >= registration.ServingProxyBirth
}

// Handle takes a message from another process.
func (m *Machine) Handle(s *statemachine.Env, from string, msg any) {
	if !m.membership.Handle(s, from, msg) && !m.distribution.Handle(s, from, msg) {
		switch received := msg.(type) {
		case message.ProbeRequest:
			key := received.Service + "/" + received.Instance
			if held, known := m.locals[key]; known && held.registration.Incarnation == received.Incarnation && s.Now-held.announcedAt < m.settings.HeartbeatBound() {
				s.Probe(held.registration.Address, key, received.Incarnation)
			}
		case message.HeartbeatResponse:
			m.sealed[received.Registry] = received.Sealed
		}
	}
	m.commit(s)
}

// Asked takes tidings from the process.
func (m *Machine) Asked(s *statemachine.Env, requestID int64, question any) {
	switch asked := question.(type) {
	case Announced:
		registration := asked.Registration
		registration.ServingProxy, registration.ServingProxyAddress, registration.ServingProxyBirth = m.membership.Self().Name, m.membership.Self().Address, m.life
		key := registration.Key()
		held, known := m.locals[key]
		if !known || held.registration != registration {
			probed := int64(0)
			if known && held.registration.Incarnation == registration.Incarnation && held.registration.Address == registration.Address {
				probed = held.probed
			}
			m.locals[key] = &local{registration, s.Now, probed}
			m.heartbeatAt = s.Now
		} else {
			held.announcedAt = s.Now
		}
	case SignedOff:
		key := asked.Service + "/" + asked.Instance
		m.ends[key] = signOff{message.SignOff{Service: asked.Service, Instance: asked.Instance, Incarnation: asked.Incarnation}, s.Now}
		if held, known := m.locals[key]; known && held.registration.Incarnation <= asked.Incarnation {
			delete(m.locals, key)
		}
		m.heartbeatAt = s.Now
	case Probed:
		if held, known := m.locals[asked.Key]; known && held.registration.Incarnation == asked.Incarnation {
			was := held.probed
			held.probed = 2
			if asked.Answered {
				held.probed = 1
			}
			if held.probed != was {
				m.heartbeatAt = s.Now
			}
		}
	case Counted:
		m.sendUsage(s, asked)
	case statemachine.Reseeded:
		m.membership.Reseed(asked.Seeds)
	case statemachine.ConnectionBroke:
		m.distribution.ConnectionBroke(s, asked.Address)
	case ReadSealed:
		s.Reply(requestID, m.SealedBelow())
	case ReadStatus:
		s.Reply(requestID, m.status(s.Now))
	case Stop:
		m.stopping = true
		m.membership.Leave(s)
		m.show(s)
	}
	m.commit(s)
}

// Synced never comes: nothing is written.
func (m *Machine) Synced(*statemachine.Env, int64, error) {}
