package configstore

import (
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/lease"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Group is the name of the configuration stores' voters as a group.
const Group = "configstore"

// Machine is the control state of a configuration store. It implements statemachine.Machine and, with the
// embedded core, quorum.Host.
type Machine struct {
	*quorum.ControlBase
	settings     settings.Settings
	membership   *membership.Membership
	quorum       *quorum.Quorum
	leases       *lease.Manager
	distribution *distribution.Distribution

	log        replicatedLog
	leadership leadership
	proposal   proposal
	writes     []pendingWrite
	responses  []pendingResponse
	encoder    differenceEncoder
	backoff    snapshotBackoff
	stopping   bool
}

// New restores a machine from the snapshot on its disk, nil for an empty disk, and the records that were
// written after the snapshot.
func New(cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte) (*Machine, error) {
	state, err := quorum.DecodeSnapshot[message.ConfigStoreState](snapshot)
	if err != nil {
		return nil, err
	}
	m := &Machine{
		settings:   cfg,
		membership: membership.New(cfg, self, state.KnownAddresses),
		log:        replicatedLog{settings: cfg},
	}
	m.log.replace(state)
	restored := quorum.RestoredState{Voter: state.Voter, Votes: state.Votes}
	if err := restored.Replay(records, m.membership, m.replay); err != nil {
		return nil, err
	}
	m.log.synced = m.log.position()
	m.distribution = distribution.New(cfg, m.membership, func(*statemachine.Env, string) {})
	m.ControlBase = quorum.NewControlBase(cfg, message.RoleConfigStore, m.membership, m.Snapshot, snapshot == nil)
	m.quorum = quorum.New(Group, cfg, m, restored.Voter, m.beginVoting)
	m.SetQuorum(m.quorum)
	m.leases = lease.New(cfg, m, m.quorum, []string{settings.ConfigLogLease}, restored.Votes,
		lease.Callbacks{Eligible: m.eligible, OnAcquired: m.leaseAcquired, OnLost: m.leaseLost})
	m.distribution.ServeWhen(m.canServe, func() []string { return []string{m.leaseHolderName()} })
	return m, nil
}

// beginVoting is called when the quorum allows this voter to vote; fresh reports whether its disk is new.
func (m *Machine) beginVoting(env *statemachine.Env, fresh bool) { m.leases.BeginVoting(env, fresh) }

// replay applies a record of the write-ahead log to the replicated log.
func (m *Machine) replay(record any) {
	switch entry := record.(type) {
	case message.LogRecommit:
		m.log.recommit(entry.Epoch)
	case message.LogAppend:
		m.log.append(entry.Epoch, entry.Seq, entry.Configuration)
	}
}

// eligible reports whether this voter may request the lease.
func (m *Machine) eligible(string) bool {
	return m.Failure() == nil && !m.stopping && !m.membership.Superseded()
}

// leaseHolderName returns the member name of the holder of the lease, or "" if it is unknown.
func (m *Machine) leaseHolderName() string {
	voter := m.leases.Holder(settings.ConfigLogLease)
	for _, peer := range m.Peers() {
		if peer.Voter == voter && peer.Address == m.quorum.AddressOf(voter) {
			return peer.Name
		}
	}
	return ""
}

// Tick runs the timers that are due at env.Now.
func (m *Machine) Tick(env *statemachine.Env) {
	m.membership.Tick(env)
	m.quorum.Tick(env)
	m.Maintain(env, m.quorum.Removed)
	m.leases.Tick(env)
	m.distribution.Tick(env)
	m.step(env)
	if !m.canServe(env.Now) {
		return
	}
	for _, configName := range m.log.configNames() {
		m.distribution.SetFreshAt(distribution.ConfigurationTopic(configName), env.Now)
	}
}

// Handle processes a message from another process; from is the address of the sender.
func (m *Machine) Handle(env *statemachine.Env, from string, msg any) {
	if m.membership.Handle(env, from, msg) || m.quorum.Handle(env, from, msg) || m.distribution.Handle(env, from, msg) {
		return
	}
	if m.leases.Handle(env, from, msg) {
		m.sendConfirmedResponses(env)
		return
	}
	switch received := msg.(type) {
	case message.WriteRequest:
		m.handleWrite(env, from, received)
	case message.ReadRequest:
		m.handleRead(env, from, received)
	case message.LogPositionResponse:
		m.handlePosition(env, received)
	case message.LogSnapshot:
		m.handleSnapshot(env, from, received)
	case message.LogAppended:
		m.handleAppended(env, received)
	default:
		m.handleHolderRequest(env, from, msg)
	}
}

// Stop is the request to transfer the lease and to leave the membership. The machine replies with
// errcode.OK once the process may exit.
type Stop struct{}

// HandleRequest processes a request from this machine's own process.
func (m *Machine) HandleRequest(env *statemachine.Env, requestID int64, question any) {
	switch request := question.(type) {
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(request.Seeds)
	case metrics.Read:
		env.Reply(requestID, m.metrics(env))
	case Stop:
		m.stopping = true
		m.leases.TransferAll(env)
		m.Depart(env, requestID, errcode.OK)
	}
}

// Serving reports whether this voter has completed the takeover of the log and has not lost the lease since.
func (m *Machine) Serving() bool { return m.leadership.phase == serving }

// VoterState returns the persistent state of this process's voter.
func (m *Machine) VoterState() message.VoterState { return m.quorum.State }

// Voting reports whether this process currently acts as a voter.
func (m *Machine) Voting() bool { return m.quorum.Voting() }

// NewestVersion returns the number of the last version of a configuration in this voter's log, committed
// or not, or 0 if there is none.
func (m *Machine) NewestVersion(configName string) int64 {
	return m.log.newestEntry(configName).Version
}
