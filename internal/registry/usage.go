// This file is the usage report. Proxies count answered requests by window and tenant,
// cumulatively, and repeat the counts with their heartbeats until the window is sealed.
// The holder of the usage tag sums a window a while after its end, gets the sum synced
// on a majority under its epoch, and only then reports it. A new holder first reads a
// majority: a value found there is settled again unchanged, so that a window has one
// value for ever, whoever reports it.

package registry

import (
	"maps"
	"sort"
	"strconv"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// windowsKept is how many windows back a value or a count may be.
const windowsKept = 720

type usage struct {
	m        *Machine
	sealed   map[int64]message.UsageSealed
	final    map[int64]bool
	counts   map[int64]map[string]message.ProxyUsage
	closings map[string]closing      // by proxy
	overAt   map[int64]time.Duration // by window: when it was first known here to be over
	changed  map[int64]map[string]bool
	saving   bool
	saveAt   time.Duration
	reported int64
	epoch    int64
	reading  bool
	readFor  int64 // the window that the last read was made for
	ready    bool
	reads    map[string]string
	acks     map[string]string
	open     *message.UsageSealed
	sentAt   time.Duration
	reportAt time.Duration
}

func newUsage(m *Machine, sealed []message.UsageSealed, reported int64) *usage {
	u := &usage{m: m, sealed: map[int64]message.UsageSealed{}, final: map[int64]bool{}, counts: map[int64]map[string]message.ProxyUsage{},
		closings: map[string]closing{}, overAt: map[int64]time.Duration{}, changed: map[int64]map[string]bool{}, reported: reported}
	for _, window := range sealed {
		u.restore(window)
	}
	return u
}

func (u *usage) restore(sealed message.UsageSealed) {
	if held, known := u.sealed[sealed.Window]; !known || held.Epoch <= sealed.Epoch {
		u.sealed[sealed.Window] = sealed
	}
	for window := range u.sealed {
		if window < u.newest()-windowsKept {
			delete(u.sealed, window)
		}
	}
}

func (u *usage) newest() int64 {
	newest := int64(0)
	for window := range u.sealed {
		newest = max(newest, window)
	}
	return newest
}

func (u *usage) list() []message.UsageSealed {
	list := []message.UsageSealed{}
	for _, sealed := range u.sealed {
		list = append(list, sealed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Window < list[j].Window })
	return list
}

// sealedBelow: proxies need not repeat windows below it. A collector that is down must
// not make them repeat what is sealed and only waits to be reported.
func (u *usage) sealedBelow() int64 {
	window := u.reported + 1
	for u.final[window] {
		window++
	}
	return window
}

// settled: a window whose value is known here needs no counts any more.
func (u *usage) committed(window int64) bool {
	_, sealed := u.sealed[window]
	return sealed || window <= u.reported
}

// count takes the cumulative counts of a proxy; the newest per life of a proxy holds.
func (u *usage) count(s *statemachine.Env, response message.UsageUpdate) {
	life := response.Proxy + "/" + strconv.FormatInt(response.StartTime, 36)
	u.noteClosing(response)
	for _, window := range response.Counts {
		held, known := u.counts[window.Window][life]
		if u.committed(window.Window) || known && response.Number <= held.Number {
			continue
		}
		u.keep(message.ProxyUsage{Window: window.Window, ProxyRun: life, Number: response.Number, Counts: window.Counts, Open: window.Open})
		if !known || !maps.Equal(held.Counts, window.Counts) || !maps.Equal(held.Open, window.Open) {
			if u.changed[window.Window] == nil {
				u.changed[window.Window] = map[string]bool{}
			}
			u.changed[window.Window][life] = true
		}
	}
	u.save(s)
}

func (u *usage) keep(response message.ProxyUsage) {
	if u.counts[response.Window] == nil {
		u.counts[response.Window] = map[string]message.ProxyUsage{}
	}
	u.counts[response.Window][response.ProxyRun] = response
}

// save puts changed counts on disk, one write at a time, the next as soon as the last
// is done; on a disk slower than it should be as long a rest is left to the votes.
func (u *usage) save(s *statemachine.Env) {
	if u.saving || s.Now < u.saveAt || len(u.changed) == 0 {
		return
	}
	record := message.UnreportedUsage{Proxies: []message.ProxyUsage{}}
	for _, life := range u.held().Proxies {
		if u.changed[life.Window][life.ProxyRun] {
			record.Proxies = append(record.Proxies, life)
		}
	}
	u.changed = map[int64]map[string]bool{}
	if len(record.Proxies) == 0 {
		return
	}
	u.saving = true
	began := s.Now
	u.m.Persist(s, record, func(s *statemachine.Env, _ error) {
		u.saving = false
		u.saveAt = began + u.m.settings.SaveEvery()
		if took := s.Now - began; took > u.m.settings.SlowSync() {
			u.saveAt = s.Now + took
		}
		u.save(s)
	})
}

// held lists the counts of windows not reported yet.
func (u *usage) held() message.UnreportedUsage {
	held := message.UnreportedUsage{Proxies: []message.ProxyUsage{}}
	for window, lives := range u.counts {
		if u.committed(window) {
			continue
		}
		for _, life := range lives {
			held.Proxies = append(held.Proxies, life)
		}
	}
	sort.Slice(held.Proxies, func(i, j int) bool {
		left, right := held.Proxies[i], held.Proxies[j]
		return left.Window < right.Window || left.Window == right.Window && left.ProxyRun < right.ProxyRun
	})
	return held
}

func (u *usage) regain(held message.UnreportedUsage) {
	for _, life := range held.Proxies {
		if life.Number >= u.counts[life.Window][life.ProxyRun].Number {
			u.keep(life)
		}
	}
}

func (u *usage) took(s *statemachine.Env, epoch int64) {
	u.epoch, u.reading, u.ready, u.open, u.readFor = epoch, true, false, nil, 0
	u.reads = map[string]string{u.m.quorum.Voter: u.m.quorum.State.Identity}
	u.sentAt = 0
}

func (u *usage) lost() { u.reading, u.ready, u.open = false, false, nil }

// forget drops the values a voter vouched for. The counts are the proxies' word, and stay.
func (u *usage) forget() {
	u.sealed, u.final, u.reported, u.epoch = map[int64]message.UsageSealed{}, map[int64]bool{}, 0, 0
	u.reading, u.ready, u.open, u.readFor = false, false, nil, 0
}

func (u *usage) tick(s *statemachine.Env) {
	for window := range u.counts {
		if u.committed(window) {
			delete(u.counts, window)
			delete(u.changed, window)
		}
	}
	u.noteOver(s)
	u.save(s)
	if !u.m.leases.Holding(settings.UsageTag, s.Now) {
		return
	}
	again := s.Now-u.sentAt >= u.m.settings.DigestEvery()
	switch {
	case u.reading && again:
		u.sentAt = s.Now
		for _, peer := range u.m.Peers() {
			s.Send(peer.Address, message.UsageRead{Epoch: u.epoch, Voter: u.m.quorum.Voter, Identity: u.m.quorum.Signature()})
		}
		u.readEnough()
	case u.open != nil && again:
		u.send(s)
	case u.ready && !u.reading && u.open == nil:
		u.sealNext(s)
	}
	u.report(s)
}

// sealNext takes the oldest window that is over, was not reported and has no final
// value under this epoch.
func (u *usage) sealNext(s *statemachine.Env) {
	current := u.current(s)
	if u.reported == 0 {
		// Nothing was ever reported: begin with the oldest window that has a value or
		// counts, not with hours in which there was no fleet.
		u.reported = current - 1
		for window := range u.sealed {
			u.reported = min(u.reported, window-1)
		}
		for window := range u.counts {
			u.reported = min(u.reported, window-1)
		}
	}
	first := max(u.reported+1, current-windowsKept)
	for window := first; window < current; window++ {
		if u.final[window] {
			continue
		}
		if !u.due(s, window) {
			return
		}
		if u.readFor != window && !guardsOff.usageRead {
			// Counts of a proxy that died may be with another voter only: ask first.
			u.readFor, u.reading, u.sentAt = window, true, 0
			u.reads = map[string]string{u.m.quorum.Voter: u.m.quorum.State.Identity}
			return
		}
		value, known := u.sealed[window]
		if !known || guardsOff.knownValue {
			value = message.UsageSealed{Window: window, Counts: u.sum(window)}
		}
		value.Epoch = u.epoch
		u.open, u.acks = &value, map[string]string{}
		u.sealed[window] = value
		u.sentAt = s.Now
		u.m.Persist(s, value, func(s *statemachine.Env, failure error) {
			if failure == nil && u.open != nil && u.open.Window == value.Window && u.open.Epoch == value.Epoch {
				u.ack(s, u.m.quorum.Voter, u.m.quorum.State.Identity)
			}
		})
		u.send(s)
		return
	}
}

func (u *usage) sum(window int64) map[string]int64 {
	sums := map[string]int64{}
	for _, life := range u.counts[window] {
		for tenant, count := range life.Counts {
			sums[tenant] += count
		}
		// What a life had open that told no more has most likely been answered before
		// its end: it takes as long to run as the note takes to be safe.
		for tenant, count := range life.Open {
			sums[tenant] += count
		}
	}
	return sums
}

func (u *usage) send(s *statemachine.Env) {
	u.sentAt = s.Now
	for _, peer := range u.m.Peers() {
		s.Send(peer.Address, message.UsageSeal{Voter: u.m.quorum.Voter, Identity: u.m.quorum.Signature(), Sealed: *u.open, Reported: u.reported})
	}
}

func (u *usage) ack(s *statemachine.Env, voter, identity string) {
	u.acks[voter] = identity
	if !u.m.quorum.Majority(u.acks) && !guardsOff.majoritySeal {
		return
	}
	u.final[u.open.Window] = true
	s.Event("usage-sealed", 0, u.epoch, strconv.FormatInt(u.open.Window, 10))
	u.open = nil
	u.reportAt = 0
}

// report sends the oldest sealed window until the collector has it.
func (u *usage) report(s *statemachine.Env) {
	window := u.reported + 1
	if !u.final[window] || s.Now < u.reportAt || u.m.settings.Collector == "" {
		if u.final[window] && u.m.settings.Collector == "" {
			u.done(s, window)
		}
		return
	}
	u.reportAt = s.Now + u.m.settings.ReportEvery()
	until := min(s.Now+u.m.settings.Lease()/2, u.m.leases.HeldUntil(settings.UsageTag))
	s.Report(UsageReport{Window: window, Counts: u.sealed[window].Counts, Epoch: u.epoch, Until: until})
}

// UsageReport is the effect's body: what the collector gets, and until when it may reach it, by
// the process clock. It never outlasts the lease: who holds the next one may act then.
type UsageReport struct {
	Window int64
	Counts map[string]int64
	Epoch  int64
	Until  time.Duration
}

// UsageDelivered is the question by which the process says that the collector has a window.
type UsageDelivered struct{ Window int64 }

func (u *usage) done(s *statemachine.Env, window int64) {
	if window != u.reported+1 {
		return
	}
	u.reported = window
	u.reportAt = 0
	delete(u.final, window)
	u.m.Persist(s, message.UsageReported{Window: window}, func(*statemachine.Env, error) {})
}

func (u *usage) handle(s *statemachine.Env, from string, msg any) bool {
	switch received := msg.(type) {
	case message.UsageRead:
		if u.m.leases.Epoch(settings.UsageTag) == received.Epoch && u.m.quorum.Voting() && u.m.quorum.Accepts(received.Voter, received.Identity) {
			s.Send(from, message.UsageReadResponse{Epoch: received.Epoch, Voter: u.m.quorum.Voter, Identity: u.m.quorum.Signature(),
				Sealed: u.tail(), Reported: u.reported, Unreported: u.held()})
		}
	case message.UsageReadResponse:
		if !u.reading || received.Epoch != u.epoch {
			return true
		}
		for _, sealed := range received.Sealed {
			u.restore(sealed)
		}
		u.reported = max(u.reported, received.Reported)
		for _, life := range received.Unreported.Proxies {
			if life.Window > u.reported && life.Number > u.counts[life.Window][life.ProxyRun].Number {
				u.keep(life)
			}
		}
		u.reads[received.Voter] = received.Identity
		u.readEnough()
	case message.UsageSeal:
		u.handleSeal(s, from, received)
	case message.UsageSealResponse:
		if u.open != nil && received.Window == u.open.Window && received.Epoch == u.epoch {
			u.ack(s, received.Voter, received.Identity)
		}
	default:
		return false
	}
	return true
}

func (u *usage) readEnough() {
	if u.m.quorum.Majority(u.reads) || guardsOff.usageRead {
		u.reading = false
		if !u.ready {
			u.ready, u.final = true, map[int64]bool{}
		}
	}
}

func (u *usage) handleSeal(s *statemachine.Env, from string, seal message.UsageSeal) {
	if seal.Sealed.Epoch < u.m.leases.Epoch(settings.UsageTag) || !u.m.quorum.Voting() || !u.m.quorum.Accepts(seal.Voter, seal.Identity) {
		return
	}
	u.reported = max(u.reported, seal.Reported)
	u.restore(seal.Sealed)
	confirm := message.UsageSealResponse{Voter: u.m.quorum.Voter, Identity: u.m.quorum.Signature(), Window: seal.Sealed.Window, Epoch: seal.Sealed.Epoch}
	if guardsOff.syncedSeal {
		s.Send(from, confirm)
	}
	u.m.Persist(s, seal.Sealed, func(s *statemachine.Env, failure error) {
		if failure == nil {
			confirm.Identity = u.m.quorum.Signature()
			s.Send(from, confirm)
		}
	})
}

// tail lists the sealed windows that may not have been reported yet.
func (u *usage) tail() []message.UsageSealed {
	list := u.list()
	if len(list) > windowsKept/4 {
		list = list[len(list)-windowsKept/4:]
	}
	return list
}

// read answers an outside question for a sealed window.
func (u *usage) read(window int64) Answer {
	held, known := u.sealed[window]
	if !known || window > u.reported && !u.final[window] {
		return answerCode(errcode.UsageNotFound, strconv.FormatInt(window, 10))
	}
	return answerJSON(errcode.OK, usageAnswer{Window: window, Counts: maps.Clone(held.Counts)})
}
