// This file is the world: true time, the queue of events, the network between nodes
// with delays, loss, cuts and one-way cuts, and the trace, a hash over every delivery
// by which two runs of one seed are compared.

package simulation

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

type event struct {
	at     time.Duration
	number int64
	do     func()
}

type eventQueue []*event

// mustBe returns value as a T. Callbacks and queues carry values of any type; a value of another
// type than the one expected is a programming error of the simulator, so it panics.
func mustBe[T any](value any) T {
	typed, ok := value.(T)
	if !ok {
		panic(fmt.Sprintf("simulation: got a %T, want a %T", value, typed))
	}
	return typed
}
func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event, for package heap.
func (q *eventQueue) Push(item any) {
	*q = append(*q, mustBe[*event](item))
}

// Pop removes the last event, for package heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Options shape a run.
type Options struct {
	Deployment workload.Deployment
	Seed       uint64
	Rate       float64
	Load       time.Duration // how long callers ask, from the eighth second
	Plan       []Step
	Log        func(line string)
}

// World is one run.
type World struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	number  int64
	events  eventQueue
	trace   uint64
	steps   int64

	nodes     map[string]*Node
	order     []string
	byAddress map[string]*Node
	cuts      map[string]int // "from>to" by machine name, counted
	cutSince  map[string]time.Duration
	lastAt    map[string]time.Duration
	links     map[string]*link // by machine
	loss      float64
	delay     time.Duration

	upstreams map[string]*Upstream
	upOrder   []string
	addresses map[string]*Upstream // who owns an upstream address now

	record     checker.Record
	asked      []*checker.Asked
	versions   int64
	serial     int // of machines added
	tenants    int // how many tenants the newest configuration has
	operations []*configLogOperation

	orders      []*order
	ordersEnd   time.Duration            // operators give up then
	taken       map[int64]string         // digest of what was confirmed under a version, also by a lost answer
	contents    map[string]int64         // version by digest of all that was sent
	newestAcked int64                    // version that an operator was told is taken
	answersLost time.Duration            // until when answers to operators are lost
	lostShare   float64                  // and how many of them
	severed     map[string]time.Duration // core machines cut off from all others, since when
	faults      map[string]fault         // by the name of a step
	armed       *armedLoss               // the second loss that waits for a newcomer's vote
	voting      map[string]int           // programs of a machine whose newcomers have their votes
	diskMost    int                      // the most bytes on one store's disk

	sent     map[int64]int // control messages by second
	frameMax int

	collectorDown time.Duration // until when
	collectorOdd  time.Duration
	strayUntil    time.Duration  // until when upstreams send stray answers
	dangers       map[string]int // how often a dangerous moment was reached
	readiness     map[string]*readiness
	couldServe    map[string]bool // requests refused while some upstream could have run them
	unvouched     map[string]bool // requests refused while no registry in reach knew the configuration current
	broken        []string
}

// epoch is the time of day at true time 0, for usage windows.
const epoch = 1_800_000_000 * time.Second

// NewWorld builds a deployment; nothing runs yet.
func NewWorld(options Options) *World {
	w := &World{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 99)),
		nodes:      map[string]*Node{},
		byAddress:  map[string]*Node{},
		cuts:       map[string]int{},
		cutSince:   map[string]time.Duration{},
		lastAt:     map[string]time.Duration{},
		links:      map[string]*link{},
		upstreams:  map[string]*Upstream{},
		addresses:  map[string]*Upstream{},
		sent:       map[int64]int{},
		dangers:    map[string]int{},
		readiness:  map[string]*readiness{},
		couldServe: map[string]bool{},
		unvouched:  map[string]bool{},
		taken:      map[int64]string{},
		contents:   map[string]int64{},
		faults:     allFaults(),
		severed:    map[string]time.Duration{},
		voting:     map[string]int{},
		loss:       0.002,
		delay:      300 * time.Microsecond,
	}
	w.record.Bounds = checker.BriefBounds(options.Deployment.Withdrawal)
	w.record.Window, w.record.Epoch = time.Duration(settings.Default().Bounds.UsageWindow)*time.Millisecond, epoch
	w.record.KeptMost = int(settings.Default().Limits.KeptConfigurations)
	w.tenants = len(options.Deployment.Tenants())
	w.build()
	return w
}

func (w *World) at(when time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, &event{max(when, w.now), w.number, do})
}

func (w *World) after(wait time.Duration, do func()) { w.at(w.now+wait, do) }

// Run plays until a true time.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := mustBe[*event](heap.Pop(&w.events))
		w.now = next.at
		w.steps++
		next.do()
	}
	w.now = until
}

// mark folds a happening into the trace.
func (w *World) mark(format string, values ...any) {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d|%d|", w.trace, w.now)
	fmt.Fprintf(hash, format, values...)
	w.trace = hash.Sum64()
	if w.options.Log != nil {
		w.options.Log(fmt.Sprintf("%12s ", w.now) + fmt.Sprintf(format, values...))
	}
}

// Trace is the hash over all that happened.
func (w *World) Trace() uint64 { return w.trace }

func (w *World) linked(from, to *Node) bool { return w.cuts[from.machine+">"+to.machine] == 0 }

func (w *World) cut(from, to string, by int) {
	w.cuts[from+">"+to] += by
	for _, machine := range []string{from, to} {
		healed := machine
		if !w.cutOff(machine) {
			// What waited on its connections is through a moment later.
			w.after(time.Second, func() {
				if !w.cutOff(healed) {
					delete(w.cutSince, healed)
				}
			})
		} else if _, already := w.cutSince[machine]; !already {
			w.cutSince[machine] = w.now
		}
	}
}

// cutOff: some link of the machine is cut.
func (w *World) cutOff(machine string) bool {
	for pair, count := range w.cuts {
		if count > 0 && (strings.HasPrefix(pair, machine+">") || strings.HasSuffix(pair, ">"+machine)) {
			return true
		}
	}
	return false
}

func (w *World) transit() time.Duration {
	wait := w.delay + time.Duration(w.random.Int64N(int64(w.delay)))
	if w.random.IntN(200) == 0 {
		wait += time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
	}
	return wait
}

// send carries a control message: in order on a connection. Over a cut it is kept back and
// comes late, or is lost with the connection.
func (w *World) send(from *Node, to string, msg any) {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	w.sent[int64(w.now/time.Second)]++
	w.frameMax = max(w.frameMax, len(frame))
	target, found := w.byAddress[to]
	if !found {
		return
	}
	lane := from.address() + ">" + to
	arrival := max(w.passLinks(from, target, len(frame)), w.lastAt[lane])
	life := target.life
	var deliver func()
	deliver = func() {
		if !target.up || target.life != life {
			return
		}
		if !w.linked(from, target) {
			if w.random.IntN(3) == 0 {
				return
			}
			w.after(200*time.Millisecond, deliver)
			return
		}
		target.arrive(from.address(), frame)
	}
	w.lastAt[lane] = arrival
	w.at(arrival, deliver)
}

func (w *World) datagram(from *Node, to string, msg any) {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	if len(frame) > 1400 {
		w.broken = append(w.broken, fmt.Sprintf("datagram of %d bytes: %T", len(frame), msg))
	}
	target, found := w.byAddress[to]
	if !found || !w.linked(from, target) || w.random.Float64() < w.loss || w.crowded(from, target) {
		return
	}
	w.at(w.passLinks(from, target, len(frame)), func() {
		if target.up && w.linked(from, target) {
			target.arrive(from.address(), frame)
		}
	})
}

// Names of nodes by role.
func (w *World) of(role string) []*Node {
	list := []*Node{}
	for _, name := range w.order {
		if w.nodes[name].role == role {
			list = append(list, w.nodes[name])
		}
	}
	return list
}

func (w *World) alive(role string) []*Node {
	list := []*Node{}
	for _, nodeName := range w.of(role) {
		if nodeName.up && !nodeName.frozen {
			list = append(list, nodeName)
		}
	}
	return list
}

// Finish closes the record and gives the checker's review, with the simulator's own
// findings.
func (w *World) Finish() checker.Review {
	for _, name := range w.order {
		w.nodes[name].closeSpan()
	}
	w.record.End = w.now
	for _, asked := range w.asked {
		w.record.Asked = append(w.record.Asked, *asked)
	}
	for _, key := range w.upOrder {
		w.record.Ran = append(w.record.Ran, w.upstreams[key].runs...)
		w.record.Peaks = append(w.record.Peaks, checker.Peak{Instance: key, Most: w.upstreams[key].most, Slots: w.upstreams[key].slots})
	}
	sort.SliceStable(w.record.Keeping, func(i, j int) bool { return w.record.Keeping[i].At < w.record.Keeping[j].At })
	runs := map[string]int{}
	for _, ran := range w.record.Ran {
		runs[ran.ID]++
	}
	w.countUnsure(runs)
	review := checker.Check(w.record)
	sound, count := w.linear()
	review.Seen["book operations"] = count
	for second, messages := range w.sent {
		if second > 3 {
			review.Worst["control-messages-a-second"] = max(review.Worst["control-messages-a-second"], float64(messages))
		}
	}
	for danger, count := range w.dangers {
		review.Seen["danger: "+danger] = count
	}
	review.Worst["largest-frame-bytes"] = float64(w.frameMax)
	review.Worst["store-disk-bytes"] = float64(w.diskMost)
	if !sound {
		review.Violations = append(review.Violations, checker.Violation{
			Rule:   "config-log-order",
			Detail: fmt.Sprintf("%d puts and reads fit no order", count),
		})
	}
	for _, text := range w.broken {
		review.Violations = append(review.Violations, checker.Violation{Rule: "simulator", Detail: text})
	}
	return review
}

// Fail adds a finding of the scenario's own.
func (w *World) fail(format string, values ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, values...))
}
