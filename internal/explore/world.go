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
	// startTime is the wall clock at the start of a run, since 1970.
	startTime = 1_800_000_000 * time.Second
	// roundDuration is how far the clocks advance per round.
	roundDuration = 50 * time.Millisecond
	// maxItemsPerRound bounds a round in which messages cause further messages endlessly.
	maxItemsPerRound = 2000
	// configName is the configuration that operators write and read.
	configName = "main"
	// retainedVersions is small, so that old versions are dropped during a run.
	retainedVersions = 3
	operators        = 2
)

// item is a message in flight, or a write that is not synced yet.
type item struct {
	sentStep    int64 // value of World.step when it was sent
	from        string
	fromVoter   bool // the sender held a voter at that time
	to          *process
	incarnation int // of to; a restart discards the item
	message     any
	datagram    bool
	write       *statemachine.Write // nil for a message
}

// chooser returns the actions to apply before the item next is processed. next is nil at the start of a round, with
// stepInRound 0, and at its end, with stepInRound above 0.
type chooser interface {
	choose(w *World, next *item) []Action
}

// World is the state of one run: processes, messages in flight, lasting faults, and the history that is checked.
type World struct {
	plan          Plan
	chooser       chooser
	round         int
	stepInRound   int           // items processed in this round
	step          int64         // logical time: counts ticks, items and requests
	now           time.Duration // time since the start of the run
	processes     []*process
	byAddress     map[string]*process
	queue         []item
	delayed       map[int][]item
	timers        map[int][]func()
	cutUntil      map[[2]int]int // by sender and receiver: the round at which the cut ends
	history       history
	decidedLists  []decidedList
	holders       map[string]string // by lease tag and epoch: the incarnation that held it
	fleet         *fleet            // clients of the registries; nil for configuration stores
	faultFreeFrom int               // first round after the last fault has ended
	violation     *Violation
	log           func(line string)
	applied       []Action
	counts        map[Kind]int // applied actions by kind

	crashSeeds  map[int]uint64 // by process: CrashSeed of its last CrashDuringWrite
	crashRounds map[int]int    // by process: Rounds of its last CrashDuringWrite
}

// Violation is a violation of one of the rules that Rules lists.
type Violation struct {
	Rule   string
	Detail string
	Round  int
}

// String returns the round, the rule and the detail.
func (v Violation) String() string { return fmt.Sprintf("round %d: %s: %s", v.Round, v.Rule, v.Detail) }

// newWorld returns a run before its first round, with all voters started. log may be nil.
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

// settingsFor returns a process's settings. The times are short, so that the lease holder changes many times
// within a few hundred rounds; their ratios equal the product's.
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

// processAddress returns the address of the process with this index.
func processAddress(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

// addProcess starts a new process with an empty disk; bootstrap allows it to form a group.
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

// logf writes a line with round and step to the log, if there is one.
func (w *World) logf(format string, values ...any) {
	if w.log != nil {
		w.log(fmt.Sprintf("%4d.%-4d ", w.round, w.stepInRound) + fmt.Sprintf(format, values...))
	}
}

// reportViolation records the first violation, at which the run ends. Rules in Plan.Except are ignored.
func (w *World) reportViolation(rule, format string, values ...any) {
	if w.violation == nil && !slices.Contains(w.plan.Except, rule) {
		w.violation = &Violation{Rule: rule, Detail: fmt.Sprintf(format, values...), Round: w.round}
		w.logf("VIOLATION %s", *w.violation)
	}
}

// schedule runs callback at the start of a later round; rounds below 1 count as 1.
func (w *World) schedule(rounds int, callback func()) {
	at := w.round + max(rounds, 1)
	w.timers[at] = append(w.timers[at], callback)
}

// run runs all rounds, or until a rule is violated.
func (w *World) run() {
	for w.round = 0; w.round < w.plan.Rounds && w.violation == nil; w.round++ {
		w.runRound()
	}
	if w.violation == nil {
		w.checkLinearizability()
		w.checkFleet()
	}
}

// runRound runs one round of the clocks: scheduled callbacks, actions, the fleet, delayed messages and the ticks of
// all processes, then the queue until it is empty.
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
	// A replay may hold actions after the round's last step; they are applied in the same round.
	w.stepInRound = maxItemsPerRound
	w.applyActions(nil)
}

// requeueInbox puts the items that a process received while frozen at the front of the queue.
func (w *World) requeueInbox(p *process) {
	if !p.up || p.frozen || len(p.inbox) == 0 {
		return
	}
	received := p.inbox
	p.inbox = nil
	w.queue = append(received, w.queue...)
}

// applyActions applies the actions that the chooser returns and records those that took effect.
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

// processItem delivers the message or completes the write at the front of the queue.
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

// deliver hands a message to a process, unless the link from the sender is cut.
func (w *World) deliver(p *process, next item) {
	if sender := w.byAddress[next.from]; sender != nil {
		if cutUntil := w.cutUntil[[2]int{sender.index, p.index}]; w.round < cutUntil {
			if !next.datagram {
				// A connection retransmits: the message arrives once the link is back. A datagram is lost.
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

// delay queues an item again at the start of a later round; rounds below 1 count as 1.
func (w *World) delay(delayed item, rounds int) {
	at := w.round + max(rounds, 1)
	w.delayed[at] = append(w.delayed[at], delayed)
}

// perform carries out an effect of a machine.
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

// retire stops a process permanently.
func (w *World) retire(p *process) {
	p.crash(0)
	p.removed, p.hasVoter = true, false
}

// handleEvent updates hasVoter and checks lease epochs and member lists.
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
			w.reportViolation("one-holder-an-epoch", "%s is held by %s and was held by %s", leaseEpoch, incarnation, previous)
		}
		w.holders[leaseEpoch] = incarnation
		w.checkDecidedList(p)
	case "config-log-serving", "configuration-committed", "usage-sealed":
		w.checkDecidedList(p)
	}
}

// recordResponse records and checks a response to an operator when it is sent; it always arrives.
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

// servingProcesses lists the running processes that act as lease holders.
func (w *World) servingProcesses() []*process {
	list := []*process{}
	for _, p := range w.processes {
		if p.up && !p.frozen && p.machine.Serving() {
			list = append(list, p)
		}
	}
	return list
}

// upProcesses lists the processes that are up, frozen ones included.
func (w *World) upProcesses() []*process {
	list := slices.Clone(w.processes)
	return slices.DeleteFunc(list, func(p *process) bool { return !p.up || p.removed })
}
