// Package configstore is the configuration store's machine. One voter holds the configuration log's lease
// and orders all puts; a put is acknowledged when a majority of voters has synced it
// under the holder's epoch. A new holder reads a majority, takes the highest position,
// settles it again under its own epoch, and only then serves. Safety rests on epochs
// and synced writes: a voter that promised a higher epoch takes nothing of a lower one,
// and a read is answered only after a renewal that began behind it. The numbers of
// versions are the operators'; the order of settling is (epoch, sequence), the configuration log's
// own.
package configstore

import (
	"time"

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

// Group is the name of the configstores' voters as a group.
const Group = "configstore"

type mode int

const (
	idle mode = iota
	reading
	pulling
	adopting
	serving
)

// Machine is the configstore's control state.
type Machine struct {
	*quorum.Core
	settings     settings.Settings
	membership   *membership.Membership
	quorum       *quorum.Quorum
	leases       *lease.Manager
	distribution *distribution.Distribution

	epoch          int64
	seq            int64
	synced         position
	configurations map[string][]message.StoredConfiguration
	history        *versionHistory
	hash           int64 // over the history and the kept versions

	mode      mode
	term      int64
	reads     map[string]message.LogPositionResponse
	source    message.LogPositionResponse
	acks      map[string]string
	followers map[string]message.LogAppended // what each voter confirmed of this term
	inFlight  *message.StoredConfiguration
	packed    message.LogAppendDelta // inFlight, as it travels
	packer    packer
	asker     queuedWrite
	writes    []queuedWrite
	answers   []unconfirmedAnswer
	sentAt    time.Duration
	pullAt    time.Duration
	pullWait  time.Duration // until the next pull, while the log doesn't move
	pulledAt  position
	stopping  bool
	adoption  message.LogRecommit
}

// New restores a machine from what its disk held.
func New(cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte) (*Machine, error) {
	kept, err := quorum.DecodeSnapshot[message.ConfigStoreState](snapshot)
	if err != nil {
		return nil, err
	}
	m := &Machine{settings: cfg, membership: membership.New(cfg, self, kept.KnownAddresses)}
	m.absorb(kept)
	restored := quorum.Restored{Voter: kept.Voter, Votes: kept.Votes}
	if err := restored.Replay(records, m.membership, m.replay); err != nil {
		return nil, err
	}
	m.synced = m.position()
	m.distribution = distribution.New(cfg, m.membership, func(*statemachine.Env, string) {})
	m.Core = quorum.NewCore(cfg, message.RoleConfigStore, m.membership, m.snapshot, snapshot == nil)
	m.quorum = quorum.New(Group, cfg, m, restored.Voter, func(s *statemachine.Env, fresh bool) { m.leases.BeginVoting(s, fresh) })
	m.UseVoters(m.quorum)
	m.leases = lease.New(cfg, m, m.quorum, []string{settings.ConfigLogTag}, restored.Votes,
		lease.Callbacks{Eligible: m.fit, OnAcquired: m.took, OnLost: m.lost})
	m.distribution.ServeWhen(func(now time.Duration) bool { return m.mode == serving && m.leases.Holding(settings.ConfigLogTag, now) }, func() []string { return []string{m.holderName()} })
	return m, nil
}

// replay takes a record of the log on disk.
func (m *Machine) replay(record any) {
	switch held := record.(type) {
	case message.LogRecommit:
		m.epoch, m.seq = held.Epoch, 0
	case message.LogAppend:
		m.epoch, m.seq = held.Epoch, held.Seq
		m.keep(held.Configuration)
	}
}

func (m *Machine) fit(string) bool {
	return m.Failure() == nil && !m.stopping && !m.membership.Superseded()
}

func (m *Machine) holderName() string {
	voter := m.leases.Holder(settings.ConfigLogTag)
	for _, peer := range m.Peers() {
		if peer.Voter == voter && peer.Address == m.quorum.AddressOf(voter) {
			return peer.Name
		}
	}
	return ""
}

// Tick is one step of the clock.
func (m *Machine) Tick(s *statemachine.Env) {
	m.membership.Tick(s)
	m.quorum.Tick(s)
	m.Maintain(s, m.quorum.Removed)
	m.leases.Tick(s)
	m.distribution.Tick(s)
	m.step(s)
	if m.mode == serving && m.leases.Holding(settings.ConfigLogTag, s.Now) {
		for _, configName := range m.configNames() {
			m.distribution.SetFreshAt(distribution.ConfigurationTopic(configName), s.Now)
		}
	}
}

// step repeats what the mode waits for, and moves on where it can.
func (m *Machine) step(s *statemachine.Env) {
	if m.mode != idle && !m.leases.Holding(settings.ConfigLogTag, s.Now) {
		return
	}
	m.answerConfirmed(s)
	if m.mode == idle || s.Now-m.sentAt < m.settings.DigestEvery() && m.sentAt != 0 {
		return
	}
	m.sentAt = s.Now
	switch m.mode {
	case reading:
		for _, peer := range m.Peers() {
			s.Send(peer.Address, message.LogPositionRequest{Epoch: m.term, Voter: m.quorum.Voter, Identity: m.quorum.Signature()})
		}
		m.chooseSource(s)
	case pulling:
		for _, peer := range m.Peers() {
			if peer.Voter == m.source.Voter {
				s.Send(peer.Address, message.LogSnapshotRequest{Epoch: m.term, Voter: m.quorum.Voter, Identity: m.quorum.Signature()})
			}
		}
	case adopting:
		m.adoption.Identity = m.quorum.Signature()
		for _, peer := range m.Peers() {
			s.Send(peer.Address, m.adoption)
		}
	case serving:
		if m.inFlight != nil {
			m.sendInFlight(s)
		} else {
			m.tellLaggards(s)
		}
	}
}

// Handle takes a message from another process.
func (m *Machine) Handle(s *statemachine.Env, from string, msg any) {
	if m.membership.Handle(s, from, msg) || m.quorum.Handle(s, from, msg) || m.distribution.Handle(s, from, msg) {
		return
	}
	if m.leases.Handle(s, from, msg) {
		m.answerConfirmed(s)
		return
	}
	promised := m.leases.Epoch(settings.ConfigLogTag)
	valid := func(voter, identity string, epoch int64) bool {
		inEpoch := epoch == promised || guardsOff.promisedEpoch
		return m.quorum.Voting() && m.quorum.Accepts(voter, identity) && inEpoch && m.Failure() == nil
	}
	switch received := msg.(type) {
	case message.LogPositionRequest:
		if valid(received.Voter, received.Identity, received.Epoch) {
			s.Send(from, message.LogPositionResponse{Epoch: received.Epoch, Voter: m.quorum.Voter, Identity: m.quorum.Signature(),
				AtEpoch: m.synced.epoch, AtSeq: m.synced.seq, Hash: m.synced.hash})
		}
	case message.LogPositionResponse:
		if m.mode == reading && received.Epoch == m.term {
			m.reads[received.Voter] = received
			m.chooseSource(s)
		}
	case message.LogSnapshotRequest:
		if valid(received.Voter, received.Identity, received.Epoch) {
			s.Send(from, m.logSnapshot(received.Epoch))
		}
	case message.LogSnapshot:
		m.handleSnapshot(s, from, received)
	case message.LogRecommit:
		if valid(received.Voter, received.Identity, received.Epoch) {
			m.handleAdopt(s, from, received)
		}
	case message.LogAppend:
		if valid(received.Voter, received.Identity, received.Epoch) {
			m.handleCommit(s, from, received)
		}
	case message.LogAppendDelta:
		if valid(received.Voter, received.Identity, received.Epoch) {
			m.handlePacked(s, from, received)
		}
	case message.LogAppended:
		m.handleCommitted(s, received)
	case message.WriteRequest:
		m.handleWrite(s, from, received)
	case message.ReadRequest:
		if m.mode != serving {
			m.tell(s, from, message.StoreResponse{RequestID: received.RequestID, Code: int64(m.notServing()), Holder: m.holderName()})
			return
		}
		m.answerLater(s, unconfirmedAnswer{from, received.RequestID, s.Now, func() message.StoreResponse { return m.read(received) }})
	}
}

// Stop is the polite end.
type Stop struct{}

// Asked takes the process's own questions.
func (m *Machine) Asked(s *statemachine.Env, requestID int64, question any) {
	switch asked := question.(type) {
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(asked.Seeds)
	case metrics.Read:
		s.Reply(requestID, m.metrics(s))
	case Stop:
		m.stopping = true
		m.leases.TransferAll(s)
		m.Depart(s, requestID, errcode.OK)
	}
}

// Serving is for tests and status.
func (m *Machine) Serving() bool { return m.mode == serving }

// VoterState is for tests and status: what this disk says of its voter.
func (m *Machine) VoterState() message.VoterState { return m.quorum.State }
