// Package registry is the registry's machine: every registry holds all
// registrations of all zones, one of them keeps each zone's tag and alone
// acts on it. Heartbeats come from the proxies to every registry, so that whoever becomes
// holder has warm heartbeat times. The holder creates, confirms, changes, drains, signs
// off and expires; it syncs the change, then broadcasts it. The others follow the
// broadcasts, measure their drift by digests, and pull the whole set by themselves
// when they differ or join. It also takes the outside calls for both programs.
package registry

import (
	"slices"
	"time"

	"beaconvane/internal/delta"
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/lease"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Group is the name of the registries' voters as a group.
const Group = "registry"

// Machine is the registry's control state.
type Machine struct {
	*quorum.Core
	settings     settings.Settings
	membership   *membership.Membership
	quorum       *quorum.Quorum
	leases       *lease.Manager
	distribution *distribution.Distribution
	usage        *usage
	outside      *outside

	slices   map[string]*distribution.RosterSlice
	seen     map[string]heartbeatSeen
	ended    map[string]ended
	proxies  map[string]proxySeen
	writing  map[string]bool
	probedAt map[string]time.Duration
	takenAt  map[string]time.Duration
	whole    map[string]bool
	unwhole  map[string]map[string]bool
	bootAt   time.Duration
	booted   bool
	checkAt  time.Duration
	checks   map[int64]time.Duration
	pullAt   map[string]time.Duration
	round    int64
	dirty    bool
	seenAt   time.Duration
	stopping bool

	steppedAt time.Duration // the time of the last tick
}

// New restores a machine from what its disk held.
func New(cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte) (*Machine, error) {
	kept, err := quorum.DecodeSnapshot[message.RegistryState](snapshot)
	if err != nil {
		return nil, err
	}
	m := &Machine{settings: cfg, slices: map[string]*distribution.RosterSlice{}, seen: map[string]heartbeatSeen{}, ended: map[string]ended{},
		proxies: map[string]proxySeen{}, writing: map[string]bool{}, probedAt: map[string]time.Duration{}, takenAt: map[string]time.Duration{},
		whole: map[string]bool{}, unwhole: map[string]map[string]bool{}, checks: map[int64]time.Duration{}, pullAt: map[string]time.Duration{}}
	m.restoreSlices(kept.Slices)
	m.membership = membership.New(cfg, self, kept.KnownAddresses)
	m.distribution = distribution.New(cfg, m.membership, func(s *statemachine.Env, topic string) {})
	for _, configName := range cfg.ConfigNames {
		m.distribution.Subscribe(distribution.ConfigurationTopic(configName))
	}
	for _, zone := range cfg.Zones {
		m.distribution.ServeSlice(m.slices[zone])
	}
	m.Core = quorum.NewCore(cfg, message.RoleRegistry, m.membership, m.snapshot, snapshot == nil)
	m.usage = newUsage(m, kept.Sealed, kept.Reported)
	m.usage.regain(kept.Usage)
	m.outside = newOutside(m)
	restored := quorum.Restored{Voter: kept.Voter, Votes: kept.Votes}
	if err := restored.Replay(records, m.membership, m.replay); err != nil {
		return nil, err
	}
	m.quorum = quorum.New(Group, cfg, m, restored.Voter, func(s *statemachine.Env, fresh bool) { m.leases.BeginVoting(s, fresh) })
	m.UseVoters(m.quorum)
	tags := append(append([]string{}, cfg.Zones...), settings.UsageTag)
	m.leases = lease.New(cfg, m, m.quorum, tags, restored.Votes,
		lease.Callbacks{Eligible: m.fit, OnAcquired: m.took, OnLost: m.lost})
	return m, nil
}

// restoreSlices takes the roster of the snapshot.
func (m *Machine) restoreSlices(kept []message.RosterSnapshot) {
	for _, zone := range m.settings.Zones {
		m.slices[zone] = distribution.NewRosterSlice(distribution.SliceTopic(zone))
	}
	for _, slice := range kept {
		if held, known := m.slices[slice.Tag]; known {
			held.Replace(slice.Position, slice.Registrations)
		}
	}
}

// replay takes a record of the log on disk.
func (m *Machine) replay(record any) {
	switch held := record.(type) {
	case message.RosterChange:
		if slice, known := m.slices[tagOf(held.Position.Topic)]; known {
			slice.Append(held.Position.Epoch, held.Registration, held.Removed, held.Cause)
		}
	case message.UsageSealed:
		m.usage.restore(held)
	case message.UnreportedUsage:
		m.usage.regain(held)
	case message.UsageReported:
		m.usage.reported = max(m.usage.reported, held.Window)
	}
}

func tagOf(topic string) string {
	if len(topic) > 6 {
		return topic[6:]
	}
	return topic
}

// Snapshot is the whole state, as a slot of the disk holds it.
func (m *Machine) Snapshot() []byte { return m.snapshot() }

func (m *Machine) snapshot() []byte {
	state := message.RegistryState{Voter: m.quorum.State, Votes: m.leases.Votes(), Slices: []message.RosterSnapshot{},
		Sealed: m.usage.list(), Reported: m.usage.reported, KnownAddresses: m.membership.KnownAddresses(), Usage: m.usage.held()}
	for _, zone := range m.settings.Zones {
		slice := m.slices[zone]
		state.Slices = append(state.Slices, message.RosterSnapshot{Tag: zone, Position: slice.Mark, Registrations: slice.List()})
	}
	body, err := message.Encode(state)
	if err != nil {
		panic("registry: snapshot: " + err.Error())
	}
	return body
}

// StateForGrant and MergeGrantedStates, with the core's methods, make it a quorum.Host.
func (m *Machine) StateForGrant() []byte { return m.snapshot() }

// MergeGrantedStates takes what the granters of this voter know.
func (m *Machine) MergeGrantedStates(s *statemachine.Env, states [][]byte) {
	for _, body := range states {
		decoded, err := message.Decode(body)
		state, isState := decoded.(message.RegistryState)
		if err != nil || !isState {
			continue
		}
		m.leases.Restore(state.Votes)
		for _, sealed := range state.Sealed {
			m.usage.restore(sealed)
		}
		m.usage.reported = max(m.usage.reported, state.Reported)
		for _, snapshot := range state.Slices {
			if held, known := m.slices[snapshot.Tag]; known && held.Mark.Before(snapshot.Position) {
				held.Replace(snapshot.Position, snapshot.Registrations)
			}
		}
	}
}

// DiscardState drops what rested on a voter that is another's now; the roster stays, as updates.
func (m *Machine) DiscardState(s *statemachine.Env) {
	m.leases.Forget(s)
	m.usage.forget()
}

func (m *Machine) fit(tag string) bool {
	if m.Failure() != nil || m.stopping || m.membership.Superseded() {
		return false
	}
	return tag == settings.UsageTag || m.whole[tag]
}

func (m *Machine) took(s *statemachine.Env, tag string, epoch int64) {
	m.takenAt[tag] = s.Now
	if tag == settings.UsageTag {
		m.usage.took(s, epoch)
		return
	}
	m.slices[tag].StartEpoch(epoch)
	m.distribution.SliceChanged(s, distribution.SliceTopic(tag))
	m.dirty = true
}

func (m *Machine) lost(s *statemachine.Env, tag string, epoch int64) {
	if tag == settings.UsageTag {
		m.usage.lost()
	}
}

// keeps says that this registry acts for a zone at this moment.
func (m *Machine) keeps(s *statemachine.Env, tag string) bool {
	return m.leases.Holding(tag, s.Now) && m.slices[tag].Mark.Epoch == m.leases.Epoch(tag)
}

// Tick is one step of the clock.
func (m *Machine) Tick(s *statemachine.Env) {
	m.steppedAt = s.Now
	if !m.booted {
		m.booted, m.bootAt = true, s.Now
	}
	m.membership.Tick(s)
	m.quorum.Tick(s)
	m.Maintain(s, m.quorum.Removed)
	m.leases.Tick(s)
	m.distribution.Tick(s)
	m.outside.tick(s)
	m.usage.tick(s)
	for _, tag := range m.settings.Zones {
		if m.keeps(s, tag) {
			m.distribution.SetFreshAt(distribution.SliceTopic(tag), s.Now)
		}
	}
	if s.Now >= m.checkAt {
		m.checkAt = s.Now + m.settings.DigestEvery()
		m.check(s)
		m.sweep(s)
	}
	if m.dirty && s.Now >= m.seenAt {
		// Backups fold what they pulled into a slot, at a gentle pace.
		m.dirty, m.seenAt = false, s.Now+m.settings.HolderRest()
		m.WriteSnapshot(s, func(*statemachine.Env, error) {})
	}
}

// Handle takes a message from another process.
func (m *Machine) Handle(s *statemachine.Env, from string, msg any) {
	if m.membership.Handle(s, from, msg) || m.quorum.Handle(s, from, msg) || m.leases.Handle(s, from, msg) ||
		m.distribution.Handle(s, from, msg) || m.usage.handle(s, from, msg) || m.outside.handle(s, msg) {
		return
	}
	switch received := msg.(type) {
	case message.HeartbeatBatch:
		m.handleHeartbeats(s, from, received)
	case message.ConfigurationCommitted:
		m.handleConfigurationCommitted(s, received)
	case message.UsageUpdate:
		m.usage.count(s, received)
	case message.RosterChange:
		m.handleChange(s, from, received)
	case message.RosterCheck:
		if slice, known := m.slices[received.Tag]; known && m.keeps(s, received.Tag) {
			s.Send(from, message.RosterDigest{Tag: received.Tag, Round: received.Round, Voter: m.quorum.Voter, Position: slice.Mark})
		}
	case message.RosterDigest:
		m.handleDigest(s, from, received)
	case message.RosterPull:
		if slice, known := m.slices[received.Tag]; known {
			s.Send(from, message.RosterSnapshot{Tag: received.Tag, Voter: m.quorum.Voter, Complete: m.whole[received.Tag],
				HoldsLease: m.keeps(s, received.Tag), Position: slice.Mark, Registrations: slice.List()})
		}
	case message.RosterSnapshot:
		m.handleSnapshot(s, received)
	}
}

// handleConfigurationCommitted takes a version that a peer was told is committed; one that
// stands here already isn't unpacked.
func (m *Machine) handleConfigurationCommitted(s *statemachine.Env, committed message.ConfigurationCommitted) {
	if version, _, known := m.distribution.Configuration(committed.ConfigName); known && version >= committed.Version {
		return
	}
	body, err := delta.Apply(nil, committed.Body, m.settings.Limits.Configuration)
	if err != nil {
		s.Event("configuration-unreadable", int(errcode.FrameBad), 0, err.Error())
		return
	}
	m.distribution.WriteConfiguration(s, committed.ConfigName, committed.Version, body)
}

// VoterState is for tests and status: what this disk says of its voter.
func (m *Machine) VoterState() message.VoterState { return m.quorum.State }

// Serving is for tests and status: whether it holds the lease of the usage reports or acts
// for some zone, as of its last step.
func (m *Machine) Serving() bool {
	if m.leases.Holding(settings.UsageTag, m.steppedAt) {
		return true
	}
	return slices.ContainsFunc(m.settings.Zones, func(zone string) bool { return m.leases.Holding(zone, m.steppedAt) })
}

// Registrations is for tests and status: a zone's slice of the roster, by key.
func (m *Machine) Registrations(zone string) []message.Registration {
	slice, known := m.slices[zone]
	if !known {
		return nil
	}
	return slice.List()
}

// ForceRecover gives the other voters up and returns the snapshot to be written: an operator's
// deed on the stopped survivor of two lost disks.
func (m *Machine) ForceRecover() []byte {
	m.quorum.ForceRecover()
	m.leases.ForceRecover()
	return m.snapshot()
}
