// Package registry is the registry's machine: every registry holds all
// registrations of all zones, one of them keeps each zone's tag and alone
// acts on it. Heartbeats come from the proxies to every registry, so that whoever becomes
// holder has warm heartbeat times. The holder creates, confirms, changes, drains, signs
// off and expires; it syncs the change, then broadcasts it. The others follow the
// broadcasts, measure their drift by digests, and pull the whole set by themselves
// when they differ or join. It also takes the outside calls for both programs.
package registry

import (
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

// Group is the name of the registries' voters as a group.
const Group = "registry"

type heartbeatSeen struct {
	heartbeat message.Heartbeat
	at        time.Duration
	from      string
}

type ended struct {
	incarnation int64
	at          time.Duration
}

type proxySeen struct {
	batch message.HeartbeatBatch
	at    time.Duration
}

// Machine is the registry's control state.
type Machine struct {
	*quorum.Core
	settings     settings.Settings
	membership   *membership.Membership
	quorum       *quorum.Quorum
	leases       *lease.Leases
	distribution *distribution.Distribution
	usage        *usage
	outside      *outside

	slices   map[string]*distribution.Slice
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
	m := &Machine{settings: cfg, slices: map[string]*distribution.Slice{}, seen: map[string]heartbeatSeen{}, ended: map[string]ended{},
		proxies: map[string]proxySeen{}, writing: map[string]bool{}, probedAt: map[string]time.Duration{}, takenAt: map[string]time.Duration{},
		whole: map[string]bool{}, unwhole: map[string]map[string]bool{}, checks: map[int64]time.Duration{}, pullAt: map[string]time.Duration{}}
	kept := message.RegistryState{}
	if snapshot != nil {
		decoded, err := message.Decode(snapshot)
		state, isState := decoded.(message.RegistryState)
		if err != nil || !isState {
			return nil, corrupt(err)
		}
		kept = state
	}
	for _, zone := range cfg.Zones {
		m.slices[zone] = distribution.NewSlice(distribution.SliceTopic(zone))
	}
	for _, slice := range kept.Slices {
		if held, known := m.slices[slice.Tag]; known {
			held.Replace(slice.Mark, slice.Registrations)
		}
	}
	m.membership = membership.New(cfg, self, kept.Seen)
	m.distribution = distribution.New(cfg, m.membership, func(s *statemachine.Env, topic string) {})
	for _, configName := range cfg.ConfigNames {
		m.distribution.Want(distribution.ConfigurationTopic(configName))
	}
	for _, zone := range cfg.Zones {
		m.distribution.ShareSlice(m.slices[zone])
	}
	m.Core = quorum.NewCore(cfg, message.RoleRegistry, m.membership, m.snapshot, snapshot == nil)
	m.usage = newUsage(m, kept.Sealed, kept.Reported)
	m.usage.regain(kept.Usage)
	m.outside = newOutside(m)
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
		case message.RosterChange:
			if slice, known := m.slices[tagOf(held.Mark.Topic)]; known {
				slice.Change(held.Mark.Epoch, held.Registration, held.Gone, held.Cause)
			}
		case message.SeenState:
			m.membership.Remember(held.Addresses)
		case message.UsageSealed:
			m.usage.restore(held)
		case message.UsageHeld:
			m.usage.regain(held)
		case message.UsageReported:
			m.usage.reported = max(m.usage.reported, held.Window)
		}
	}
	m.quorum = quorum.NewQuorum(Group, cfg, m, kept.Voter, func(s *statemachine.Env, fresh bool) { m.leases.BeginVoting(s, fresh) })
	m.UseVoters(m.quorum)
	tags := append(append([]string{}, cfg.Zones...), settings.UsageTag)
	m.leases = lease.NewLeases(cfg, m, m.quorum, tags, votes, m.fit, m.took, m.lost)
	return m, nil
}

func corrupt(err error) error {
	return errcode.Wrap("registry.restore", errcode.DiskCorrupt, fmt.Errorf("unreadable record: %v", err))
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
		Sealed: m.usage.list(), Reported: m.usage.reported, Seen: m.membership.Seen(), Usage: m.usage.held()}
	for _, zone := range m.settings.Zones {
		slice := m.slices[zone]
		state.Slices = append(state.Slices, message.RosterSnapshot{Tag: zone, Mark: slice.Mark, Registrations: slice.List()})
	}
	body, err := message.Encode(state)
	if err != nil {
		panic("registry: snapshot: " + err.Error())
	}
	return body
}

// StateForGrant and AbsorbGrants, with the core's methods, make it a quorum.Host.
func (m *Machine) StateForGrant() []byte { return m.snapshot() }

// AbsorbGrants takes what the granters of this voter know.
func (m *Machine) AbsorbGrants(s *statemachine.Env, states [][]byte) {
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
			if held, known := m.slices[snapshot.Tag]; known && held.Mark.Before(snapshot.Mark) {
				held.Replace(snapshot.Mark, snapshot.Registrations)
			}
		}
	}
}

// Forget drops what rested on a voter that is another's now; the roster stays, as updates.
func (m *Machine) Forget(s *statemachine.Env) {
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
	m.slices[tag].Adopt(epoch)
	m.distribution.SliceMoved(s, distribution.SliceTopic(tag))
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
	m.Keep(s, m.quorum.ShutOut)
	m.leases.Tick(s)
	m.distribution.Tick(s)
	m.outside.tick(s)
	m.usage.tick(s)
	for _, tag := range m.settings.Zones {
		if m.keeps(s, tag) {
			m.distribution.Fresh(distribution.SliceTopic(tag), s.Now)
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
		m.CompactNow(s, func(*statemachine.Env, error) {})
	}
}

// check asks the holders for their digests and, before this node is whole, for sets.
func (m *Machine) check(s *statemachine.Env) {
	m.round++
	m.checks[m.round] = s.Now
	delete(m.checks, m.round-64)
	for _, tag := range m.settings.Zones {
		if m.keeps(s, tag) {
			m.whole[tag] = true
			continue
		}
		for _, peer := range m.Peers() {
			if !m.whole[tag] {
				s.Send(peer.Address, message.RosterPull{Tag: tag, Voter: m.quorum.Voter})
			} else {
				s.Send(peer.Address, message.RosterCheck{Tag: tag, Round: m.round, Voter: m.quorum.Voter, Mark: m.slices[tag].Mark})
			}
		}
		if !m.whole[tag] && (len(m.unwhole[tag]) >= m.quorum.Size()-1 || s.Now-m.bootAt > m.settings.TakeOver()) {
			m.whole[tag] = true
		}
	}
}

// sweep is what a holder does in a steady rhythm.
func (m *Machine) sweep(s *statemachine.Env) {
	for _, key := range slices.Sorted(maps.Keys(m.seen)) {
		seen := m.seen[key]
		if s.Now-seen.at > m.settings.HeartbeatBound()*4 {
			delete(m.seen, key)
			continue
		}
		m.consider(s, key)
	}
	for _, key := range slices.Sorted(maps.Keys(m.ended)) {
		if s.Now-m.ended[key].at > m.settings.HeartbeatBound()*10 {
			delete(m.ended, key)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.proxies)) {
		if s.Now-m.proxies[name].at > m.settings.ForgetAfter() {
			delete(m.proxies, name)
		}
	}
	for _, tag := range m.settings.Zones {
		if !m.keeps(s, tag) {
			continue
		}
		for _, registration := range m.slices[tag].List() {
			key := registration.Key()
			if gone, signed := m.ended[key]; signed && registration.Incarnation <= gone.incarnation {
				m.change(s, tag, registration, true, "signed off")
				continue
			}
			seen, beaten := m.seen[key]
			silent := s.Now - m.takenAt[tag]
			if beaten {
				silent = min(silent, s.Now-seen.at)
			}
			switch {
			case silent > m.settings.HeartbeatBound():
				m.change(s, tag, registration, true, "heartbeats stopped")
			case silent > m.settings.HeartbeatBound()/2 || registration.State == message.StateCreated:
				m.requestProbe(s, tag, registration)
			}
		}
	}
}

func (m *Machine) requestProbe(s *statemachine.Env, tag string, registration message.Registration) {
	if at, asked := m.probedAt[registration.Key()]; asked && s.Now-at < m.settings.HeartbeatEvery()*2 {
		return
	}
	m.probedAt[registration.Key()] = s.Now
	s.Send(registration.ServingProxyAddress, message.ProbeRequest{Tag: tag, Epoch: m.slices[tag].Mark.Epoch, Service: registration.Service,
		Instance: registration.Instance, Incarnation: registration.Incarnation})
}

// consider holds the newest heartbeat of an upstream against the roster.
func (m *Machine) consider(s *statemachine.Env, key string) {
	seen := m.seen[key]
	response := seen.heartbeat.Registration
	if gone, signed := m.ended[key]; signed && response.Incarnation <= gone.incarnation {
		return
	}
	if s.Now-seen.at > m.settings.HeartbeatBound() {
		return
	}
	for _, tag := range m.settings.Zones {
		if !m.keeps(s, tag) {
			continue
		}
		held, registered := m.slices[tag].Registrations[key]
		if registered && tag != response.Zone && response.Incarnation >= held.Incarnation {
			m.change(s, tag, held, true, "moved to "+response.Zone)
		}
		for _, other := range m.slices[tag].List() {
			if other.Address != response.Address || other.Key() == key {
				continue
			}
			if otherSeen, beaten := m.seen[other.Key()]; !beaten || otherSeen.at < seen.at {
				m.change(s, tag, other, true, "address taken by "+key)
			}
		}
		if tag != response.Zone {
			continue
		}
		if registered && held.Incarnation > response.Incarnation {
			continue
		}
		fresh := !registered || held.Incarnation < response.Incarnation
		wanted := response
		switch {
		case !fresh && held.State == message.StateLeaving:
			wanted.State = message.StateLeaving
		case response.State == message.StateLeaving:
		case seen.heartbeat.Probed != 1 && (fresh || held.State == message.StateCreated):
			wanted.State = message.StateCreated
		}
		if !registered || held != wanted {
			m.change(s, tag, wanted, false, causeOf(registered, held, wanted))
			if wanted.State == message.StateCreated {
				m.requestProbe(s, tag, wanted)
			}
		}
	}
}

func causeOf(registered bool, held, wanted message.Registration) string {
	switch {
	case !registered:
		return "created"
	case held.Incarnation != wanted.Incarnation:
		return "new incarnation"
	case held.State != wanted.State && wanted.State == message.StateLeaving:
		return "drain"
	case held.State != wanted.State:
		return wanted.State
	case held.ServingProxy != wanted.ServingProxy:
		return "new home"
	}
	return "changed"
}

// change syncs first, then takes effect, then is broadcast.
func (m *Machine) change(s *statemachine.Env, tag string, registration message.Registration, gone bool, cause string) {
	key := registration.Key()
	if m.writing[key] || m.Failure() != nil {
		return
	}
	epoch := m.leases.Epoch(tag)
	m.writing[key] = true
	record := message.RosterChange{Mark: message.Mark{Topic: distribution.SliceTopic(tag), Epoch: epoch}, Registration: registration, Gone: gone, Cause: cause}
	m.Persist(s, record, func(s *statemachine.Env, failure error) {
		delete(m.writing, key)
		if failure != nil || !m.keeps(s, tag) || m.leases.Epoch(tag) != epoch {
			return
		}
		change := m.slices[tag].Change(epoch, registration, gone, cause)
		s.Event("roster-change", 0, epoch, tag+" "+key+": "+cause)
		for _, peer := range m.Peers() {
			s.Send(peer.Address, change)
		}
		m.distribution.SliceMoved(s, distribution.SliceTopic(tag))
	})
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
		m.distribution.WriteConfiguration(s, received.ConfigName, received.Version, received.Body)
	case message.UsageUpdate:
		m.usage.count(s, received)
	case message.RosterChange:
		m.handleChange(s, from, received)
	case message.RosterCheck:
		if slice, known := m.slices[received.Tag]; known && m.keeps(s, received.Tag) {
			s.Send(from, message.RosterDigest{Tag: received.Tag, Round: received.Round, Voter: m.quorum.Voter, Mark: slice.Mark})
		}
	case message.RosterDigest:
		m.handleDigest(s, from, received)
	case message.RosterPull:
		if slice, known := m.slices[received.Tag]; known {
			s.Send(from, message.RosterSnapshot{Tag: received.Tag, Voter: m.quorum.Voter, Whole: m.whole[received.Tag],
				Holder: m.keeps(s, received.Tag), Mark: slice.Mark, Registrations: slice.List()})
		}
	case message.RosterSnapshot:
		m.handleSnapshot(s, received)
	}
}

func (m *Machine) handleHeartbeats(s *statemachine.Env, from string, batch message.HeartbeatBatch) {
	if last, known := m.proxies[batch.Proxy]; known && batch.Birth < last.batch.Birth {
		return
	}
	m.proxies[batch.Proxy] = proxySeen{batch, s.Now}
	s.Send(from, message.HeartbeatResponse{Registry: m.membership.Self().Name, Sealed: m.usage.sealedBelow(),
		Newer: m.distribution.NewerThan(batch.Marks)})
	for _, end := range batch.Ends {
		key := end.Service + "/" + end.Instance
		if known, signed := m.ended[key]; !signed || known.incarnation < end.Incarnation {
			m.ended[key] = ended{end.Incarnation, s.Now}
		}
	}
	for _, heartbeat := range batch.Heartbeats {
		key, at := heartbeat.Registration.Key(), s.Now-time.Duration(heartbeat.Age)
		last, known := m.seen[key]
		if known && (heartbeat.Registration.Incarnation < last.heartbeat.Registration.Incarnation ||
			heartbeat.Registration.Incarnation == last.heartbeat.Registration.Incarnation && at < last.at && last.from != batch.Proxy) {
			continue
		}
		m.seen[key] = heartbeatSeen{heartbeat, at, batch.Proxy}
		m.consider(s, key)
	}
	for _, mark := range batch.Marks {
		if slice, known := m.slices[tagOf(mark.Topic)]; known && !distribution.IsConfiguration(mark.Topic) && slice.Mark.Before(mark) {
			m.pull(s, tagOf(mark.Topic), "a proxy is ahead")
		}
	}
}

func (m *Machine) handleChange(s *statemachine.Env, from string, change message.RosterChange) {
	tag := tagOf(change.Mark.Topic)
	slice, known := m.slices[tag]
	if !known || change.Mark.Epoch < m.leases.Epoch(tag) || change.Mark.Epoch < slice.Mark.Epoch || m.keeps(s, tag) {
		return
	}
	if !slice.Follow(change) {
		if slice.Mark.Before(change.Mark) || !slice.Mark.Same(change.Mark) && slice.Mark.Epoch == change.Mark.Epoch && slice.Mark.Seq == change.Mark.Seq {
			m.pull(s, tag, "gap in broadcasts")
		}
		return
	}
	m.Persist(s, change, func(*statemachine.Env, error) {})
	m.distribution.SliceMoved(s, change.Mark.Topic)
}

func (m *Machine) handleDigest(s *statemachine.Env, from string, response message.RosterDigest) {
	slice, known := m.slices[response.Tag]
	askedAt, ours := m.checks[response.Round]
	if !known || !ours || response.Mark.Epoch < m.leases.Epoch(response.Tag) || m.keeps(s, response.Tag) {
		return
	}
	if slice.Mark.Same(response.Mark) {
		m.distribution.Fresh(distribution.SliceTopic(response.Tag), askedAt)
		return
	}
	if guardsOff.driftDetection {
		return
	}
	m.pull(s, response.Tag, "digest differs")
}

// pull asks for a whole set, paced with jitter so that a busy holder is not flooded.
func (m *Machine) pull(s *statemachine.Env, tag, cause string) {
	if s.Now < m.pullAt[tag] {
		return
	}
	m.pullAt[tag] = s.Now + m.settings.DigestEvery()/2 + time.Duration(s.Random.Int64N(int64(m.settings.DigestEvery()/2)))
	s.Event("roster-pull", 0, m.slices[tag].Mark.Epoch, tag+": "+cause)
	for _, peer := range m.Peers() {
		s.Send(peer.Address, message.RosterPull{Tag: tag, Voter: m.quorum.Voter})
	}
}

func (m *Machine) handleSnapshot(s *statemachine.Env, snapshot message.RosterSnapshot) {
	slice, known := m.slices[snapshot.Tag]
	if !known || m.keeps(s, snapshot.Tag) {
		return
	}
	if !snapshot.Whole && !snapshot.Holder {
		if !m.whole[snapshot.Tag] && snapshot.Voter != "" {
			if m.unwhole[snapshot.Tag] == nil {
				m.unwhole[snapshot.Tag] = map[string]bool{}
			}
			m.unwhole[snapshot.Tag][snapshot.Voter] = true
		}
		return
	}
	sameHash := slice.Mark.Same(snapshot.Mark)
	if slice.Mark.Before(snapshot.Mark) || snapshot.Holder && snapshot.Mark.Epoch >= m.leases.Epoch(snapshot.Tag) && !sameHash {
		slice.Replace(snapshot.Mark, snapshot.Registrations)
		m.dirty = true
		m.distribution.SliceMoved(s, slice.Mark.Topic)
	}
	m.whole[snapshot.Tag] = true
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
	m.quorum.State = quorum.ForceRecover(m.quorum.State)
	m.leases.ForceRecover()
	return m.snapshot()
}
