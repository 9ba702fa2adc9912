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

// New restores a machine from what its disk held: a snapshot, nil for an empty disk, and the records
// that were written after it.
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

// beginVoting is called when the quorum lets this voter vote; fresh says that its disk is new.
func (m *Machine) beginVoting(env *statemachine.Env, fresh bool) { m.leases.BeginVoting(env, fresh) }

// replay takes a record of the log on disk.
func (m *Machine) replay(record any) {
	switch entry := record.(type) {
	case message.LogRecommit:
		m.log.recommit(entry.Epoch)
	case message.LogAppend:
		m.log.append(entry.Epoch, entry.Seq, entry.Configuration)
	}
}

// eligible reports whether this voter may ask for the lease.
func (m *Machine) eligible(string) bool {
	return m.Failure() == nil && !m.stopping && !m.membership.Superseded()
}

// leaseHolderName returns the member name of the holder of the lease, "" if this voter doesn't know it.
func (m *Machine) leaseHolderName() string {
	voter := m.leases.Holder(settings.ConfigLogLease)
	for _, peer := range m.Peers() {
		if peer.Voter == voter && peer.Address == m.quorum.AddressOf(voter) {
			return peer.Name
		}
	}
	return ""
}

// Tick advances the machine to the time of the environment.
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

// Handle takes a message from another process.
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

// Stop asks the machine to hand over what it holds and to leave the group; it answers with errcode.OK
// when the process may end.
type Stop struct{}

// HandleRequest takes the process's own questions.
func (m *Machine) HandleRequest(env *statemachine.Env, requestID int64, question any) {
	switch asked := question.(type) {
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(asked.Seeds)
	case metrics.Read:
		env.Reply(requestID, m.metrics(env))
	case Stop:
		m.stopping = true
		m.leases.TransferAll(env)
		m.Depart(env, requestID, errcode.OK)
	}
}

// Serving reports whether this voter holds the lease and has taken over the log.
func (m *Machine) Serving() bool { return m.leadership.phase == serving }

// VoterState returns what this disk says of its voter.
func (m *Machine) VoterState() message.VoterState { return m.quorum.State }

// Voting reports whether this process holds a voter.
func (m *Machine) Voting() bool { return m.quorum.Voting() }

// NewestVersion returns the highest version of a configuration in this disk's log, 0 for none.
func (m *Machine) NewestVersion(configName string) int64 { return m.log.newest(configName).Version }
