package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/simulation"
	"beaconvane/internal/statemachine"
)

const (
	// epoch is the time of day at the first round.
	epoch = 1_800_000_000 * time.Second
	// roundTime is how far the clocks go in a round.
	roundTime = 50 * time.Millisecond
	// itemsPerRound bounds a round, should messages beget messages without end.
	itemsPerRound = 2000
	// configName is the configuration that the operators write.
	configName = "main"
	// keptVersions is small, so that old versions are dropped within a run.
	keptVersions = 3
	operators    = 2
)

// item is a message or a write on its way.
type item struct {
	step        int64 // when it was sent
	from        string
	voter       bool // the sender held a voter when it sent this
	to          *process
	incarnation int
	message     any
	datagram    bool
	write       *statemachine.Write
}

// chooser gives the actions that come before a step; next is nil at a round's begin.
type chooser interface {
	choose(w *World, next *item) []Action
}

// World is one run.
type World struct {
	plan      Plan
	chooser   chooser
	round     int
	inRound   int // steps of this round so far
	step      int64
	now       time.Duration
	processes []*process
	byAddress map[string]*process
	queue     []item
	later     map[int][]item
	timers    map[int][]func()
	cutTo     map[[2]int]int // by sender and receiver: the round at which the cut heals
	history   history
	lists     []decidedList
	holders   map[string]string // by tag and epoch: the incarnation that held it
	fleet     *fleet            // of registries; nil for configuration stores
	calmFrom  int               // round from which on no fault comes or lasts
	violation *Violation
	log       func(line string)
	applied   []Action
	counts    map[Kind]int

	crashDice   map[int]uint64
	crashRounds map[int]int
}

// Violation is a broken promise.
type Violation struct {
	Rule   string
	Detail string
	Round  int
}

func (v Violation) String() string { return fmt.Sprintf("round %d: %s: %s", v.Round, v.Rule, v.Detail) }

func newWorld(plan Plan, chooser chooser, log func(line string)) *World {
	w := &World{
		plan:        plan,
		chooser:     chooser,
		log:         log,
		byAddress:   map[string]*process{},
		later:       map[int][]item{},
		timers:      map[int][]func(){},
		cutTo:       map[[2]int]int{},
		holders:     map[string]string{},
		counts:      map[Kind]int{},
		crashDice:   map[int]uint64{},
		crashRounds: map[int]int{},
	}
	w.history = newHistory(plan.Highest)
	if plan.Role == message.RoleRegistry {
		w.fleet = newFleet()
	}
	for range plan.Voters {
		w.addProcess(true)
	}
	return w
}

// settingsOf are a process's settings: times are short, so that a run of some hundred
// rounds holds many changes of the holder; their ratios are the product's own.
func (w *World) settingsOf(index int, found bool) settings.Settings {
	cfg := settings.Default()
	cfg.Node = fmt.Sprintf("n%d", index)
	cfg.Zone, cfg.Zones = "z", []string{"z"}
	cfg.Address = addressOf(index)
	for seed := range w.plan.Voters {
		cfg.Seeds = append(cfg.Seeds, addressOf(seed))
	}
	cfg.WritePolicy = settings.WritesRising
	if w.plan.Highest {
		cfg.WritePolicy = settings.WritesHighest
	}
	if w.plan.Named {
		cfg.Voters = settings.VoterNames(int64(w.plan.Voters))
		cfg.Voter = cfg.Voters[index%w.plan.Voters]
	} else {
		cfg.VoterCount, cfg.Voters, cfg.Bootstrap = int64(w.plan.Voters), settings.VoterNames(int64(w.plan.Voters)), found
	}
	cfg.Bounds.ConfigurationInForce = 500
	cfg.Bounds.HolderCooldown = 1000
	cfg.Bounds.Restore = 3600
	cfg.Limits.RetainedVersions = keptVersions
	if w.plan.Role == message.RoleRegistry {
		cfg.Bounds.Heartbeat = 1000
		cfg.Bounds.UsageWindow, cfg.Bounds.UsageReportDelay = windowRounds*roundTime.Milliseconds(), 1000
		cfg.Collector = "collector"
	}
	return cfg
}

func addressOf(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

func (w *World) addProcess(found bool) {
	index := len(w.processes)
	p := &process{
		index:    index,
		settings: w.settingsOf(index, found),
		role:     w.plan.Role,
		address:  addressOf(index),
		disk:     simulation.NewDisk(),
	}
	w.processes = append(w.processes, p)
	w.byAddress[p.address] = p
	p.boot(w)
}

func (w *World) note(format string, values ...any) {
	if w.log != nil {
		w.log(fmt.Sprintf("%4d.%-4d ", w.round, w.inRound) + fmt.Sprintf(format, values...))
	}
}

// violate keeps the first broken promise; the run ends there.
func (w *World) violate(rule, format string, values ...any) {
	if w.violation == nil && !slices.Contains(w.plan.Except, rule) {
		w.violation = &Violation{Rule: rule, Detail: fmt.Sprintf(format, values...), Round: w.round}
		w.note("VIOLATION %s", *w.violation)
	}
}

// after does something at the begin of a later round.
func (w *World) after(rounds int, do func()) {
	at := w.round + max(rounds, 1)
	w.timers[at] = append(w.timers[at], do)
}

// run plays all rounds, or until a promise is broken.
func (w *World) run() {
	for w.round = 0; w.round < w.plan.Rounds && w.violation == nil; w.round++ {
		w.playRound()
	}
	if w.violation == nil {
		w.checkHistory()
		w.checkFleet()
	}
}

func (w *World) playRound() {
	w.inRound = 0
	w.now += roundTime
	due := w.timers[w.round]
	delete(w.timers, w.round)
	for _, do := range due {
		do()
	}
	w.choose(nil)
	w.playFleet()
	w.queue = append(w.queue, w.later[w.round]...)
	delete(w.later, w.round)
	for _, p := range w.processes {
		w.wake(p)
		if p.up && !p.frozen {
			w.step++
			p.apply(w, statemachine.Ticked{})
		}
	}
	for len(w.queue) > 0 && w.inRound < itemsPerRound && w.violation == nil {
		w.inRound++
		w.playItem()
	}
	// Actions that a replay has beyond the last step still belong to the round.
	w.inRound = itemsPerRound
	w.choose(nil)
}

// wake hands a process that was thawed what came meanwhile.
func (w *World) wake(p *process) {
	if !p.up || p.frozen || len(p.inbox) == 0 {
		return
	}
	waiting := p.inbox
	p.inbox = nil
	w.queue = append(waiting, w.queue...)
}

func (w *World) choose(next *item) {
	for _, action := range w.chooser.choose(w, next) {
		action.Round, action.Step = w.round, w.inRound
		if w.do(action) {
			w.counts[action.Kind]++
			w.calmFrom = max(w.calmFrom, w.round+action.lasts()+1)
			w.applied = append(w.applied, action)
		}
	}
}

// playItem delivers the next message or ends the next write.
func (w *World) playItem() {
	if !w.queue[0].datagram {
		w.choose(&w.queue[0])
		if len(w.queue) == 0 {
			return
		}
	}
	next := w.queue[0]
	w.queue = w.queue[1:]
	w.step++
	p := next.to
	if !p.up || p.incarnation != next.incarnation {
		return
	}
	if p.frozen {
		p.inbox = append(p.inbox, next)
		return
	}
	if next.write != nil {
		if w.round < p.slowTo {
			w.hold(next, p.slowTo-w.round)
			return
		}
		p.sync(w, *next.write)
		return
	}
	w.deliver(p, next)
}

func (w *World) deliver(p *process, next item) {
	if sender := w.byAddress[next.from]; sender != nil {
		if heals := w.cutTo[[2]int{sender.index, p.index}]; w.round < heals {
			if !next.datagram {
				// A connection keeps what it was given, and may get it through yet.
				w.hold(next, heals-w.round)
			}
			return
		}
		if next.voter {
			p.contacts[next.from] = max(p.contacts[next.from], next.step)
		}
	}
	if w.log != nil && !next.datagram {
		w.note("%s > %s %T %+v", next.from, p.address, next.message, next.message)
	}
	p.apply(w, statemachine.Arrived{From: next.from, Message: next.message})
}

func (w *World) hold(held item, rounds int) {
	at := w.round + max(rounds, 1)
	w.later[at] = append(w.later[at], held)
}

// perform carries an effect out.
func (w *World) perform(p *process, effect any) {
	switch done := effect.(type) {
	case statemachine.Send:
		if to := w.byAddress[done.To]; to != nil {
			w.queue = append(w.queue, item{
				step:        w.step,
				from:        p.address,
				voter:       p.seated,
				to:          to,
				incarnation: to.incarnation,
				message:     done.Message,
			})
			if change, isChange := done.Message.(message.RosterChange); isChange {
				w.broadcast(p, change)
			}
			return
		}
		if w.fleetReceives(done.To, done.Message) {
			return
		}
		if response, isResponse := done.Message.(message.StoreResponse); isResponse {
			w.answered(p, response)
		}
	case statemachine.Datagram:
		if to := w.byAddress[done.To]; to != nil {
			w.queue = append(w.queue, item{
				step:        w.step,
				from:        p.address,
				voter:       p.seated,
				to:          to,
				incarnation: to.incarnation,
				message:     done.Message,
				datagram:    true,
			})
		}
	case statemachine.Write:
		write := done
		w.queue = append(w.queue, item{step: w.step, to: p, incarnation: p.incarnation, write: &write})
	case statemachine.Event:
		w.event(p, done)
	case statemachine.Report:
		sent, isUsage := done.Body.(registry.UsageReport)
		if !isUsage {
			panic(fmt.Sprintf("explore: %s reports a %T, want a usage report", p.name(), done.Body))
		}
		w.reports(p, sent)
	case statemachine.Reply:
		if p.leaving {
			w.after(1, func() { w.retire(p) })
		}
	}
}

func (w *World) retire(p *process) {
	p.stop(0)
	p.gone, p.seated = true, false
}

func (w *World) event(p *process, event statemachine.Event) {
	w.note("%s EVENT %s %d %s", p.name(), event.EventName, event.Epoch, event.Cause)
	switch event.EventName {
	case "group-formed", "voter-recovered":
		p.seated = true
	case "voter-lost", "voter-removed", "voter-released":
		p.seated = false
	case "lease-taken":
		tag, _, _ := strings.Cut(event.Cause, " by ")
		held, incarnation := fmt.Sprintf("epoch %d of %s", event.Epoch, tag), incarnationName(p)
		if other, taken := w.holders[held]; taken && other != incarnation {
			w.violate("one-holder-an-epoch", "%s is held by %s and was by %s", held, incarnation, other)
		}
		w.holders[held] = incarnation
		w.checkDecidedList(p)
	case "config-log-serving", "configuration-committed", "usage-sealed":
		w.checkDecidedList(p)
	}
}

// answered notes an operator's answer at the moment at which it is sent.
func (w *World) answered(p *process, response message.StoreResponse) {
	asked, known := p.requests[response.RequestID]
	if !known {
		w.violate("one-answer", "%s answers request %d a second time", p.name(), response.RequestID)
		return
	}
	delete(p.requests, response.RequestID)
	w.note("%s answers %+v: %d version %d %s", p.name(), *asked.operation, response.Code, response.Version, response.Detail)
	w.history.answer(w, asked.operation, response)
	if asked.operation.answer.factual() {
		w.checkContact(p, asked)
	}
}

// serving lists the processes that say that they serve.
func (w *World) serving() []*process {
	list := []*process{}
	for _, p := range w.processes {
		if p.up && !p.frozen && p.machine.Serving() {
			list = append(list, p)
		}
	}
	return list
}

// upProcesses lists those that run.
func (w *World) upProcesses() []*process {
	list := slices.Clone(w.processes)
	return slices.DeleteFunc(list, func(p *process) bool { return !p.up || p.gone })
}
