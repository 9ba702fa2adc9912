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
	// startTime is the time of day at the first round.
	startTime = 1_800_000_000 * time.Second
	// roundDuration is how far the clocks go in a round.
	roundDuration = 50 * time.Millisecond
	// maxItemsPerRound bounds a round, should messages beget messages without end.
	maxItemsPerRound = 2000
	// configName is the configuration that the operators write.
	configName = "main"
	// retainedVersions is small, so that old versions are dropped within a run.
	retainedVersions = 3
	operators        = 2
)

// item is a message or a write on its way.
type item struct {
	sentStep    int64 // when it was sent
	from        string
	fromVoter   bool // the sender held a voter when it sent this
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
	plan          Plan
	chooser       chooser
	round         int
	stepInRound   int // steps of this round so far
	step          int64
	now           time.Duration
	processes     []*process
	byAddress     map[string]*process
	queue         []item
	delayed       map[int][]item
	timers        map[int][]func()
	cutUntil      map[[2]int]int // by sender and receiver: the round at which the cut heals
	history       history
	decidedLists  []decidedList
	holders       map[string]string // by tag and epoch: the incarnation that held it
	fleet         *fleet            // of registries; nil for configuration stores
	faultFreeFrom int               // round from which on no fault comes or lasts
	violation     *Violation
	log           func(line string)
	applied       []Action
	counts        map[Kind]int

	crashSeeds  map[int]uint64
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
		delayed:     map[int][]item{},
		timers:      map[int][]func(){},
		cutUntil:    map[[2]int]int{},
		holders:     map[string]string{},
		counts:      map[Kind]int{},
		crashSeeds:  map[int]uint64{},
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

// settingsFor are a process's settings: times are short, so that a run of some hundred
// rounds holds many changes of the holder; their ratios are the product's own.
func (w *World) settingsFor(index int, bootstrap bool) settings.Settings {
	cfg := settings.Default()
	cfg.Node = fmt.Sprintf("n%d", index)
	cfg.Zone, cfg.Zones = "z", []string{"z"}
	cfg.Address = processAddress(index)
	for seed := range w.plan.Voters {
		cfg.Seeds = append(cfg.Seeds, processAddress(seed))
	}
	cfg.WritePolicy = settings.WritesRising
	if w.plan.Highest {
		cfg.WritePolicy = settings.WritesHighest
	}
	if w.plan.Named {
		cfg.Voters = settings.VoterNames(int64(w.plan.Voters))
		cfg.Voter = cfg.Voters[index%w.plan.Voters]
	} else {
		cfg.VoterCount, cfg.Voters, cfg.Bootstrap = int64(w.plan.Voters), settings.VoterNames(int64(w.plan.Voters)), bootstrap
	}
	cfg.Bounds.ConfigurationInForce = 500
	cfg.Bounds.HolderCooldown = 1000
	cfg.Bounds.Restore = 3600
	cfg.Limits.RetainedVersions = retainedVersions
	if w.plan.Role == message.RoleRegistry {
		cfg.Bounds.Heartbeat = 1000
		cfg.Bounds.UsageWindow, cfg.Bounds.UsageReportDelay = windowRounds*roundDuration.Milliseconds(), 1000
		cfg.Collector = "collector"
	}
	return cfg
}

func processAddress(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

func (w *World) addProcess(bootstrap bool) {
	index := len(w.processes)
	p := &process{
		index:    index,
		settings: w.settingsFor(index, bootstrap),
		role:     w.plan.Role,
		address:  processAddress(index),
		disk:     simulation.NewDisk(),
	}
	w.processes = append(w.processes, p)
	w.byAddress[p.address] = p
	p.start(w)
}

func (w *World) logf(format string, values ...any) {
	if w.log != nil {
		w.log(fmt.Sprintf("%4d.%-4d ", w.round, w.stepInRound) + fmt.Sprintf(format, values...))
	}
}

// reportViolation keeps the first broken promise; the run ends there.
func (w *World) reportViolation(rule, format string, values ...any) {
	if w.violation == nil && !slices.Contains(w.plan.Except, rule) {
		w.violation = &Violation{Rule: rule, Detail: fmt.Sprintf(format, values...), Round: w.round}
		w.logf("VIOLATION %s", *w.violation)
	}
}

// schedule does something at the begin of a later round.
func (w *World) schedule(rounds int, callback func()) {
	at := w.round + max(rounds, 1)
	w.timers[at] = append(w.timers[at], callback)
}

// run plays all rounds, or until a promise is broken.
func (w *World) run() {
	for w.round = 0; w.round < w.plan.Rounds && w.violation == nil; w.round++ {
		w.runRound()
	}
	if w.violation == nil {
		w.checkLinearizability()
		w.checkFleet()
	}
}

func (w *World) runRound() {
	w.stepInRound = 0
	w.now += roundDuration
	due := w.timers[w.round]
	delete(w.timers, w.round)
	for _, callback := range due {
		callback()
	}
	w.applyActions(nil)
	w.runFleet()
	w.queue = append(w.queue, w.delayed[w.round]...)
	delete(w.delayed, w.round)
	for _, p := range w.processes {
		w.requeueInbox(p)
		if p.up && !p.frozen {
			w.step++
			p.apply(w, statemachine.Ticked{})
		}
	}
	for len(w.queue) > 0 && w.stepInRound < maxItemsPerRound && w.violation == nil {
		w.stepInRound++
		w.processItem()
	}
	// Actions that a replay has beyond the last step still belong to the round.
	w.stepInRound = maxItemsPerRound
	w.applyActions(nil)
}

// requeueInbox hands a process that was thawed what came meanwhile.
func (w *World) requeueInbox(p *process) {
	if !p.up || p.frozen || len(p.inbox) == 0 {
		return
	}
	received := p.inbox
	p.inbox = nil
	w.queue = append(received, w.queue...)
}

func (w *World) applyActions(next *item) {
	for _, action := range w.chooser.choose(w, next) {
		action.Round, action.Step = w.round, w.stepInRound
		if w.applyAction(action) {
			w.counts[action.Kind]++
			w.faultFreeFrom = max(w.faultFreeFrom, w.round+action.effectRounds()+1)
			w.applied = append(w.applied, action)
		}
	}
}

// processItem delivers the next message or ends the next write.
func (w *World) processItem() {
	if !w.queue[0].datagram {
		w.applyActions(&w.queue[0])
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
		if w.round < p.slowUntil {
			w.delay(next, p.slowUntil-w.round)
			return
		}
		p.sync(w, *next.write)
		return
	}
	w.deliver(p, next)
}

func (w *World) deliver(p *process, next item) {
	if sender := w.byAddress[next.from]; sender != nil {
		if cutUntil := w.cutUntil[[2]int{sender.index, p.index}]; w.round < cutUntil {
			if !next.datagram {
				// A connection keeps what it was given, and may get it through yet.
				w.delay(next, cutUntil-w.round)
			}
			return
		}
		if next.fromVoter {
			p.lastContact[next.from] = max(p.lastContact[next.from], next.sentStep)
		}
	}
	if w.log != nil && !next.datagram {
		w.logf("%s > %s %T %+v", next.from, p.address, next.message, next.message)
	}
	p.apply(w, statemachine.Arrived{From: next.from, Message: next.message})
}

func (w *World) delay(delayed item, rounds int) {
	at := w.round + max(rounds, 1)
	w.delayed[at] = append(w.delayed[at], delayed)
}

// perform carries an effect out.
func (w *World) perform(p *process, effect any) {
	switch effect := effect.(type) {
	case statemachine.Send:
		if to := w.byAddress[effect.To]; to != nil {
			w.queue = append(w.queue, item{
				sentStep:    w.step,
				from:        p.address,
				fromVoter:   p.hasVoter,
				to:          to,
				incarnation: to.incarnation,
				message:     effect.Message,
			})
			if change, isChange := effect.Message.(message.RosterChange); isChange {
				w.recordRosterChange(p, change)
			}
			return
		}
		if w.deliverToProxy(effect.To, effect.Message) {
			return
		}
		if response, isResponse := effect.Message.(message.StoreResponse); isResponse {
			w.recordResponse(p, response)
		}
	case statemachine.Datagram:
		if to := w.byAddress[effect.To]; to != nil {
			w.queue = append(w.queue, item{
				sentStep:    w.step,
				from:        p.address,
				fromVoter:   p.hasVoter,
				to:          to,
				incarnation: to.incarnation,
				message:     effect.Message,
				datagram:    true,
			})
		}
	case statemachine.Write:
		write := effect
		w.queue = append(w.queue, item{sentStep: w.step, to: p, incarnation: p.incarnation, write: &write})
	case statemachine.Event:
		w.handleEvent(p, effect)
	case statemachine.Report:
		report, isUsage := effect.Body.(registry.UsageReport)
		if !isUsage {
			panic(fmt.Sprintf("explore: %s reports a %T, want a usage report", p.name(), effect.Body))
		}
		w.deliverReport(p, report)
	case statemachine.Reply:
		if p.leaving {
			w.schedule(1, func() { w.retire(p) })
		}
	}
}

func (w *World) retire(p *process) {
	p.crash(0)
	p.removed, p.hasVoter = true, false
}

func (w *World) handleEvent(p *process, event statemachine.Event) {
	w.logf("%s EVENT %s %d %s", p.name(), event.EventName, event.Epoch, event.Cause)
	switch event.EventName {
	case "group-formed", "voter-recovered":
		p.hasVoter = true
	case "voter-lost", "voter-removed", "voter-released":
		p.hasVoter = false
	case "lease-taken":
		tag, _, _ := strings.Cut(event.Cause, " by ")
		leaseEpoch, incarnation := fmt.Sprintf("epoch %d of %s", event.Epoch, tag), incarnationName(p)
		if previous, held := w.holders[leaseEpoch]; held && previous != incarnation {
			w.reportViolation("one-holder-an-epoch", "%s is held by %s and was by %s", leaseEpoch, incarnation, previous)
		}
		w.holders[leaseEpoch] = incarnation
		w.checkDecidedList(p)
	case "config-log-serving", "configuration-committed", "usage-sealed":
		w.checkDecidedList(p)
	}
}

// recordResponse notes an operator's answer at the moment at which it is sent.
func (w *World) recordResponse(p *process, response message.StoreResponse) {
	pending, known := p.requests[response.RequestID]
	if !known {
		w.reportViolation("one-answer", "%s answers request %d a second time", p.name(), response.RequestID)
		return
	}
	delete(p.requests, response.RequestID)
	w.logf("%s answers %+v: %d version %d %s", p.name(), *pending.operation, response.Code, response.Version, response.Detail)
	w.history.recordOutcome(w, pending.operation, response)
	if pending.operation.outcome.aboutConfig() {
		w.checkContact(p, pending)
	}
}

// servingProcesses lists the processes that say that they serve.
func (w *World) servingProcesses() []*process {
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
	return slices.DeleteFunc(list, func(p *process) bool { return !p.up || p.removed })
}
