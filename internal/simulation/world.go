package simulation

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// Options shape a run.
type Options struct {
	Deployment workload.Deployment
	Seed       uint64
	Rate       float64
	Load       time.Duration // how long callers ask, from the eighth second
	Plan       []Step
	Log        func(line string)
}

// World is one run: simulated time, the queue of events, the network between nodes with its delays,
// losses and cuts, and the record for the checker. The trace is a hash over every delivery, by which
// two runs of one seed are compared.
type World struct {
	scheduler
	network
	operatorRecord
	measurements
	options  Options
	random   *rand.Rand
	trace    uint64
	failures []string

	nodes     map[string]*Node
	order     []string
	byAddress map[string]*Node
	serial    int // of machines added

	upstreams     map[string]*Upstream
	upstreamOrder []string
	addresses     map[string]*Upstream // who owns an upstream address now
	strayUntil    time.Duration        // until when upstreams send stray answers
	record        checker.Record
	asked         []*checker.CallerRequest
	faults        map[string]fault // by the name of a step
	armed         *armedLoss       // the second loss that waits for a newcomer's vote
	voting        map[string]int   // programs of a machine whose newcomers have their votes
	collectorDown time.Duration    // until when
	collectorOdd  time.Duration
}

// operatorRecord is what operators sent and were told.
type operatorRecord struct {
	versions    int64
	tenants     int // how many tenants the newest configuration has
	operations  []*configLogOperation
	orders      []*order
	ordersEnd   time.Duration    // operators give up then
	taken       map[int64]string // digest of what was confirmed under a version, also by a lost answer
	contents    map[string]int64 // version by digest of all that was sent
	newestAcked int64            // version that an operator was told is taken
	answersLost time.Duration    // until when answers to operators are lost
	lostShare   float64          // and how many of them
}

// measurements is what a run counts besides the checker's record.
type measurements struct {
	sent              map[int64]int // control messages by second
	frameMax          int
	diskMost          int            // the most bytes on one store's disk
	dangers           map[string]int // how often a dangerous moment was reached
	readiness         map[string]*readiness
	couldServe        map[string]bool // requests refused while some upstream could have run them
	refusedUnknownAge map[string]bool // requests refused while no registry in reach knew the configuration current
}

// epoch is the time of day at true time 0, for usage windows.
const epoch = 1_800_000_000 * time.Second

// NewWorld builds a deployment; nothing runs yet.
func NewWorld(options Options) *World {
	w := &World{
		network: newNetwork(),
		operatorRecord: operatorRecord{
			taken:    map[int64]string{},
			contents: map[string]int64{},
		},
		measurements: measurements{
			sent:              map[int64]int{},
			dangers:           map[string]int{},
			readiness:         map[string]*readiness{},
			couldServe:        map[string]bool{},
			refusedUnknownAge: map[string]bool{},
		},
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 99)),
		nodes:     map[string]*Node{},
		byAddress: map[string]*Node{},
		upstreams: map[string]*Upstream{},
		addresses: map[string]*Upstream{},
		faults:    allFaults(),
		voting:    map[string]int{},
	}
	w.record.Bounds = checker.BriefBounds(options.Deployment.KeyWithdrawalBound)
	w.record.Window, w.record.Epoch = time.Duration(settings.Default().Bounds.UsageWindow)*time.Millisecond, epoch
	w.record.RetainedVersions = int(settings.Default().Limits.RetainedVersions)
	w.tenants = len(options.Deployment.Tenants())
	w.build()
	return w
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

// Names nodesOf nodes by role.
func (w *World) nodesOf(role string) []*Node {
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
	for _, node := range w.nodesOf(role) {
		if node.up && !node.frozen {
			list = append(list, node)
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
		w.record.Requests = append(w.record.Requests, *asked)
	}
	for _, key := range w.upstreamOrder {
		w.record.Executions = append(w.record.Executions, w.upstreams[key].runs...)
		w.record.Peaks = append(w.record.Peaks,
			checker.Peak{Instance: key, MaxRunning: w.upstreams[key].most, Slots: w.upstreams[key].slots})
	}
	sort.SliceStable(w.record.LeaseTenures, func(i, j int) bool { return w.record.LeaseTenures[i].At < w.record.LeaseTenures[j].At })
	runs := map[string]int{}
	for _, ran := range w.record.Executions {
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
	for _, text := range w.failures {
		review.Violations = append(review.Violations, checker.Violation{Rule: "simulator", Detail: text})
	}
	return review
}

// Fail adds a finding of the scenario's own.
func (w *World) fail(format string, values ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, values...))
}
