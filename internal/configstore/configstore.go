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
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/lease"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
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

type position struct{ epoch, seq, hash int64 }

func (p position) before(other position) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.seq < other.seq
}

type queuedWrite struct {
	from  string
	write message.WriteRequest
	at    time.Duration
}

// unconfirmedAnswer is kept back until a majority has renewed the lease in a round begun
// after the request came.
type unconfirmedAnswer struct {
	from      string
	requestID int64
	at        time.Duration
	response  func() message.StoreResponse
}

// Machine is the configstore's control state.
type Machine struct {
	*quorum.Core
	settings     settings.Settings
	membership   *membership.Membership
	quorum       *quorum.Quorum
	leases       *lease.Leases
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
	asker     queuedWrite
	writes    []queuedWrite
	answers   []unconfirmedAnswer
	sentAt    time.Duration
	pullAt    time.Duration
	stopping  bool
	adoption  message.LogRecommit
}

// New restores a machine from what its disk held.
func New(cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte) (*Machine, error) {
	m := &Machine{settings: cfg}
	kept := message.ConfigStoreState{}
	corrupt := func(err error) error {
		return errcode.Wrap("configstore.restore", errcode.DiskCorrupt, fmt.Errorf("unreadable record: %v", err))
	}
	if snapshot != nil {
		decoded, err := message.Decode(snapshot)
		state, isState := decoded.(message.ConfigStoreState)
		if err != nil || !isState {
			return nil, corrupt(err)
		}
		kept = state
	}
	m.membership = membership.New(cfg, self, kept.Seen)
	m.absorb(kept)
	votes := kept.Votes
	for _, record := range records {
		decoded, err := message.Decode(record)
		if err != nil {
			return nil, corrupt(err)
		}
		switch held := decoded.(type) {
		case message.VoterState:
			kept.Voter = held
		case message.Vote:
			votes = append(votes, held)
		case message.SeenState:
			m.membership.Remember(held.Addresses)
		case message.LogRecommit:
			m.epoch, m.seq = held.Epoch, 0
		case message.LogAppend:
			m.epoch, m.seq = held.Epoch, held.Seq
			m.keep(held.Configuration)
		}
	}
	m.synced = m.position()
	m.distribution = distribution.New(cfg, m.membership, func(*statemachine.Env, string) {})
	m.Core = quorum.NewCore(cfg, message.RoleConfigStore, m.membership, m.snapshot, snapshot == nil)
	m.quorum = quorum.NewQuorum(Group, cfg, m, kept.Voter, func(s *statemachine.Env, fresh bool) { m.leases.BeginVoting(s, fresh) })
	m.UseVoters(m.quorum)
	m.leases = lease.NewLeases(cfg, m, m.quorum, []string{settings.ConfigLogTag}, votes, m.fit, m.took, m.lost)
	m.distribution.ServeWhen(func(now time.Duration) bool { return m.mode == serving && m.leases.Holding(settings.ConfigLogTag, now) }, func() []string { return []string{m.holderName()} })
	return m, nil
}

// absorb takes the whole log as another voter or the disk has it.
func (m *Machine) absorb(state message.ConfigStoreState) {
	m.epoch, m.seq = state.Epoch, state.Seq
	m.configurations = map[string][]message.StoredConfiguration{}
	m.history = newVersionHistory(mostDigests, state.History)
	for _, configuration := range state.Configurations {
		m.configurations[configuration.ConfigName] = append(m.configurations[configuration.ConfigName], configuration)
		if _, remembered := m.history.digestOf(configuration.ConfigName, configuration.Version); !remembered {
			m.history.add(configuration.ConfigName, configuration.Version, contentDigest(configuration.Body))
		}
	}
	m.rehash()
}

// keep adds a version and drops the configuration's oldest over the limits, alike on every
// voter. The whole configuration log must fit a frame, since a voter is told it in one.
func (m *Machine) keep(configuration message.StoredConfiguration) {
	m.history.add(configuration.ConfigName, configuration.Version, contentDigest(configuration.Body))
	m.configurations[configuration.ConfigName] = append(m.configurations[configuration.ConfigName], configuration)
	total := int64(0)
	for _, held := range m.all() {
		total += int64(len(held.Body))
	}
	list := m.configurations[configuration.ConfigName]
	for int64(len(list)) > m.settings.Limits.KeptConfigurations || total > m.settings.Limits.Frame/2 && len(list) > 1 {
		total -= int64(len(list[0].Body))
		list = list[1:]
	}
	m.configurations[configuration.ConfigName] = list
	m.rehash()
}

// rehash names the whole content by what is remembered of it; no body is read again.
func (m *Machine) rehash() {
	sum := sha256.New()
	sum.Write(m.history.chain[:])
	for _, configuration := range m.all() {
		digest, _ := m.history.digestOf(configuration.ConfigName, configuration.Version)
		fmt.Fprintf(sum, "%q|%d|%d|%d|%x|", configuration.ConfigName, configuration.Version, configuration.Epoch, configuration.Seq, digest)
	}
	m.hash = int64(binary.BigEndian.Uint64(sum.Sum(nil)))
}

func (m *Machine) configNames() []string {
	return slices.Sorted(maps.Keys(m.configurations))
}

func (m *Machine) all() []message.StoredConfiguration {
	list := []message.StoredConfiguration{}
	for _, configName := range m.configNames() {
		list = append(list, m.configurations[configName]...)
	}
	return list
}

func (m *Machine) position() position { return position{m.epoch, m.seq, m.hash} }

// Snapshot is the whole state, as a slot of the disk holds it.
func (m *Machine) Snapshot() []byte { return m.snapshot() }

func (m *Machine) snapshot() []byte {
	state := message.ConfigStoreState{Voter: m.quorum.State, Votes: m.leases.Votes(), Epoch: m.epoch, Seq: m.seq, Configurations: m.all(),
		History: m.history.entries, Seen: m.membership.Seen()}
	body, err := message.Encode(state)
	if err != nil {
		panic("configstore: snapshot: " + err.Error())
	}
	return body
}

// StateForGrant and AbsorbGrants, with the core's methods, make it a quorum.Host.
func (m *Machine) StateForGrant() []byte { return m.snapshot() }

// AbsorbGrants takes the highest position that the two others hold.
func (m *Machine) AbsorbGrants(s *statemachine.Env, states [][]byte) {
	for _, body := range states {
		decoded, err := message.Decode(body)
		state, isState := decoded.(message.ConfigStoreState)
		if err != nil || !isState {
			continue
		}
		m.leases.Restore(state.Votes)
		if m.position().before(position{state.Epoch, state.Seq, 0}) {
			m.absorb(state)
		}
	}
	m.synced = m.position()
}

// Forget drops what rested on a voter that is another's now.
func (m *Machine) Forget(s *statemachine.Env) {
	m.leases.Forget(s)
	m.term, m.mode, m.reads, m.acks = 0, idle, nil, nil
	m.absorb(message.ConfigStoreState{})
	m.synced = m.position()
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

func (m *Machine) took(s *statemachine.Env, _ string, epoch int64) {
	m.term, m.mode, m.sentAt = epoch, reading, 0
	m.followers = map[string]message.LogAppended{}
	at := m.position()
	m.reads = map[string]message.LogPositionResponse{m.quorum.Voter: {Epoch: epoch, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity,
		AtEpoch: at.epoch, AtSeq: at.seq, Hash: at.hash}}
	m.inFlight = nil
	m.step(s)
}

func (m *Machine) lost(s *statemachine.Env, _ string, _ int64) {
	m.mode = idle
	if m.inFlight != nil {
		m.tell(s, m.asker.from, message.StoreResponse{RequestID: m.asker.write.RequestID, Code: int64(errcode.ConfigurationUnsure), Detail: "the lease was lost midway"})
		m.inFlight = nil
	}
	for _, waiting := range m.writes {
		m.tell(s, waiting.from, message.StoreResponse{RequestID: waiting.write.RequestID, Code: int64(errcode.ConfigurationNoHolder)})
	}
	for _, waiting := range m.answers {
		m.tell(s, waiting.from, message.StoreResponse{RequestID: waiting.requestID, Code: int64(errcode.ConfigurationNoHolder)})
	}
	m.writes, m.answers = nil, nil
}

func (m *Machine) tell(s *statemachine.Env, to string, response message.StoreResponse) {
	if response.Faults == nil {
		response.Faults = []string{}
	}
	if response.Body == nil {
		response.Body = []byte{}
	}
	if response.Versions == nil {
		response.Versions = []int64{}
	}
	if response.ConfigNames == nil {
		response.ConfigNames = []string{}
	}
	s.Send(to, response)
}

// Tick is one step of the clock.
func (m *Machine) Tick(s *statemachine.Env) {
	m.membership.Tick(s)
	m.quorum.Tick(s)
	m.Keep(s, m.quorum.ShutOut)
	m.leases.Tick(s)
	m.distribution.Tick(s)
	m.step(s)
	if m.mode == serving && m.leases.Holding(settings.ConfigLogTag, s.Now) {
		for _, configName := range m.configNames() {
			m.distribution.Fresh(distribution.ConfigurationTopic(configName), s.Now)
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

func (m *Machine) sendInFlight(s *statemachine.Env) {
	m.sentAt = s.Now
	for _, peer := range m.Peers() {
		if !m.quorum.Holds(peer.Voter, m.acks[peer.Voter]) {
			s.Send(peer.Address, message.LogAppend{Epoch: m.term, Seq: m.inFlight.Seq, Voter: m.quorum.Voter, Identity: m.quorum.Signature(), Configuration: *m.inFlight})
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
		return m.quorum.Voting() && m.quorum.Holds(voter, identity) && inEpoch && m.Failure() == nil
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
			s.Send(from, message.LogSnapshot{Epoch: received.Epoch, Voter: m.quorum.Voter, AtEpoch: m.epoch, AtSeq: m.seq, Configurations: m.all(), History: m.history.entries})
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

func (m *Machine) notServing() errcode.Code {
	if m.mode != idle {
		return errcode.ConfigurationBehind
	}
	return errcode.ConfigurationNoHolder
}

// chooseSource: with a majority read, the highest position is the configuration log.
func (m *Machine) chooseSource(s *statemachine.Env) {
	acks := map[string]string{}
	for voter, response := range m.reads {
		acks[voter] = response.Identity
	}
	if !m.quorum.Majority(acks) && !guardsOff.majorityRead {
		return
	}
	best := m.reads[m.quorum.Voter]
	for _, voter := range m.quorum.VoterNames() {
		response, read := m.reads[voter]
		if read && !guardsOff.highestPosition && m.quorum.Holds(voter, response.Identity) && (position{best.AtEpoch, best.AtSeq, 0}).before(position{response.AtEpoch, response.AtSeq, 0}) {
			best = response
		}
	}
	m.source = best
	m.sentAt = 0
	if best.Voter == m.quorum.Voter {
		m.adopt(s)
		return
	}
	m.mode = pulling
	m.step(s)
}

// adopt settles the whole configuration log again under this term.
func (m *Machine) adopt(s *statemachine.Env) {
	at := m.position()
	m.adoption = message.LogRecommit{Epoch: m.term, Voter: m.quorum.Voter, Identity: m.quorum.Signature(), AtEpoch: at.epoch, AtSeq: at.seq, Hash: at.hash}
	m.mode, m.acks, m.sentAt = adopting, map[string]string{}, 0
	m.epoch, m.seq = m.term, 0
	term, reached := m.term, m.position()
	m.CompactNow(s, func(s *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if m.term == term {
			m.handleCommitted(s, message.LogAppended{Epoch: term, Seq: 0, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity})
		}
	})
	m.step(s)
}

func (m *Machine) handleAdopt(s *statemachine.Env, from string, adopt message.LogRecommit) {
	at := m.position()
	switch {
	case m.missed(adopt):
		m.pull(s, from)
	case m.epoch == adopt.Epoch:
		m.confirm(s, from)
	case at == position{adopt.AtEpoch, adopt.AtSeq, adopt.Hash}:
		m.epoch, m.seq = adopt.Epoch, 0
		reached := m.position()
		m.Persist(s, adopt, func(s *statemachine.Env, failure error) {
			if failure == nil {
				m.synced = reached
				m.confirm(s, from)
			}
		})
	default:
		m.pull(s, from)
	}
}

// confirm says what this voter has synced.
func (m *Machine) confirm(s *statemachine.Env, to string) {
	if m.synced.epoch == m.leases.Epoch(settings.ConfigLogTag) {
		s.Send(to, message.LogAppended{Epoch: m.synced.epoch, Seq: m.synced.seq, Voter: m.quorum.Voter, Identity: m.quorum.Signature()})
	}
}

func (m *Machine) pull(s *statemachine.Env, from string) {
	if s.Now < m.pullAt {
		return
	}
	m.pullAt = s.Now + m.settings.DigestEvery()/2
	s.Event("config-log-pull", 0, m.epoch, "behind the holder")
	s.Send(from, message.LogSnapshotRequest{Epoch: m.leases.Epoch(settings.ConfigLogTag), Voter: m.quorum.Voter, Identity: m.quorum.Signature()})
}

func (m *Machine) handleSnapshot(s *statemachine.Env, from string, snapshot message.LogSnapshot) {
	response := position{snapshot.AtEpoch, snapshot.AtSeq, 0}
	if snapshot.Epoch != m.leases.Epoch(settings.ConfigLogTag) || m.mode == adopting || m.mode == serving || !m.position().before(response) {
		return
	}
	if m.mode == pulling && snapshot.Voter != m.source.Voter || m.mode == reading {
		return
	}
	m.absorb(message.ConfigStoreState{Epoch: snapshot.AtEpoch, Seq: snapshot.AtSeq, Configurations: snapshot.Configurations, History: snapshot.History})
	reached := m.position()
	asHolder, term := m.mode == pulling, m.term
	m.CompactNow(s, func(s *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if asHolder && m.mode == pulling && m.term == term {
			m.adopt(s)
		} else if !asHolder {
			m.confirm(s, from)
		}
	})
}

func (m *Machine) handleCommit(s *statemachine.Env, from string, commit message.LogAppend) {
	switch {
	case m.epoch == commit.Epoch && m.seq >= commit.Seq:
		m.confirm(s, from)
	case m.epoch == commit.Epoch && (m.seq == commit.Seq-1 || guardsOff.appendInOrder):
		m.seq = commit.Seq
		m.keep(commit.Configuration)
		reached := m.position()
		if guardsOff.syncedAppend {
			m.synced = reached
			m.confirm(s, from)
		}
		m.Persist(s, commit, func(s *statemachine.Env, failure error) {
			if failure == nil {
				m.synced = reached
				m.confirm(s, from)
			}
		})
	default:
		m.pull(s, from)
	}
}

func (m *Machine) handleCommitted(s *statemachine.Env, committed message.LogAppended) {
	if committed.Epoch != m.term {
		return
	}
	m.noteFollower(committed)
	switch {
	case m.mode == adopting:
		m.acks[committed.Voter] = committed.Identity
		if m.quorum.Majority(m.acks) || guardsOff.recommit {
			m.mode = serving
			s.Event("config-log-serving", 0, m.term, fmt.Sprintf("after (%d,%d) of %s", m.source.AtEpoch, m.source.AtSeq, m.source.Voter))
			for _, configName := range m.configNames() {
				m.publish(s, configName)
			}
		}
	case m.mode == serving && m.inFlight != nil && committed.Seq >= m.inFlight.Seq:
		m.acks[committed.Voter] = committed.Identity
		if m.quorum.Majority(m.acks) || guardsOff.majorityCommit {
			done := *m.inFlight
			m.inFlight = nil
			s.Event("configuration-settled", 0, m.term, fmt.Sprintf("%s %d", done.ConfigName, done.Version))
			m.publish(s, done.ConfigName)
			m.tell(s, m.asker.from, message.StoreResponse{RequestID: m.asker.write.RequestID, ConfigName: done.ConfigName, Version: done.Version})
			m.nextWrite(s)
		}
	}
}

func (m *Machine) publish(s *statemachine.Env, configName string) {
	if current, known := m.current(configName); known {
		m.distribution.WriteConfiguration(s, configName, current.Version, current.Body)
		m.distribution.Fresh(distribution.ConfigurationTopic(configName), s.Now)
	}
}

// current is the newest settled version.
func (m *Machine) current(configName string) (message.StoredConfiguration, bool) {
	list := m.committed(configName)
	if len(list) == 0 {
		return message.StoredConfiguration{}, false
	}
	return list[len(list)-1], true
}

func (m *Machine) committed(configName string) []message.StoredConfiguration {
	list := m.configurations[configName]
	if guardsOff.committedReads {
		return list
	}
	if m.inFlight != nil && m.inFlight.ConfigName == configName && len(list) > 0 && list[len(list)-1].Version == m.inFlight.Version {
		list = list[:len(list)-1]
	}
	return list
}

func (m *Machine) handleWrite(s *statemachine.Env, from string, write message.WriteRequest) {
	if m.mode != serving || !m.leases.Holding(settings.ConfigLogTag, s.Now) {
		m.tell(s, from, message.StoreResponse{RequestID: write.RequestID, Code: int64(m.notServing()), Holder: m.holderName()})
		return
	}
	if int64(len(m.writes)) >= m.settings.Limits.Queue {
		m.tell(s, from, message.StoreResponse{RequestID: write.RequestID, Code: int64(errcode.ConfigurationNoHolder), Detail: "too many puts pending"})
		return
	}
	m.writes = append(m.writes, queuedWrite{from, write, s.Now})
	m.nextWrite(s)
}

func (m *Machine) nextWrite(s *statemachine.Env) {
	for m.inFlight == nil && len(m.writes) > 0 {
		next := m.writes[0]
		m.writes = m.writes[1:]
		m.begin(s, next)
	}
}

// commit begins a write that is in order.
func (m *Machine) commit(s *statemachine.Env, next queuedWrite, write message.WriteRequest) {
	m.seq++
	configuration := message.StoredConfiguration{ConfigName: write.ConfigName, Version: write.Version, Epoch: m.term, Seq: m.seq, Body: write.Body}
	m.inFlight, m.asker, m.acks = &configuration, next, map[string]string{}
	m.keep(configuration)
	reached, term := m.position(), m.term
	record := message.LogAppend{Epoch: term, Seq: configuration.Seq, Voter: m.quorum.Voter, Identity: m.quorum.Signature(), Configuration: configuration}
	m.Persist(s, record, func(s *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if m.term == term {
			m.handleCommitted(s, message.LogAppended{Epoch: term, Seq: configuration.Seq, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity})
		}
	})
	m.sendInFlight(s)
}

// answerLater keeps an answer back until it is sure that no other voter held the lease
// when the request came.
func (m *Machine) answerLater(s *statemachine.Env, answer unconfirmedAnswer) {
	m.answers = append(m.answers, answer)
	if !m.leases.Confirmed(settings.ConfigLogTag, answer.at) {
		m.leases.RenewNow(settings.ConfigLogTag, s)
	}
	m.answerConfirmed(s)
}

// answerConfirmed gives the answers behind which a renewal has been confirmed.
func (m *Machine) answerConfirmed(s *statemachine.Env) {
	if m.mode != serving {
		return
	}
	waiting := []unconfirmedAnswer{}
	for _, answer := range m.answers {
		if !m.leases.Confirmed(settings.ConfigLogTag, answer.at) && !guardsOff.confirmedAnswers {
			waiting = append(waiting, answer)
			continue
		}
		m.tell(s, answer.from, answer.response())
	}
	m.answers = waiting
}

func (m *Machine) read(get message.ReadRequest) message.StoreResponse {
	response := message.StoreResponse{RequestID: get.RequestID, ConfigName: get.ConfigName, ConfigNames: m.configNames()}
	list := m.committed(get.ConfigName)
	for _, held := range list {
		response.Versions = append(response.Versions, held.Version)
	}
	if get.List {
		return response
	}
	for index := len(list) - 1; index >= 0; index-- {
		if held := list[index]; get.Version == 0 || held.Version == get.Version {
			response.Version, response.Body = held.Version, held.Body
			return response
		}
	}
	response.Code = int64(errcode.ConfigurationNotFound)
	return response
}

// Stop is the polite end.
type Stop struct{}

// Asked takes the process's own questions.
func (m *Machine) Asked(s *statemachine.Env, requestID int64, question any) {
	if reseeded, isReseeded := question.(statemachine.Reseeded); isReseeded {
		m.membership.Reseed(reseeded.Seeds)
	}
	if _, isStop := question.(Stop); isStop {
		m.stopping = true
		m.leases.Yield(s)
		m.Depart(s, requestID, errcode.OK)
	}
}

// Serving is for tests and status.
func (m *Machine) Serving() bool { return m.mode == serving }

// VoterState is for tests and status: what this disk says of its voter.
func (m *Machine) VoterState() message.VoterState { return m.quorum.State }

// ForceRecover gives the other voters up and returns the snapshot to be written: an operator's
// deed on the stopped survivor of two lost disks.
func (m *Machine) ForceRecover() []byte {
	m.quorum.State = quorum.ForceRecover(m.quorum.State)
	m.leases.ForceRecover()
	return m.snapshot()
}
