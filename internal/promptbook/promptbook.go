// Package promptbook is the layout store's machine. One seat holds the book's tenure
// and orders all puts; a put is acknowledged when a majority of seats has synced it
// under the holder's epoch. A new holder reads a majority, takes the highest position,
// settles it again under its own epoch, and only then serves. Safety rests on epochs
// and synced writes: a seat that promised a higher epoch takes nothing of a lower one,
// and a read is answered only after a renewal that began behind it. The numbers of
// versions are the operators'; the order of settling is (epoch, sequence), the book's
// own.
package promptbook

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/blocking"
	"beaconvane/internal/casting"
	"beaconvane/internal/chorus"
	"beaconvane/internal/company"
	"beaconvane/internal/cue"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// Group is the name of the promptbooks' seats as a group.
const Group = "promptbook"

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

type pendingPut struct {
	from string
	put  script.BookPut
}

type pendingGet struct {
	from string
	get  script.BookGet
	at   time.Duration
}

// Machine is the promptbook's control state.
type Machine struct {
	*casting.Core
	config  playbill.Config
	company *company.Company
	seating *casting.Seating
	tenures *casting.Tenures
	chorus  *chorus.Chorus

	epoch   int64
	seq     int64
	synced  position
	layouts map[string][]script.KeptLayout

	mode     mode
	term     int64
	reads    map[string]script.BookReadTold
	source   script.BookReadTold
	acks     map[string]string
	inFlight *script.KeptLayout
	asker    pendingPut
	puts     []pendingPut
	gets     []pendingGet
	sentAt   time.Duration
	pullAt   time.Duration
	stopping bool
	adoption script.BookAdopt
}

// New restores a machine from what its disk held.
func New(config playbill.Config, self script.Member, view []byte, records [][]byte) (*Machine, error) {
	m := &Machine{config: config, layouts: map[string][]script.KeptLayout{}}
	kept := script.BookState{}
	corrupt := func(err error) error {
		return notice.Wrap("promptbook.restore", notice.DiskCorrupt, fmt.Errorf("unreadable record: %v", err))
	}
	if view != nil {
		decoded, err := script.Decode(view)
		state, isState := decoded.(script.BookState)
		if err != nil || !isState {
			return nil, corrupt(err)
		}
		kept = state
	}
	m.company = company.New(config, self, kept.Seen)
	m.absorb(kept)
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
		case script.SeenState:
			m.company.Remember(held.Addresses)
		case script.BookAdopt:
			m.epoch, m.seq = held.Epoch, 0
		case script.BookSettle:
			m.epoch, m.seq = held.Epoch, held.Seq
			m.keep(held.Layout)
		}
	}
	m.synced = m.position()
	m.chorus = chorus.New(config, m.company, func(*cue.Stage, string) {})
	m.Core = casting.NewCore(config, script.RolePromptbook, m.company, m.view, view == nil)
	m.seating = casting.NewSeating(Group, config, m, kept.Seat, func(s *cue.Stage, fresh bool) { m.tenures.StandUp(s, fresh) })
	m.UseSeats(m.seating)
	m.tenures = casting.NewTenures(config, m, m.seating, []string{playbill.BookTag}, votes, m.fit, m.took, m.lost)
	m.chorus.ServeWhen(func(now time.Duration) bool { return m.mode == serving && m.tenures.Holding(playbill.BookTag, now) }, func() []string { return []string{m.holderName()} })
	return m, nil
}

func (m *Machine) absorb(state script.BookState) {
	m.epoch, m.seq = state.Epoch, state.Seq
	m.layouts = map[string][]script.KeptLayout{}
	for _, layout := range state.Layouts {
		m.layouts[layout.Sheet] = append(m.layouts[layout.Sheet], layout)
	}
}

// keep adds a version and drops the sheet's oldest over the limits, alike on every
// seat. The whole book must fit a frame, since a seat is told it in one.
func (m *Machine) keep(layout script.KeptLayout) {
	m.layouts[layout.Sheet] = append(m.layouts[layout.Sheet], layout)
	total := int64(0)
	for _, held := range m.all() {
		total += int64(len(held.Body))
	}
	list := m.layouts[layout.Sheet]
	for int64(len(list)) > m.config.Limits.KeptLayouts || total > m.config.Limits.Frame/2 && len(list) > 1 {
		total -= int64(len(list[0].Body))
		list = list[1:]
	}
	m.layouts[layout.Sheet] = list
}

func (m *Machine) sheets() []string {
	return slices.Sorted(maps.Keys(m.layouts))
}

func (m *Machine) all() []script.KeptLayout {
	list := []script.KeptLayout{}
	for _, sheet := range m.sheets() {
		list = append(list, m.layouts[sheet]...)
	}
	return list
}

func (m *Machine) position() position {
	hash := fnv.New64a()
	for _, layout := range m.all() {
		fmt.Fprintf(hash, "%s|%d|%d|%d|%d|", layout.Sheet, layout.Version, layout.Epoch, layout.Seq, len(layout.Body))
	}
	return position{m.epoch, m.seq, int64(hash.Sum64())}
}

func (m *Machine) view() []byte {
	state := script.BookState{Seat: m.seating.State, Votes: m.tenures.Votes(), Epoch: m.epoch, Seq: m.seq, Layouts: m.all(), Seen: m.company.Seen()}
	body, err := script.Encode(state)
	if err != nil {
		panic("promptbook: view: " + err.Error())
	}
	return body
}

// StateForGrant and AbsorbGrants, with the core's methods, make it a casting.Host.
func (m *Machine) StateForGrant() []byte { return m.view() }

// AbsorbGrants takes the highest position that the two others hold.
func (m *Machine) AbsorbGrants(s *cue.Stage, states [][]byte) {
	for _, body := range states {
		decoded, err := script.Decode(body)
		state, isState := decoded.(script.BookState)
		if err != nil || !isState {
			continue
		}
		m.tenures.Restore(state.Votes)
		if m.position().before(position{state.Epoch, state.Seq, 0}) {
			m.absorb(state)
		}
	}
	m.synced = m.position()
}

// Forget drops what rested on a seat that is another's now.
func (m *Machine) Forget(s *cue.Stage) {
	m.tenures.Forget(s)
	m.term, m.mode, m.reads, m.acks = 0, idle, nil, nil
	m.absorb(script.BookState{})
	m.synced = m.position()
}

func (m *Machine) fit(string) bool {
	return m.Failure() == nil && !m.stopping && !m.company.Superseded()
}

func (m *Machine) holderName() string {
	seat := m.tenures.Holder(playbill.BookTag)
	for _, peer := range m.Peers() {
		if peer.Seat == seat && peer.Address == m.seating.AddressOf(seat) {
			return peer.Name
		}
	}
	return ""
}

func (m *Machine) took(s *cue.Stage, _ string, epoch int64) {
	m.term, m.mode, m.sentAt = epoch, reading, 0
	at := m.position()
	m.reads = map[string]script.BookReadTold{m.seating.Seat: {Epoch: epoch, Seat: m.seating.Seat, Identity: m.seating.State.Identity,
		AtEpoch: at.epoch, AtSeq: at.seq, Hash: at.hash}}
	m.inFlight = nil
	m.step(s)
}

func (m *Machine) lost(s *cue.Stage, _ string, _ int64) {
	m.mode = idle
	if m.inFlight != nil {
		m.tell(s, m.asker.from, script.BookTold{Ticket: m.asker.put.Ticket, Code: int64(notice.LayoutUnsure), Detail: "the tenure was lost midway"})
		m.inFlight = nil
	}
	for _, waiting := range m.puts {
		m.tell(s, waiting.from, script.BookTold{Ticket: waiting.put.Ticket, Code: int64(notice.LayoutNoHolder)})
	}
	for _, waiting := range m.gets {
		m.tell(s, waiting.from, script.BookTold{Ticket: waiting.get.Ticket, Code: int64(notice.LayoutNoHolder)})
	}
	m.puts, m.gets = nil, nil
}

func (m *Machine) tell(s *cue.Stage, to string, told script.BookTold) {
	if told.Faults == nil {
		told.Faults = []string{}
	}
	if told.Body == nil {
		told.Body = []byte{}
	}
	if told.Versions == nil {
		told.Versions = []int64{}
	}
	if told.Sheets == nil {
		told.Sheets = []string{}
	}
	s.Send(to, told)
}

// Tick is one step of the clock.
func (m *Machine) Tick(s *cue.Stage) {
	m.company.Tick(s)
	m.seating.Tick(s)
	m.Keep(s, m.seating.ShutOut)
	m.tenures.Tick(s)
	m.chorus.Tick(s)
	m.step(s)
	if m.mode == serving && m.tenures.Holding(playbill.BookTag, s.Now) {
		for _, sheet := range m.sheets() {
			m.chorus.Fresh(chorus.SheetTopic(sheet), s.Now)
		}
	}
}

// step repeats what the mode waits for, and moves on where it can.
func (m *Machine) step(s *cue.Stage) {
	if m.mode != idle && !m.tenures.Holding(playbill.BookTag, s.Now) {
		return
	}
	m.answerGets(s)
	if m.mode == idle || s.Now-m.sentAt < m.config.DigestEvery() && m.sentAt != 0 {
		return
	}
	m.sentAt = s.Now
	switch m.mode {
	case reading:
		for _, peer := range m.Peers() {
			s.Send(peer.Address, script.BookRead{Epoch: m.term, Seat: m.seating.Seat, Identity: m.seating.Stamp()})
		}
		m.chooseSource(s)
	case pulling:
		for _, peer := range m.Peers() {
			if peer.Seat == m.source.Seat {
				s.Send(peer.Address, script.BookPull{Epoch: m.term, Seat: m.seating.Seat, Identity: m.seating.Stamp()})
			}
		}
	case adopting:
		m.adoption.Identity = m.seating.Stamp()
		for _, peer := range m.Peers() {
			s.Send(peer.Address, m.adoption)
		}
	case serving:
		if m.inFlight != nil {
			m.sendInFlight(s)
		}
	}
}

func (m *Machine) sendInFlight(s *cue.Stage) {
	m.sentAt = s.Now
	for _, peer := range m.Peers() {
		if !m.seating.Holds(peer.Seat, m.acks[peer.Seat]) {
			s.Send(peer.Address, script.BookSettle{Epoch: m.term, Seq: m.inFlight.Seq, Seat: m.seating.Seat, Identity: m.seating.Stamp(), Layout: *m.inFlight})
		}
	}
}

// Hear takes a message from another process.
func (m *Machine) Hear(s *cue.Stage, from string, message any) {
	if m.company.Hear(s, from, message) || m.seating.Hear(s, from, message) || m.chorus.Hear(s, from, message) {
		return
	}
	if m.tenures.Hear(s, from, message) {
		m.answerGets(s)
		return
	}
	promised := m.tenures.Epoch(playbill.BookTag)
	valid := func(seat, identity string, epoch int64) bool {
		return m.seating.Standing() && m.seating.Holds(seat, identity) && epoch == promised && m.Failure() == nil
	}
	switch heard := message.(type) {
	case script.BookRead:
		if valid(heard.Seat, heard.Identity, heard.Epoch) {
			s.Send(from, script.BookReadTold{Epoch: heard.Epoch, Seat: m.seating.Seat, Identity: m.seating.Stamp(),
				AtEpoch: m.synced.epoch, AtSeq: m.synced.seq, Hash: m.synced.hash})
		}
	case script.BookReadTold:
		if m.mode == reading && heard.Epoch == m.term {
			m.reads[heard.Seat] = heard
			m.chooseSource(s)
		}
	case script.BookPull:
		if valid(heard.Seat, heard.Identity, heard.Epoch) {
			s.Send(from, script.BookView{Epoch: heard.Epoch, Seat: m.seating.Seat, AtEpoch: m.epoch, AtSeq: m.seq, Layouts: m.all()})
		}
	case script.BookView:
		m.hearView(s, from, heard)
	case script.BookAdopt:
		if valid(heard.Seat, heard.Identity, heard.Epoch) {
			m.hearAdopt(s, from, heard)
		}
	case script.BookSettle:
		if valid(heard.Seat, heard.Identity, heard.Epoch) {
			m.hearSettle(s, from, heard)
		}
	case script.BookSettled:
		m.hearSettled(s, heard)
	case script.BookPut:
		m.hearPut(s, from, heard)
	case script.BookGet:
		if m.mode != serving {
			m.tell(s, from, script.BookTold{Ticket: heard.Ticket, Code: int64(m.notServing()), Holder: m.holderName()})
			return
		}
		m.gets = append(m.gets, pendingGet{from, heard, s.Now})
		m.tenures.RenewNow(playbill.BookTag, s)
	}
}

func (m *Machine) notServing() notice.Code {
	if m.mode != idle {
		return notice.LayoutBehind
	}
	return notice.LayoutNoHolder
}

// chooseSource: with a majority read, the highest position is the book.
func (m *Machine) chooseSource(s *cue.Stage) {
	acks := map[string]string{}
	for seat, told := range m.reads {
		acks[seat] = told.Identity
	}
	if !m.seating.Majority(acks) {
		return
	}
	best := m.reads[m.seating.Seat]
	for _, seat := range m.config.Seats {
		told, read := m.reads[seat]
		if read && m.seating.Holds(seat, told.Identity) && (position{best.AtEpoch, best.AtSeq, 0}).before(position{told.AtEpoch, told.AtSeq, 0}) {
			best = told
		}
	}
	m.source = best
	m.sentAt = 0
	if best.Seat == m.seating.Seat {
		m.adopt(s)
		return
	}
	m.mode = pulling
	m.step(s)
}

// adopt settles the whole book again under this term.
func (m *Machine) adopt(s *cue.Stage) {
	at := m.position()
	m.adoption = script.BookAdopt{Epoch: m.term, Seat: m.seating.Seat, Identity: m.seating.Stamp(), AtEpoch: at.epoch, AtSeq: at.seq, Hash: at.hash}
	m.mode, m.acks, m.sentAt = adopting, map[string]string{}, 0
	m.epoch, m.seq = m.term, 0
	term, reached := m.term, m.position()
	m.CompactNow(s, func(s *cue.Stage, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if m.term == term {
			m.hearSettled(s, script.BookSettled{Epoch: term, Seq: 0, Seat: m.seating.Seat, Identity: m.seating.State.Identity})
		}
	})
	m.step(s)
}

func (m *Machine) hearAdopt(s *cue.Stage, from string, adopt script.BookAdopt) {
	at := m.position()
	switch {
	case m.epoch == adopt.Epoch:
		m.confirm(s, from)
	case at == position{adopt.AtEpoch, adopt.AtSeq, adopt.Hash}:
		m.epoch, m.seq = adopt.Epoch, 0
		reached := m.position()
		m.Persist(s, adopt, func(s *cue.Stage, failure error) {
			if failure == nil {
				m.synced = reached
				m.confirm(s, from)
			}
		})
	default:
		m.pull(s, from)
	}
}

// confirm says what this seat has synced.
func (m *Machine) confirm(s *cue.Stage, to string) {
	if m.synced.epoch == m.tenures.Epoch(playbill.BookTag) {
		s.Send(to, script.BookSettled{Epoch: m.synced.epoch, Seq: m.synced.seq, Seat: m.seating.Seat, Identity: m.seating.Stamp()})
	}
}

func (m *Machine) pull(s *cue.Stage, from string) {
	if s.Now < m.pullAt {
		return
	}
	m.pullAt = s.Now + m.config.DigestEvery()/2
	s.Note("book-pull", 0, m.epoch, "behind the holder")
	s.Send(from, script.BookPull{Epoch: m.tenures.Epoch(playbill.BookTag), Seat: m.seating.Seat, Identity: m.seating.Stamp()})
}

func (m *Machine) hearView(s *cue.Stage, from string, view script.BookView) {
	told := position{view.AtEpoch, view.AtSeq, 0}
	if view.Epoch != m.tenures.Epoch(playbill.BookTag) || m.mode == adopting || m.mode == serving || !m.position().before(told) {
		return
	}
	if m.mode == pulling && view.Seat != m.source.Seat || m.mode == reading {
		return
	}
	m.absorb(script.BookState{Epoch: view.AtEpoch, Seq: view.AtSeq, Layouts: view.Layouts})
	reached := m.position()
	asHolder, term := m.mode == pulling, m.term
	m.CompactNow(s, func(s *cue.Stage, failure error) {
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

func (m *Machine) hearSettle(s *cue.Stage, from string, settle script.BookSettle) {
	switch {
	case m.epoch == settle.Epoch && m.seq >= settle.Seq:
		m.confirm(s, from)
	case m.epoch == settle.Epoch && m.seq == settle.Seq-1:
		m.seq = settle.Seq
		m.keep(settle.Layout)
		reached := m.position()
		m.Persist(s, settle, func(s *cue.Stage, failure error) {
			if failure == nil {
				m.synced = reached
				m.confirm(s, from)
			}
		})
	default:
		m.pull(s, from)
	}
}

func (m *Machine) hearSettled(s *cue.Stage, settled script.BookSettled) {
	if settled.Epoch != m.term {
		return
	}
	switch {
	case m.mode == adopting:
		m.acks[settled.Seat] = settled.Identity
		if m.seating.Majority(m.acks) {
			m.mode = serving
			s.Note("book-serving", 0, m.term, fmt.Sprintf("after (%d,%d) of %s", m.source.AtEpoch, m.source.AtSeq, m.source.Seat))
			for _, sheet := range m.sheets() {
				m.publish(s, sheet)
			}
		}
	case m.mode == serving && m.inFlight != nil && settled.Seq >= m.inFlight.Seq:
		m.acks[settled.Seat] = settled.Identity
		if m.seating.Majority(m.acks) {
			done := *m.inFlight
			m.inFlight = nil
			s.Note("layout-settled", 0, m.term, fmt.Sprintf("%s %d", done.Sheet, done.Version))
			m.publish(s, done.Sheet)
			m.tell(s, m.asker.from, script.BookTold{Ticket: m.asker.put.Ticket, Sheet: done.Sheet, Version: done.Version})
			m.nextPut(s)
		}
	}
}

func (m *Machine) publish(s *cue.Stage, sheet string) {
	if current, known := m.current(sheet); known {
		m.chorus.PutSheet(s, sheet, current.Version, current.Body)
		m.chorus.Fresh(chorus.SheetTopic(sheet), s.Now)
	}
}

// current is the newest settled version.
func (m *Machine) current(sheet string) (script.KeptLayout, bool) {
	list := m.settled(sheet)
	if len(list) == 0 {
		return script.KeptLayout{}, false
	}
	return list[len(list)-1], true
}

func (m *Machine) settled(sheet string) []script.KeptLayout {
	list := m.layouts[sheet]
	if m.inFlight != nil && m.inFlight.Sheet == sheet && len(list) > 0 && list[len(list)-1].Version == m.inFlight.Version {
		list = list[:len(list)-1]
	}
	return list
}

func (m *Machine) hearPut(s *cue.Stage, from string, put script.BookPut) {
	if m.mode != serving || !m.tenures.Holding(playbill.BookTag, s.Now) {
		m.tell(s, from, script.BookTold{Ticket: put.Ticket, Code: int64(m.notServing()), Holder: m.holderName()})
		return
	}
	if int64(len(m.puts)) >= m.config.Limits.Pending {
		m.tell(s, from, script.BookTold{Ticket: put.Ticket, Code: int64(notice.LayoutNoHolder), Detail: "too many puts pending"})
		return
	}
	m.puts = append(m.puts, pendingPut{from, put})
	m.nextPut(s)
}

func (m *Machine) nextPut(s *cue.Stage) {
	for m.inFlight == nil && len(m.puts) > 0 {
		next := m.puts[0]
		m.puts = m.puts[1:]
		m.begin(s, next)
	}
}

func (m *Machine) begin(s *cue.Stage, next pendingPut) {
	put := next.put
	refuse := func(code notice.Code, detail string, faults []string) {
		m.tell(s, next.from, script.BookTold{Ticket: put.Ticket, Code: int64(code), Detail: detail, Faults: faults, Sheet: put.Sheet, Version: put.Version})
	}
	number := gjson.GetBytes(put.Body, "version")
	if put.Version == 0 {
		put.Version = number.Int()
	}
	if put.Version <= 0 || !slices.Contains(m.config.Sheets, put.Sheet) {
		refuse(notice.LayoutBad, "", []string{"$: want a version above 0 and one of the sheets of the settings"})
		return
	}
	check := func() bool {
		faults, tooLarge := blocking.Check(put.Body, m.config.SheetLimits())
		if tooLarge {
			refuse(notice.LayoutTooLarge, "", faults)
			return false
		}
		if number.Exists() && number.Int() != put.Version {
			faults = append(faults, "version: differs from the number put")
		}
		if len(faults) > 0 {
			refuse(notice.LayoutBad, "", faults)
			return false
		}
		return true
	}
	current, known := m.current(put.Sheet)
	if m.config.Puts == playbill.PutsHighest {
		if !check() {
			return
		}
		if known && put.Version <= current.Version {
			// What it relies on is settled, for nothing is in flight here.
			m.tell(s, next.from, script.BookTold{Ticket: put.Ticket, Detail: fmt.Sprintf("the current version is %d", current.Version),
				Sheet: put.Sheet, Version: current.Version, Body: current.Body})
			return
		}
		m.settle(s, next, put)
		return
	}
	for _, held := range m.layouts[put.Sheet] {
		if held.Version == put.Version && string(held.Body) == string(put.Body) {
			refuse(notice.OK, "already settled", nil)
			return
		}
	}
	if known && put.Version <= current.Version {
		refuse(notice.LayoutConflict, fmt.Sprintf("the current version is %d", current.Version), nil)
		return
	}
	if check() {
		m.settle(s, next, put)
	}
}

// settle begins a put that is in order.
func (m *Machine) settle(s *cue.Stage, next pendingPut, put script.BookPut) {
	m.seq++
	layout := script.KeptLayout{Sheet: put.Sheet, Version: put.Version, Epoch: m.term, Seq: m.seq, Body: put.Body}
	m.inFlight, m.asker, m.acks = &layout, next, map[string]string{}
	m.keep(layout)
	reached, term := m.position(), m.term
	record := script.BookSettle{Epoch: term, Seq: layout.Seq, Seat: m.seating.Seat, Identity: m.seating.Stamp(), Layout: layout}
	m.Persist(s, record, func(s *cue.Stage, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if m.term == term {
			m.hearSettled(s, script.BookSettled{Epoch: term, Seq: layout.Seq, Seat: m.seating.Seat, Identity: m.seating.State.Identity})
		}
	})
	m.sendInFlight(s)
}

// answerGets answers reads behind which a renewal has been confirmed.
func (m *Machine) answerGets(s *cue.Stage) {
	if m.mode != serving {
		return
	}
	waiting := []pendingGet{}
	for _, held := range m.gets {
		if !m.tenures.Confirmed(playbill.BookTag, held.at) {
			waiting = append(waiting, held)
			continue
		}
		m.tell(s, held.from, m.read(held.get))
	}
	m.gets = waiting
}

func (m *Machine) read(get script.BookGet) script.BookTold {
	told := script.BookTold{Ticket: get.Ticket, Sheet: get.Sheet, Sheets: m.sheets()}
	list := m.settled(get.Sheet)
	for _, held := range list {
		told.Versions = append(told.Versions, held.Version)
	}
	if get.List {
		return told
	}
	for index := len(list) - 1; index >= 0; index-- {
		if held := list[index]; get.Version == 0 || held.Version == get.Version {
			told.Version, told.Body = held.Version, held.Body
			return told
		}
	}
	told.Code = int64(notice.LayoutNotFound)
	return told
}

// Stop is the polite end.
type Stop struct{}

// Asked takes the process's own questions.
func (m *Machine) Asked(s *cue.Stage, ticket int64, question any) {
	if reseeded, isReseeded := question.(cue.Reseeded); isReseeded {
		m.company.Reseed(reseeded.Seeds)
	}
	if _, isStop := question.(Stop); isStop {
		m.stopping = true
		m.tenures.Yield(s)
		m.company.Leave(s)
		s.Reply(ticket, notice.OK)
	}
}

// Serving is for tests and status.
func (m *Machine) Serving() bool { return m.mode == serving }

// Forsake gives the other seats up and returns the view to be written: an operator's
// deed on the stopped survivor of two lost disks.
func (m *Machine) Forsake() []byte {
	m.seating.State = casting.Forsake(m.seating.State)
	m.tenures.Forsake()
	return m.view()
}
