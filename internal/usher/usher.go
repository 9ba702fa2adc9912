// Package usher is the proxy's control machine: it keeps membership, takes the news
// of sheets and slices, tells the callboards of the upstreams beside it, and hands
// the traffic side an immutable view after every change. Traffic itself lives in
// foyer (the caller's side) and greenroom (the upstream's side).
package usher

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"beaconvane/internal/blocking"
	"beaconvane/internal/chorus"
	"beaconvane/internal/company"
	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// Questions and tidings from the process.
type (
	// Announced is what the greenroom has accepted from an upstream.
	Announced struct {
		Registration script.Registration
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
	// Counted is what the foyer has counted; windows below Closed won't change.
	Counted struct {
		Usage  []script.UsageCount
		Closed int64
	}
	// ReadSealed asks below which window all is sealed; ReadStatus for the counters.
	ReadSealed struct{}
	ReadStatus struct{}
	// Stop is the polite end.
	Stop struct{}
)

// View is what traffic sees of the control state. It is never changed after it was
// published.
type View struct {
	Layouts    []*blocking.Layout
	Upstreams  map[string][]script.Registration
	Ushers     int
	FreshAt    time.Duration // as of when all sheets are known current
	Known      bool          // every sheet is here
	RosterAt   time.Duration
	RosterHere bool
	Joined     bool
	Stopping   bool
}

// Ready says whether this node should get traffic.
func (v *View) Ready(now time.Duration, staleAfter time.Duration) bool {
	return v != nil && v.Joined && !v.Stopping && v.Known && v.RosterHere && now-v.FreshAt <= staleAfter && now-v.RosterAt <= staleAfter
}

type local struct {
	registration script.Registration
	announcedAt  time.Duration
	probed       int64
}

type signOff struct {
	end script.SignOff
	at  time.Duration
}

// Machine is the usher's control state.
type Machine struct {
	config   playbill.Config
	company  *company.Company
	chorus   *chorus.Chorus
	locals   map[string]*local
	ends     map[string]signOff
	layouts  map[string]*blocking.Layout
	begun    map[string]bool  // sheets that were known current in this life
	forced   map[string]int64 // versions handed to the traffic side
	told     script.UsageTold // the usage last sent, and when to repeat it
	toldAt   time.Duration
	sealed   map[string]int64
	beatAt   time.Duration
	viewAt   time.Duration
	stopping bool
	shown    *View
	life     int64 // this life's birth, whatever the membership makes of it
}

// New makes the machine; a usher keeps nothing on disk.
func New(config playbill.Config, self script.Member) *Machine {
	m := &Machine{config: config, locals: map[string]*local{}, ends: map[string]signOff{}, layouts: map[string]*blocking.Layout{}, begun: map[string]bool{}, forced: map[string]int64{}, sealed: map[string]int64{}, life: self.Birth}
	m.company = company.New(config, self, nil)
	m.chorus = chorus.New(config, m.company, m.changed)
	for _, sheet := range config.Sheets {
		m.chorus.Want(chorus.SheetTopic(sheet))
	}
	for _, district := range config.Subscribed() {
		m.chorus.Want(chorus.SliceTopic(district))
	}
	return m
}

func (m *Machine) changed(s *cue.Stage, topic string) {
	for _, sheet := range m.config.Sheets {
		if chorus.SheetTopic(sheet) != topic {
			continue
		}
		if version, body, known := m.chorus.Sheet(sheet); known {
			m.layouts[sheet] = blocking.Parse(sheet, version, body, m.config.SheetLimits())
			m.beatAt = s.Now
		}
	}
	m.viewAt = s.Now
}

// Tick is one step of the clock.
func (m *Machine) Tick(s *cue.Stage) {
	m.company.Tick(s)
	m.chorus.Tick(s)
	m.settle(s)
}

// settle sends what is due: beats and views.
func (m *Machine) settle(s *cue.Stage) {
	if s.Now >= m.beatAt {
		m.beatAt = s.Now + m.config.BeatEvery()
		m.beat(s)
	}
	if s.Now >= m.viewAt {
		m.viewAt = s.Now + m.config.NewsEvery()
		m.show(s)
	}
}

func (m *Machine) beat(s *cue.Stage) {
	batch := script.BeatBatch{Usher: m.company.Self().Name, Birth: m.life, Ready: m.shown.Ready(s.Now, m.config.StaleReady()),
		Beats: []script.Beat{}, Ends: []script.SignOff{}, Marks: m.chorus.Marks(), Path: []string{}}
	if _, path, _ := m.chorus.Parent(); path != nil {
		batch.Path = path
	}
	for _, key := range slices.Sorted(maps.Keys(m.locals)) {
		held := m.locals[key]
		age := s.Now - held.announcedAt
		if age > m.config.BeatBound()*2 {
			delete(m.locals, key)
			continue
		}
		batch.Beats = append(batch.Beats, script.Beat{Registration: held.registration, Age: int64(age), Probed: held.probed})
	}
	for _, key := range slices.Sorted(maps.Keys(m.ends)) {
		if s.Now-m.ends[key].at > m.config.BeatBound()*2 {
			delete(m.ends, key)
			continue
		}
		batch.Ends = append(batch.Ends, m.ends[key].end)
	}
	for _, callboard := range m.company.Lately(script.RoleCallboard, s.Now) {
		s.Send(callboard.Address, batch)
	}
}

// show hands the traffic side a view; beats tell the readiness of the last one shown.
func (m *Machine) show(s *cue.Stage) {
	m.shown = m.view(s)
	s.Publish(m.shown)
}

// ushers counts the ushers that there are, with those that seem lost: behind a cut
// each side still shares the fleet's allowance of retries with the other.
func (m *Machine) ushers() int {
	count := 0
	for _, member := range m.company.All() {
		if member.Role == script.RoleUsher && member.State != script.Left {
			count++
		}
	}
	return count
}

func (m *Machine) view(s *cue.Stage) *View {
	view := &View{Upstreams: map[string][]script.Registration{}, Known: true, RosterHere: true, Joined: m.company.Joined(), Stopping: m.stopping,
		Ushers: m.ushers(), FreshAt: s.Now, RosterAt: s.Now}
	for _, sheet := range m.config.Sheets {
		layout, held := m.layouts[sheet]
		freshAt, fresh := m.chorus.FreshAt(chorus.SheetTopic(sheet))
		// A life begins only with a sheet known current: an old one from a cut-off
		// relay may be behind what the life before had in force.
		if held && fresh && s.Now-freshAt <= m.config.Reparent() {
			m.begun[sheet] = true
		}
		if !held || !m.begun[sheet] {
			view.Known = false
			continue
		}
		if m.forced[sheet] != layout.Version {
			m.forced[sheet] = layout.Version
			s.Note("layout-in-force", 0, layout.Version, sheet)
		}
		view.Layouts = append(view.Layouts, layout)
		view.FreshAt = min(view.FreshAt, freshAt)
	}
	for _, district := range m.config.Subscribed() {
		registrations, known := m.chorus.Slice(district)
		freshAt, fresh := m.chorus.FreshAt(chorus.SliceTopic(district))
		if !known || !fresh && !m.config.ByTarget() {
			view.RosterHere = false
			continue
		}
		if fresh {
			view.RosterAt = min(view.RosterAt, freshAt)
		}
		for _, registration := range registrations {
			if m.homeless(registration) {
				continue
			}
			view.Upstreams[registration.Service] = append(view.Upstreams[registration.Service], registration)
		}
	}
	return view
}

// homeless: the home's process, of that life, is known to have ended or left.
func (m *Machine) homeless(registration script.Registration) bool {
	home, known := m.company.Find(registration.Home)
	return known && home.State >= script.Dead && home.Birth >= registration.HomeBirth
}

// Hear takes a message from another process.
func (m *Machine) Hear(s *cue.Stage, from string, message any) {
	if !m.company.Hear(s, from, message) && !m.chorus.Hear(s, from, message) {
		switch heard := message.(type) {
		case script.ProbeAsk:
			key := heard.Service + "/" + heard.Instance
			if held, known := m.locals[key]; known && held.registration.Incarnation == heard.Incarnation && s.Now-held.announcedAt < m.config.BeatBound() {
				s.Probe(held.registration.Address, key, heard.Incarnation)
			}
		case script.BeatTold:
			m.sealed[heard.Callboard] = heard.Sealed
		}
	}
	m.settle(s)
}

// Asked takes tidings from the process.
func (m *Machine) Asked(s *cue.Stage, ticket int64, question any) {
	switch asked := question.(type) {
	case Announced:
		registration := asked.Registration
		registration.Home, registration.HomeAddress, registration.HomeBirth = m.company.Self().Name, m.company.Self().Address, m.life
		key := registration.Key()
		held, known := m.locals[key]
		if !known || held.registration != registration {
			probed := int64(0)
			if known && held.registration.Incarnation == registration.Incarnation && held.registration.Address == registration.Address {
				probed = held.probed
			}
			m.locals[key] = &local{registration, s.Now, probed}
			m.beatAt = s.Now
		} else {
			held.announcedAt = s.Now
		}
	case SignedOff:
		key := asked.Service + "/" + asked.Instance
		m.ends[key] = signOff{script.SignOff{Service: asked.Service, Instance: asked.Instance, Incarnation: asked.Incarnation}, s.Now}
		if held, known := m.locals[key]; known && held.registration.Incarnation <= asked.Incarnation {
			delete(m.locals, key)
		}
		m.beatAt = s.Now
	case Probed:
		if held, known := m.locals[asked.Key]; known && held.registration.Incarnation == asked.Incarnation {
			was := held.probed
			held.probed = 2
			if asked.Answered {
				held.probed = 1
			}
			if held.probed != was {
				m.beatAt = s.Now
			}
		}
	case Counted:
		told := script.UsageTold{Usher: m.company.Self().Name, Birth: m.life, Counts: asked.Usage, Closed: asked.Closed}
		if told.Counts == nil {
			told.Counts = []script.UsageCount{}
		}
		told.Number = m.told.Number
		if !reflect.DeepEqual(told, m.told) || s.Now >= m.toldAt {
			told.Number++
			m.told, m.toldAt = told, s.Now+m.config.BeatEvery()
			for _, callboard := range m.counters(s.Now) {
				s.Send(callboard.Address, told)
			}
		}
	case cue.Reseeded:
		m.company.Reseed(asked.Seeds)
	case cue.WireBroke:
		m.chorus.WireBroke(s, asked.Address)
	case ReadSealed:
		s.Reply(ticket, m.SealedBelow())
	case ReadStatus:
		s.Reply(ticket, m.Status(s.Now))
	case Stop:
		m.stopping = true
		m.company.Leave(s)
		m.show(s)
	}
	m.settle(s)
}

// counters are the callboards that are told the usage: one more than may be lost, so
// that any majority that a new keeper reads has one of them.
func (m *Machine) counters(now time.Duration) []script.Member {
	callboards := m.company.Lately(script.RoleCallboard, now)
	if seats := len(m.config.Seats); m.config.CountsBegun() && seats > 0 && len(callboards) > seats/2+1 {
		alive := m.company.Alive(script.RoleCallboard)
		if len(alive) > seats/2+1 {
			return alive[:seats/2+1]
		}
		return alive
	}
	return callboards
}

// SealedBelow is the lowest window that some callboard still has to seal.
func (m *Machine) SealedBelow() int64 {
	highest := int64(0)
	for _, below := range m.sealed {
		highest = max(highest, below)
	}
	return highest
}

// Status is for the counters page.
func (m *Machine) Status(now time.Duration) map[string]any {
	ages := map[string]int64{}
	for _, mark := range m.chorus.Marks() {
		if age, known := m.chorus.Age(mark.Topic, now); known {
			ages[mark.Topic] = age.Milliseconds()
		}
	}
	parent, path, moves := m.chorus.Parent()
	versions := map[string]int64{}
	for sheet, layout := range m.layouts {
		versions[sheet] = layout.Version
	}
	return map[string]any{"parent": parent, "path": path, "moves": moves, "layouts": versions, "ages_ms": ages, "members": len(m.company.Alive("")) + 1}
}

// Synced never comes: nothing is written.
func (m *Machine) Synced(*cue.Stage, int64, error) {}
