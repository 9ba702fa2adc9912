package registry

import (
	"slices"
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/lease"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Group is the name of the quorum group that the registries form.
const Group = "registry"

// Machine is the control state of a registry process. It must be driven by a single goroutine.
type Machine struct {
	*quorum.ControlBase
	settings     settings.Settings
	membership   *membership.Membership
	quorum       *quorum.Quorum
	leases       *lease.Manager
	distribution *distribution.Distribution

	zones       map[string]*zoneReplica // by zone name
	heartbeats  *heartbeatTable
	proxies     proxyReports
	changes     *changeTracker
	replication *replicationState
	requests    *forwardedRequests
	usage       *usageManager

	started           bool
	startedAt         time.Duration // time of the first tick
	lastTickAt        time.Duration
	nextMaintenanceAt time.Duration
	stopping          bool
}

// New restores a machine from the snapshot and the log records on its disk.
func New(cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte) (*Machine, error) {
	saved, err := quorum.DecodeSnapshot[message.RegistryState](snapshot)
	if err != nil {
		return nil, err
	}
	m := &Machine{
		settings:    cfg,
		zones:       newZoneReplicas(cfg.Zones),
		heartbeats:  newHeartbeatTable(),
		proxies:     proxyReports{},
		changes:     newChangeTracker(),
		replication: newReplicationState(),
	}
	m.restoreRoster(saved.Slices)
	m.membership = membership.New(cfg, self, saved.KnownAddresses)
	m.distribution = m.newDistribution()
	m.ControlBase = quorum.NewControlBase(cfg, message.RoleRegistry, m.membership, m.snapshot, snapshot == nil)
	m.AfterCompact(m.appendDeregistrations)
	m.usage = newUsageManager(m, saved)
	m.requests = newForwardedRequests(cfg, m.ControlBase, m.membership, m.distribution)
	restored := quorum.RestoredState{Voter: saved.Voter, Votes: saved.Votes}
	if err := restored.Replay(records, m.membership, m.replay); err != nil {
		return nil, err
	}
	m.quorum = quorum.New(Group, cfg, m, restored.Voter, func(env *statemachine.Env, newGroup bool) {
		m.leases.BeginVoting(env, newGroup)
	})
	m.SetQuorum(m.quorum)
	m.leases = lease.New(cfg, m, m.quorum, leaseNames(cfg), restored.Votes, lease.Callbacks{
		Eligible:   m.eligible,
		OnAcquired: m.onLeaseAcquired,
		OnLost:     m.onLeaseLost,
	})
	m.usage.quorum, m.usage.leases = m.quorum, m.leases
	return m, nil
}

// newDistribution returns this registry's node of the distribution tree: it subscribes to all
// configurations and serves the slices of all zones.
func (m *Machine) newDistribution() *distribution.Distribution {
	tree := distribution.New(m.settings, m.membership, func(*statemachine.Env, string) {})
	for _, configName := range m.settings.ConfigNames {
		tree.Subscribe(distribution.ConfigurationTopic(configName))
	}
	for _, zone := range m.settings.Zones {
		tree.ServeSlice(m.zones[zone].slice)
	}
	return tree
}

// leaseNames lists the names of the leases that registries hold: one per zone, and that of the
// usage reports.
func leaseNames(cfg settings.Settings) []string {
	return append(append([]string{}, cfg.Zones...), settings.UsageLease)
}

// eligible reports whether this registry may become a candidate for a lease. It may not for a zone
// whose copy is incomplete: as the holder it would drop the missing registrations.
func (m *Machine) eligible(leaseName string) bool {
	if m.Failure() != nil || m.stopping || m.membership.Superseded() {
		return false
	}
	return leaseName == settings.UsageLease || m.zones[leaseName].complete
}

// onLeaseAcquired starts a new epoch of the zone, or of the usage reports, whose lease was
// acquired.
func (m *Machine) onLeaseAcquired(env *statemachine.Env, leaseName string, epoch int64) {
	if leaseName == settings.UsageLease {
		m.usage.onLeaseAcquired(epoch)
		return
	}
	replica := m.zones[leaseName]
	replica.acquiredAt = env.Now
	replica.slice.StartEpoch(epoch)
	m.distribution.SliceChanged(env, distribution.SliceTopic(leaseName))
	m.replication.snapshotDue = true
}

// onLeaseLost stops sealing when the usage lease is lost. Zones need no action: holdsZone checks
// the lease.
func (m *Machine) onLeaseLost(_ *statemachine.Env, leaseName string, _ int64) {
	if leaseName == settings.UsageLease {
		m.usage.onLeaseLost()
	}
}

// holdsZone reports whether this registry holds a zone's lease and its slice is in the lease's
// epoch, so that it may change the zone now.
func (m *Machine) holdsZone(env *statemachine.Env, zone string) bool {
	return m.leases.IsHolder(zone, env.Now) && m.zones[zone].slice.Position.Epoch == m.leases.Epoch(zone)
}

// Tick performs the periodic work of one clock tick.
func (m *Machine) Tick(env *statemachine.Env) {
	m.lastTickAt = env.Now
	if !m.started {
		m.started, m.startedAt = true, env.Now
	}
	m.membership.Tick(env)
	m.quorum.Tick(env)
	m.Maintain(env, m.quorum.Removed)
	m.leases.Tick(env)
	m.distribution.Tick(env)
	m.requests.tick(env)
	m.usage.tick(env)
	m.refreshHeldZones(env)
	if env.Now >= m.nextMaintenanceAt {
		m.nextMaintenanceAt = env.Now + m.settings.DigestEvery()
		m.synchronizeZones(env)
		m.shareRestoredDeregistrations(env)
		m.maintainRoster(env)
	}
	m.compactWhenDue(env)
}

// refreshHeldZones marks the slices of the zones held here as current in the distribution tree.
func (m *Machine) refreshHeldZones(env *statemachine.Env) {
	for _, zone := range m.settings.Zones {
		if m.holdsZone(env, zone) {
			m.distribution.SetFreshAt(distribution.SliceTopic(zone), env.Now)
		}
	}
}

// Handle dispatches a message from another process.
func (m *Machine) Handle(env *statemachine.Env, from string, msg any) {
	if m.membership.Handle(env, from, msg) || m.quorum.Handle(env, from, msg) || m.leases.Handle(env, from, msg) ||
		m.distribution.Handle(env, from, msg) || m.usage.handle(env, from, msg) || m.requests.handle(env, msg) {
		return
	}
	switch received := msg.(type) {
	case message.HeartbeatBatch:
		m.handleHeartbeats(env, from, received)
	case message.ConfigurationCommitted:
		m.handleConfigurationCommitted(env, received)
	case message.UsageUpdate:
		m.usage.handleUpdate(env, received)
	case message.RosterChange:
		m.handleRosterChange(env, received)
	case message.RosterCheck:
		m.handleRosterCheck(env, from, received)
	case message.RosterDigest:
		m.handleRosterDigest(env, received)
	case message.RosterPull:
		m.handleRosterPull(env, from, received)
	case message.RosterSnapshot:
		m.handleRosterSnapshot(env, received)
	case message.Deregistration:
		m.handlePeerDeregistration(env, received)
	}
}

// VoterState returns the voter's state on this disk. It is for tests and the status.
func (m *Machine) VoterState() message.VoterState { return m.quorum.State }

// Serving reports whether this registry held the usage lease or the lease of a zone at its last
// tick. It is for tests and the status.
func (m *Machine) Serving() bool {
	if m.leases.IsHolder(settings.UsageLease, m.lastTickAt) {
		return true
	}
	return slices.ContainsFunc(m.settings.Zones, func(zone string) bool {
		return m.leases.IsHolder(zone, m.lastTickAt)
	})
}

// Registrations returns a zone's slice of the roster in the order of the keys. It is for tests and
// the status.
func (m *Machine) Registrations(zone string) []message.Registration {
	replica, known := m.zones[zone]
	if !known {
		return nil
	}
	return replica.slice.List()
}
