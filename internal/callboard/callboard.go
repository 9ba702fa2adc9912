// Package callboard is the registry's machine: every callboard holds all
// registrations of all districts, one of them keeps each district's tag and alone
// acts on it. Beats come from the ushers to every callboard, so that whoever becomes
// keeper has warm beat times. The keeper creates, confirms, changes, drains, signs
// off and expires; it syncs the change, then broadcasts it. The others follow the
// broadcasts, measure their drift by digests, and pull the whole set by themselves
// when they differ or join. It also takes the outside calls for both programs.
package callboard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"beaconvane/internal/casting"
	"beaconvane/internal/chorus"
	"beaconvane/internal/company"
	"beaconvane/internal/cue"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// Group is the name of the callboards' seats as a group.
const Group = "callboard"

type beatSeen struct {
	beat script.Beat
	at   time.Duration
	from string
}

type ended struct {
	incarnation int64
	at          time.Duration
}

type usherSeen struct {
	batch script.BeatBatch
	at    time.Duration
}

// Machine is the callboard's control state.
type Machine struct {
	*casting.Core
	config  playbill.Config
	company *company.Company
	seating *casting.Seating
	tenures *casting.Tenures
	chorus  *chorus.Chorus
	usage   *usage
	outside *outside

	slices   map[string]*chorus.Slice
	seen     map[string]beatSeen
	ended    map[string]ended
	ushers   map[string]usherSeen
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
}

// New restores a machine from what its disk held.
func New(config playbill.Config, self script.Member, view []byte, records [][]byte) (*Machine, error) {
	m := &Machine{config: config, slices: map[string]*chorus.Slice{}, seen: map[string]beatSeen{}, ended: map[string]ended{},
		ushers: map[string]usherSeen{}, writing: map[string]bool{}, probedAt: map[string]time.Duration{}, takenAt: map[string]time.Duration{},
		whole: map[string]bool{}, unwhole: map[string]map[string]bool{}, checks: map[int64]time.Duration{}, pullAt: map[string]time.Duration{}}
	kept := script.CallboardState{}
	if view != nil {
		decoded, err := script.Decode(view)
		state, isState := decoded.(script.CallboardState)
		if err != nil || !isState {
			return nil, corrupt(err)
		}
		kept = state
	}
	for _, district := range config.Districts {
		m.slices[district] = chorus.NewSlice(chorus.SliceTopic(district))
	}
	for _, slice := range kept.Slices {
		if held, known := m.slices[slice.Tag]; known {
			held.Replace(slice.Mark, slice.Registrations)
		}
	}
	m.company = company.New(config, self, kept.Seen)
	m.chorus = chorus.New(config, m.company, func(s *cue.Stage, topic string) {})
	for _, sheet := range config.Sheets {
		m.chorus.Want(chorus.SheetTopic(sheet))
	}
	for _, district := range config.Districts {
		m.chorus.ShareSlice(m.slices[district])
	}
	m.Core = casting.NewCore(config, script.RoleCallboard, m.company, m.view, view == nil)
	m.usage = newUsage(m, kept.Sealed, kept.Reported)
	m.usage.regain(kept.Usage)
	m.outside = newOutside(m)
	votes := kept.Votes
	for _, record := range records {
		decoded, err := script.Decode(record)
		if err != nil {
			return nil, corrupt(err)
		}
		switch held := decoded.(type) {
		case script.SeatState:
			kept.Seat = held
		case script.Vote:
			votes = append(votes, held)
		case script.RosterChange:
			if slice, known := m.slices[tagOf(held.Mark.Topic)]; known {
				slice.Change(held.Mark.Epoch, held.Registration, held.Gone, held.Cause)
			}
		case script.SeenState:
			m.company.Remember(held.Addresses)
		case script.UsageSealed:
			m.usage.restore(held)
		case script.UsageHeld:
			m.usage.regain(held)
		case script.UsageReported:
			m.usage.reported = max(m.usage.reported, held.Window)
		}
	}
	m.seating = casting.NewSeating(Group, config, m, kept.Seat, func(s *cue.Stage, fresh bool) { m.tenures.StandUp(s, fresh) })
	m.UseSeats(m.seating)
	tags := append(append([]string{}, config.Districts...), playbill.UsageTag)
	m.tenures = casting.NewTenures(config, m, m.seating, tags, votes, m.fit, m.took, m.lost)
	return m, nil
}

func corrupt(err error) error {
	return notice.Wrap("callboard.restore", notice.DiskCorrupt, fmt.Errorf("unreadable record: %v", err))
}

func tagOf(topic string) string {
	if len(topic) > 6 {
		return topic[6:]
	}
	return topic
}

func (m *Machine) view() []byte {
	state := script.CallboardState{Seat: m.seating.State, Votes: m.tenures.Votes(), Slices: []script.RosterView{},
		Sealed: m.usage.list(), Reported: m.usage.reported, Seen: m.company.Seen(), Usage: m.usage.held()}
	for _, district := range m.config.Districts {
		slice := m.slices[district]
		state.Slices = append(state.Slices, script.RosterView{Tag: district, Mark: slice.Mark, Registrations: slice.List()})
	}
	body, err := script.Encode(state)
	if err != nil {
		panic("callboard: view: " + err.Error())
	}
	return body
}

// StateForGrant and AbsorbGrants, with the core's methods, make it a casting.Host.
func (m *Machine) StateForGrant() []byte { return m.view() }

func (m *Machine) AbsorbGrants(s *cue.Stage, states [][]byte) {
	for _, body := range states {
		decoded, err := script.Decode(body)
		state, isState := decoded.(script.CallboardState)
		if err != nil || !isState {
			continue
		}
		m.tenures.Restore(state.Votes)
		for _, sealed := range state.Sealed {
			m.usage.restore(sealed)
		}
		m.usage.reported = max(m.usage.reported, state.Reported)
		for _, view := range state.Slices {
			if held, known := m.slices[view.Tag]; known && held.Mark.Before(view.Mark) {
				held.Replace(view.Mark, view.Registrations)
			}
		}
	}
}

// Forget drops what rested on a seat that is another's now; the roster stays, as news.
func (m *Machine) Forget(s *cue.Stage) {
	m.tenures.Forget(s)
	m.usage.forget()
}

func (m *Machine) fit(tag string) bool {
	if m.Failure() != nil || m.stopping || m.company.Superseded() {
		return false
	}
	return tag == playbill.UsageTag || m.whole[tag]
}

func (m *Machine) took(s *cue.Stage, tag string, epoch int64) {
	m.takenAt[tag] = s.Now
	if tag == playbill.UsageTag {
		m.usage.took(s, epoch)
		return
	}
	m.slices[tag].Adopt(epoch)
	m.chorus.SliceMoved(s, chorus.SliceTopic(tag))
	m.dirty = true
}

func (m *Machine) lost(s *cue.Stage, tag string, epoch int64) {
	if tag == playbill.UsageTag {
		m.usage.lost()
	}
}

// keeps says that this callboard acts for a district at this moment.
func (m *Machine) keeps(s *cue.Stage, tag string) bool {
	return m.tenures.Holding(tag, s.Now) && m.slices[tag].Mark.Epoch == m.tenures.Epoch(tag)
}

// Tick is one step of the clock.
func (m *Machine) Tick(s *cue.Stage) {
	if !m.booted {
		m.booted, m.bootAt = true, s.Now
	}
	m.company.Tick(s)
	m.seating.Tick(s)
	m.Keep(s, m.seating.ShutOut)
	m.tenures.Tick(s)
	m.chorus.Tick(s)
	m.outside.tick(s)
	m.usage.tick(s)
	for _, tag := range m.config.Districts {
		if m.keeps(s, tag) {
			m.chorus.Fresh(chorus.SliceTopic(tag), s.Now)
		}
	}
	if s.Now >= m.checkAt {
		m.checkAt = s.Now + m.config.DigestEvery()
		m.check(s)
		m.sweep(s)
	}
	if m.dirty && s.Now >= m.seenAt {
		// Backups fold what they pulled into a slot, at a gentle pace.
		m.dirty, m.seenAt = false, s.Now+m.config.KeeperRest()
		m.CompactNow(s, func(*cue.Stage, error) {})
	}
}

// check asks the keepers for their digests and, before this node is whole, for sets.
func (m *Machine) check(s *cue.Stage) {
	m.round++
	m.checks[m.round] = s.Now
	delete(m.checks, m.round-64)
	for _, tag := range m.config.Districts {
		if m.keeps(s, tag) {
			m.whole[tag] = true
			continue
		}
		for _, peer := range m.Peers() {
			if !m.whole[tag] {
				s.Send(peer.Address, script.RosterPull{Tag: tag, Seat: m.seating.Seat})
			} else {
				s.Send(peer.Address, script.RosterCheck{Tag: tag, Round: m.round, Seat: m.seating.Seat, Mark: m.slices[tag].Mark})
			}
		}
		if !m.whole[tag] && (len(m.unwhole[tag]) >= len(m.config.Seats)-1 || s.Now-m.bootAt > m.config.TakeOver()) {
			m.whole[tag] = true
		}
	}
}

// sweep is what a keeper does in a steady rhythm.
func (m *Machine) sweep(s *cue.Stage) {
	for _, key := range slices.Sorted(maps.Keys(m.seen)) {
		seen := m.seen[key]
		if s.Now-seen.at > m.config.BeatBound()*4 {
			delete(m.seen, key)
			continue
		}
		m.consider(s, key)
	}
	for _, key := range slices.Sorted(maps.Keys(m.ended)) {
		if s.Now-m.ended[key].at > m.config.BeatBound()*10 {
			delete(m.ended, key)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.ushers)) {
		if s.Now-m.ushers[name].at > m.config.ForgetAfter() {
			delete(m.ushers, name)
		}
	}
	for _, tag := range m.config.Districts {
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
			case silent > m.config.BeatBound():
				m.change(s, tag, registration, true, "beats stopped")
			case silent > m.config.BeatBound()/2 || registration.State == script.StateCreated:
				m.askProbe(s, tag, registration)
			}
		}
	}
}

func (m *Machine) askProbe(s *cue.Stage, tag string, registration script.Registration) {
	if at, asked := m.probedAt[registration.Key()]; asked && s.Now-at < m.config.BeatEvery()*2 {
		return
	}
	m.probedAt[registration.Key()] = s.Now
	s.Send(registration.HomeAddress, script.ProbeAsk{Tag: tag, Epoch: m.slices[tag].Mark.Epoch, Service: registration.Service,
		Instance: registration.Instance, Incarnation: registration.Incarnation})
}

// consider holds the newest beat of an upstream against the roster.
func (m *Machine) consider(s *cue.Stage, key string) {
	seen := m.seen[key]
	told := seen.beat.Registration
	if gone, signed := m.ended[key]; signed && told.Incarnation <= gone.incarnation {
		return
	}
	if s.Now-seen.at > m.config.BeatBound() {
		return
	}
	for _, tag := range m.config.Districts {
		if !m.keeps(s, tag) {
			continue
		}
		held, registered := m.slices[tag].Registrations[key]
		if registered && tag != told.District && told.Incarnation >= held.Incarnation {
			m.change(s, tag, held, true, "moved to "+told.District)
		}
		for _, other := range m.slices[tag].List() {
			if other.Address != told.Address || other.Key() == key {
				continue
			}
			if otherSeen, beaten := m.seen[other.Key()]; !beaten || otherSeen.at < seen.at {
				m.change(s, tag, other, true, "address taken by "+key)
			}
		}
		if tag != told.District {
			continue
		}
		if registered && held.Incarnation > told.Incarnation {
			continue
		}
		fresh := !registered || held.Incarnation < told.Incarnation
		wanted := told
		switch {
		case !fresh && held.State == script.StateLeaving:
			wanted.State = script.StateLeaving
		case told.State == script.StateLeaving:
		case seen.beat.Probed != 1 && (fresh || held.State == script.StateCreated):
			wanted.State = script.StateCreated
		}
		if !registered || held != wanted {
			m.change(s, tag, wanted, false, causeOf(registered, held, wanted))
			if wanted.State == script.StateCreated {
				m.askProbe(s, tag, wanted)
			}
		}
	}
}

func causeOf(registered bool, held, wanted script.Registration) string {
	switch {
	case !registered:
		return "created"
	case held.Incarnation != wanted.Incarnation:
		return "new incarnation"
	case held.State != wanted.State && wanted.State == script.StateLeaving:
		return "drain"
	case held.State != wanted.State:
		return wanted.State
	case held.Home != wanted.Home:
		return "new home"
	}
	return "changed"
}

// change syncs first, then takes effect, then is broadcast.
func (m *Machine) change(s *cue.Stage, tag string, registration script.Registration, gone bool, cause string) {
	key := registration.Key()
	if m.writing[key] || m.Failure() != nil {
		return
	}
	epoch := m.tenures.Epoch(tag)
	m.writing[key] = true
	record := script.RosterChange{Mark: script.Mark{Topic: chorus.SliceTopic(tag), Epoch: epoch}, Registration: registration, Gone: gone, Cause: cause}
	m.Persist(s, record, func(s *cue.Stage, failure error) {
		delete(m.writing, key)
		if failure != nil || !m.keeps(s, tag) || m.tenures.Epoch(tag) != epoch {
			return
		}
		change := m.slices[tag].Change(epoch, registration, gone, cause)
		s.Note("roster-change", 0, epoch, tag+" "+key+": "+cause)
		for _, peer := range m.Peers() {
			s.Send(peer.Address, change)
		}
		m.chorus.SliceMoved(s, chorus.SliceTopic(tag))
	})
}

// Hear takes a message from another process.
func (m *Machine) Hear(s *cue.Stage, from string, message any) {
	if m.company.Hear(s, from, message) || m.seating.Hear(s, from, message) || m.tenures.Hear(s, from, message) ||
		m.chorus.Hear(s, from, message) || m.usage.hear(s, from, message) || m.outside.hear(s, message) {
		return
	}
	switch heard := message.(type) {
	case script.BeatBatch:
		m.hearBeats(s, from, heard)
	case script.SheetSettled:
		m.chorus.PutSheet(s, heard.Sheet, heard.Version, heard.Body)
	case script.UsageTold:
		m.usage.count(s, heard)
	case script.RosterChange:
		m.hearChange(s, from, heard)
	case script.RosterCheck:
		if slice, known := m.slices[heard.Tag]; known && m.keeps(s, heard.Tag) {
			s.Send(from, script.RosterDigest{Tag: heard.Tag, Round: heard.Round, Seat: m.seating.Seat, Mark: slice.Mark})
		}
	case script.RosterDigest:
		m.hearDigest(s, from, heard)
	case script.RosterPull:
		if slice, known := m.slices[heard.Tag]; known {
			s.Send(from, script.RosterView{Tag: heard.Tag, Seat: m.seating.Seat, Whole: m.whole[heard.Tag],
				Keeper: m.keeps(s, heard.Tag), Mark: slice.Mark, Registrations: slice.List()})
		}
	case script.RosterView:
		m.hearView(s, heard)
	}
}

func (m *Machine) hearBeats(s *cue.Stage, from string, batch script.BeatBatch) {
	if last, known := m.ushers[batch.Usher]; known && batch.Birth < last.batch.Birth {
		return
	}
	m.ushers[batch.Usher] = usherSeen{batch, s.Now}
	s.Send(from, script.BeatTold{Callboard: m.company.Self().Name, Sealed: m.usage.sealedBelow()})
	for _, end := range batch.Ends {
		key := end.Service + "/" + end.Instance
		if known, signed := m.ended[key]; !signed || known.incarnation < end.Incarnation {
			m.ended[key] = ended{end.Incarnation, s.Now}
		}
	}
	for _, beat := range batch.Beats {
		key, at := beat.Registration.Key(), s.Now-time.Duration(beat.Age)
		last, known := m.seen[key]
		if known && (beat.Registration.Incarnation < last.beat.Registration.Incarnation ||
			beat.Registration.Incarnation == last.beat.Registration.Incarnation && at < last.at && last.from != batch.Usher) {
			continue
		}
		m.seen[key] = beatSeen{beat, at, batch.Usher}
		m.consider(s, key)
	}
	for _, mark := range batch.Marks {
		if slice, known := m.slices[tagOf(mark.Topic)]; known && !chorus.IsSheet(mark.Topic) && slice.Mark.Before(mark) {
			m.pull(s, tagOf(mark.Topic), "a usher is ahead")
		}
	}
}

func (m *Machine) hearChange(s *cue.Stage, from string, change script.RosterChange) {
	tag := tagOf(change.Mark.Topic)
	slice, known := m.slices[tag]
	if !known || change.Mark.Epoch < m.tenures.Epoch(tag) || change.Mark.Epoch < slice.Mark.Epoch || m.keeps(s, tag) {
		return
	}
	if !slice.Follow(change) {
		if slice.Mark.Before(change.Mark) || !slice.Mark.Same(change.Mark) && slice.Mark.Epoch == change.Mark.Epoch && slice.Mark.Seq == change.Mark.Seq {
			m.pull(s, tag, "gap in broadcasts")
		}
		return
	}
	m.Persist(s, change, func(*cue.Stage, error) {})
	m.chorus.SliceMoved(s, change.Mark.Topic)
}

func (m *Machine) hearDigest(s *cue.Stage, from string, told script.RosterDigest) {
	slice, known := m.slices[told.Tag]
	askedAt, ours := m.checks[told.Round]
	if !known || !ours || told.Mark.Epoch < m.tenures.Epoch(told.Tag) || m.keeps(s, told.Tag) {
		return
	}
	if slice.Mark.Same(told.Mark) {
		m.chorus.Fresh(chorus.SliceTopic(told.Tag), askedAt)
		return
	}
	m.pull(s, told.Tag, "digest differs")
}

// pull asks for a whole set, paced with jitter so that a busy keeper is not flooded.
func (m *Machine) pull(s *cue.Stage, tag, cause string) {
	if s.Now < m.pullAt[tag] {
		return
	}
	m.pullAt[tag] = s.Now + m.config.DigestEvery()/2 + time.Duration(s.Dice.Int64N(int64(m.config.DigestEvery()/2)))
	s.Note("roster-pull", 0, m.slices[tag].Mark.Epoch, tag+": "+cause)
	for _, peer := range m.Peers() {
		s.Send(peer.Address, script.RosterPull{Tag: tag, Seat: m.seating.Seat})
	}
}

func (m *Machine) hearView(s *cue.Stage, view script.RosterView) {
	slice, known := m.slices[view.Tag]
	if !known || m.keeps(s, view.Tag) {
		return
	}
	if !view.Whole && !view.Keeper {
		if !m.whole[view.Tag] && view.Seat != "" {
			if m.unwhole[view.Tag] == nil {
				m.unwhole[view.Tag] = map[string]bool{}
			}
			m.unwhole[view.Tag][view.Seat] = true
		}
		return
	}
	sameHash := slice.Mark.Same(view.Mark)
	if slice.Mark.Before(view.Mark) || view.Keeper && view.Mark.Epoch >= m.tenures.Epoch(view.Tag) && !sameHash {
		slice.Replace(view.Mark, view.Registrations)
		m.dirty = true
		m.chorus.SliceMoved(s, slice.Mark.Topic)
	}
	m.whole[view.Tag] = true
}

// Forsake gives the other seats up and returns the view to be written: an operator's
// deed on the stopped survivor of two lost disks.
func (m *Machine) Forsake() []byte {
	m.seating.State = casting.Forsake(m.seating.State)
	m.tenures.Forsake()
	return m.view()
}
