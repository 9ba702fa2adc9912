// This file takes the outside questions for both programs: layouts go on to the
// promptbook that holds the tenure and its answer comes back; status is gathered here.
// A put that was sent and not answered is sent again with the same bytes, which the
// store answers alike; when the time is up its outcome is said to be unknown, never
// that it was refused.
package callboard

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"beaconvane/internal/chorus"
	"beaconvane/internal/cue"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// Questions that the HTTP side asks of the machine.
type (
	PutLayout struct {
		Sheet   string
		Version int64
		Body    []byte
	}
	GetLayout struct {
		Sheet   string
		Version int64
		List    bool
	}
	// LayoutStatus asks where a sheet is in force, at least at a version (0: the newest).
	LayoutStatus struct {
		Sheet   string
		Version int64
	}
	ReadUsage  struct{ Window int64 }
	ReadStatus struct{}
	ReadRoster struct{}
	Ready      struct{}
	Stop       struct{}
)

// Answer is what goes back outside.
type Answer struct {
	Code notice.Code
	Body []byte
	Raw  bool
}

func answerJSON(code notice.Code, body any) Answer {
	text, err := json.Marshal(body)
	if err != nil {
		return Answer{Code: notice.Internal, Body: []byte(`{}`)}
	}
	return Answer{Code: code, Body: text}
}

func answerCode(code notice.Code, detail string) Answer {
	return answerJSON(code, map[string]any{"code": int(code), "result": code.String(), "detail": detail})
}

type waitingAsk struct {
	outer  int64
	put    *script.BookPut
	get    *script.BookGet
	until  time.Duration
	nextAt time.Duration
	target string
	open   int // puts sent whose outcome no promptbook has told
}

type outside struct {
	m       *Machine
	tickets int64
	waiting map[int64]*waitingAsk
	hint    string
}

func newOutside(m *Machine) *outside { return &outside{m: m, waiting: map[int64]*waitingAsk{}} }

// Asked takes a question.
func (m *Machine) Asked(s *cue.Stage, ticket int64, question any) {
	o := m.outside
	switch asked := question.(type) {
	case PutLayout:
		o.tickets++
		o.waiting[o.tickets] = &waitingAsk{outer: ticket, until: s.Now + m.config.PutLimit(),
			put: &script.BookPut{Ticket: o.tickets, Sheet: asked.Sheet, Version: asked.Version, Body: asked.Body}}
		o.tick(s)
	case GetLayout:
		o.tickets++
		o.waiting[o.tickets] = &waitingAsk{outer: ticket, until: s.Now + m.config.PutLimit(),
			get: &script.BookGet{Ticket: o.tickets, Sheet: asked.Sheet, Version: asked.Version, List: asked.List}}
		o.tick(s)
	case LayoutStatus:
		s.Reply(ticket, m.layoutStatus(s, asked.Sheet, asked.Version))
	case ReadUsage:
		s.Reply(ticket, m.usage.read(asked.Window))
	case ReadStatus:
		s.Reply(ticket, m.status(s))
	case ReadRoster:
		s.Reply(ticket, m.roster(s))
	case Ready:
		s.Reply(ticket, m.ready(s))
	case Reported:
		m.usage.done(s, asked.Window)
	case cue.Reseeded:
		m.company.Reseed(asked.Seeds)
	case cue.WireBroke:
		m.chorus.WireBroke(s, asked.Address)
	case Stop:
		m.stopping = true
		m.tenures.Yield(s)
		m.company.Leave(s)
		s.Reply(ticket, answerCode(notice.OK, "stopping"))
	}
}

// holder guesses the promptbook that holds the tenure: the one the news comes from,
// or the hint of the last one that did not.
func (o *outside) holder(s *cue.Stage) (string, bool) {
	books := o.m.company.Alive(script.RolePromptbook)
	if seated := slices.DeleteFunc(slices.Clone(books), func(book script.Member) bool { return book.Seat == "" }); len(seated) > 0 {
		books = seated
	}
	parent, _, _ := o.m.chorus.Parent()
	for _, wanted := range []string{o.hint, parent} {
		for _, book := range books {
			if book.Name == wanted && wanted != "" {
				return book.Address, true
			}
		}
	}
	if len(books) == 0 {
		return "", false
	}
	return books[s.Dice.IntN(len(books))].Address, true
}

func (o *outside) tick(s *cue.Stage) {
	for _, ticket := range slices.Sorted(maps.Keys(o.waiting)) {
		waiting := o.waiting[ticket]
		if s.Now >= waiting.until {
			delete(o.waiting, ticket)
			switch {
			case waiting.put != nil && waiting.open > 0:
				s.Reply(waiting.outer, answerCode(notice.LayoutUnsure, "no answer in time"))
			default:
				s.Reply(waiting.outer, answerCode(notice.LayoutNoHolder, "no holder in time"))
			}
			continue
		}
		if s.Now < waiting.nextAt {
			continue
		}
		address, found := o.holder(s)
		waiting.nextAt = s.Now + o.m.config.NewsEvery()
		if !found {
			continue
		}
		if waiting.target == address {
			// Asked already: give that holder time before asking the same again.
			waiting.nextAt = s.Now + o.m.config.Tenure()/2
		}
		waiting.target = address
		if waiting.put != nil {
			waiting.open++
			s.Send(address, *waiting.put)
		} else {
			s.Send(address, *waiting.get)
		}
	}
}

func (o *outside) hear(s *cue.Stage, message any) bool {
	told, isTold := message.(script.BookTold)
	if !isTold {
		return false
	}
	waiting, known := o.waiting[told.Ticket]
	if !known {
		return true
	}
	code := notice.Code(told.Code)
	switch code {
	case notice.LayoutNoHolder, notice.LayoutBehind:
		o.hint = told.Holder
		waiting.open--
		waiting.nextAt = s.Now + o.m.config.NewsEvery()/2
		if told.Holder != "" && code == notice.LayoutNoHolder {
			waiting.target = ""
		}
		return true
	case notice.LayoutUnsure:
		// The store lost its tenure midway; the same bytes settle it at the next one.
		waiting.target, waiting.nextAt = "", s.Now+o.m.config.NewsEvery()
		return true
	}
	delete(o.waiting, told.Ticket)
	if waiting.get != nil && code == notice.OK && !waiting.get.List {
		s.Reply(waiting.outer, Answer{Code: notice.OK, Body: told.Body, Raw: true})
		return true
	}
	if waiting.get != nil && code == notice.OK {
		s.Reply(waiting.outer, answerJSON(notice.OK, map[string]any{"sheet": told.Sheet, "versions": told.Versions, "sheets": told.Sheets}))
		return true
	}
	if waiting.put != nil && code == notice.OK {
		// Settled is settled: this seat and its peers pass it on at once, whatever
		// becomes of the promptbook that settled it.
		settled := script.SheetSettled{Sheet: told.Sheet, Version: told.Version, Body: waiting.put.Body}
		if len(told.Body) > 0 {
			settled.Body = told.Body
		}
		o.m.chorus.PutSheet(s, settled.Sheet, settled.Version, settled.Body)
		for _, peer := range o.m.Peers() {
			s.Send(peer.Address, settled)
		}
	}
	answer := map[string]any{"code": told.Code, "result": code.String(), "sheet": told.Sheet, "version": told.Version}
	if told.Detail != "" {
		answer["detail"] = told.Detail
	}
	if len(told.Faults) > 0 {
		answer["faults"] = told.Faults
	}
	s.Reply(waiting.outer, answerJSON(code, answer))
	return true
}

// layoutStatus says which usher has which version in force, as its beats tell.
func (m *Machine) layoutStatus(s *cue.Stage, sheet string, wanted int64) Answer {
	version, _, known := m.chorus.Sheet(sheet)
	wanted = max(wanted, version)
	lacking := []string{}
	if !known {
		return answerCode(notice.LayoutNotFound, sheet)
	}
	age, _ := m.chorus.Age(chorus.SheetTopic(sheet), s.Now)
	inForce := map[string]int64{}
	everywhere := true
	for _, usher := range m.company.Alive(script.RoleUsher) {
		inForce[usher.Name] = 0
		if seen, beats := m.ushers[usher.Name]; beats {
			for _, mark := range seen.batch.Marks {
				if mark.Topic == chorus.SheetTopic(sheet) {
					inForce[usher.Name] = mark.Seq
				}
			}
		}
		if inForce[usher.Name] < wanted {
			everywhere = false
			lacking = append(lacking, usher.Name)
		}
	}
	return answerJSON(notice.OK, map[string]any{"sheet": sheet, "version": version, "age_ms": age.Milliseconds(), "in_force": inForce, "everywhere": everywhere, "wanted": wanted, "lacking": lacking})
}

func (m *Machine) ready(s *cue.Stage) Answer {
	switch {
	case m.Failure() != nil:
		return answerCode(notice.DiskFault, "")
	case m.seating.ShutOut || m.company.Superseded():
		return answerCode(notice.SeatShutOut, "")
	case !m.seating.Standing() && !m.seating.Spare(s):
		return answerCode(notice.SeatRecovering, "")
	case m.stopping || !m.company.Joined():
		return answerCode(notice.BusyNotReady, "")
	}
	for _, tag := range m.config.Districts {
		if age, known := m.chorus.Age(chorus.SliceTopic(tag), s.Now); !known || age > m.config.StaleReady() {
			return answerCode(notice.BusyNotReady, "slice "+tag)
		}
	}
	return answerCode(notice.OK, "ready")
}

var stateNames = []string{"alive", "suspect", "dead", "left"}

func (m *Machine) status(s *cue.Stage) Answer {
	members := []map[string]any{}
	for _, member := range m.company.All() {
		members = append(members, map[string]any{"name": member.Name, "role": member.Role, "seat": member.Seat, "district": member.District,
			"address": member.Address, "state": stateNames[member.State&3], "incarnation": member.Incarnation})
	}
	tenures := map[string]any{}
	for _, tag := range append(append([]string{}, m.config.Districts...), playbill.UsageTag) {
		tenures[tag] = map[string]any{"epoch": m.tenures.Epoch(tag), "holder": m.tenures.Holder(tag), "here": m.tenures.Holding(tag, s.Now)}
	}
	slices := map[string]any{}
	for _, tag := range m.config.Districts {
		mark := m.slices[tag].Mark
		age, known := m.chorus.Age(chorus.SliceTopic(tag), s.Now)
		slices[tag] = map[string]any{"epoch": mark.Epoch, "seq": mark.Seq, "count": mark.Count, "age_ms": age.Milliseconds(), "known": known, "whole": m.whole[tag]}
	}
	sheets := map[string]any{}
	for _, sheet := range m.config.Sheets {
		version, body, known := m.chorus.Sheet(sheet)
		age, _ := m.chorus.Age(chorus.SheetTopic(sheet), s.Now)
		sheets[sheet] = map[string]any{"version": version, "bytes": len(body), "known": known, "age_ms": age.Milliseconds()}
	}
	relays := map[string]any{}
	for name, seen := range m.ushers {
		relays[name] = map[string]any{"path": seen.batch.Path, "ready": seen.batch.Ready, "heard_ms": (s.Now - seen.at).Milliseconds()}
	}
	parent, path, moves := m.chorus.Parent()
	return answerJSON(notice.OK, map[string]any{"node": m.config.Node, "seat": m.seating.Seat, "standing": m.seating.Standing(), "shut_out": m.seating.ShutOut,
		"members": members, "relays": relays, "tenures": tenures, "slices": slices, "sheets": sheets,
		"news": map[string]any{"from": parent, "path": path, "moves": moves}, "usage": map[string]any{"reported": m.usage.reported}})
}

func (m *Machine) roster(s *cue.Stage) Answer {
	slices := map[string][]map[string]any{}
	for _, tag := range m.config.Districts {
		slices[tag] = []map[string]any{}
		for _, registration := range m.slices[tag].List() {
			slices[tag] = append(slices[tag], map[string]any{"service": registration.Service, "instance": registration.Instance,
				"incarnation": registration.Incarnation, "address": registration.Address, "slots": registration.Slots,
				"state": registration.State, "home": registration.Home})
		}
	}
	return answerJSON(notice.OK, map[string]any{"slices": slices})
}
