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

	nodes         map[string]*Node
	nodeOrder     []string
	nodeByAddress map[string]*Node
	addedNodes    int // of machines added

	upstreams            map[string]*Upstream
	upstreamOrder        []string
	upstreamByAddress    map[string]*Upstream // who owns an upstream address now
	strayResponsesUntil  time.Duration        // until when upstreams send stray answers
	record               checker.Record
	callerRequests       []*checker.CallerRequest
	faults               map[string]fault // by the name of a step
	armed                *armedLoss       // the second loss that waits for a newcomer's vote
	votingProcesses      map[string]int   // programs of a machine whose newcomers have their votes
	collectorDownUntil   time.Duration    // until when
	collectorFaultyUntil time.Duration
}

// operatorRecord is what operators sent and were told.
type operatorRecord struct {
	lastVersion         int64
	tenantCount         int // how many tenants the newest configuration has
	configLogOperations []*configLogOperation
	configWrites        []*configWrite
	writesEnd           time.Duration    // operators give up then
	acceptedDigests     map[int64]string // digest of what was confirmed under a version, also by a lost answer
	versionByDigest     map[string]int64 // version by digest of all that was sent
	newestAcknowledged  int64            // version that an operator was told is taken
	answersLostUntil    time.Duration    // until when answers to operators are lost
	lostAnswerShare     float64          // and how many of them
}

// measurements is what a run counts besides the checker's record.
type measurements struct {
	controlMessagesPerSecond map[int64]int // control messages by second
	largestFrameBytes        int
	largestStoreDiskBytes    int            // the most bytes on one store's disk
	dangers                  map[string]int // how often a dangerous moment was reached
	readiness                map[string]*readiness
	refusedThoughServable    map[string]bool // requests refused while some upstream could have run them
	refusedConfigAgeUnknown  map[string]bool // requests refused while no registry in reach knew the configuration current
}

// epoch is the time of day at true time 0, for usage windows.
const epoch = 1_800_000_000 * time.Second

// NewWorld builds a deployment; nothing runs yet.
func NewWorld(options Options) *World {
	w := &World{
		network: newNetwork(),
		operatorRecord: operatorRecord{
			acceptedDigests: map[int64]string{},
			versionByDigest: map[string]int64{},
		},
		measurements: measurements{
			controlMessagesPerSecond: map[int64]int{},
			dangers:                  map[string]int{},
			readiness:                map[string]*readiness{},
			refusedThoughServable:    map[string]bool{},
			refusedConfigAgeUnknown:  map[string]bool{},
		},
		options:           options,
		random:            rand.New(rand.NewPCG(options.Seed, 99)),
		nodes:             map[string]*Node{},
		nodeByAddress:     map[string]*Node{},
		upstreams:         map[string]*Upstream{},
		upstreamByAddress: map[string]*Upstream{},
		faults:            allFaults(),
		votingProcesses:   map[string]int{},
	}
	w.record.Bounds = checker.BriefBounds(options.Deployment.KeyWithdrawalBound)
	w.record.Window, w.record.Epoch = time.Duration(settings.Default().Bounds.UsageWindow)*time.Millisecond, epoch
	w.record.RetainedVersions = int(settings.Default().Limits.RetainedVersions)
	w.tenantCount = len(options.Deployment.Tenants())
	w.addDeployment()
	return w
}

// mark folds a happening into the trace.
func (w *World) traceEvent(format string, values ...any) {
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
func (w *World) nodesByRole(role string) []*Node {
	list := []*Node{}
	for _, name := range w.nodeOrder {
		if w.nodes[name].role == role {
			list = append(list, w.nodes[name])
		}
	}
	return list
}

func (w *World) runningNodes(role string) []*Node {
	list := []*Node{}
	for _, node := range w.nodesByRole(role) {
		if node.up && !node.frozen {
			list = append(list, node)
		}
	}
	return list
}

// Finish closes the record and gives the checker's review, with the simulator's own
// findings.
func (w *World) Finish() checker.Review {
	for _, name := range w.nodeOrder {
		w.nodes[name].closeServiceSpan()
	}
	w.record.End = w.now
	for _, request := range w.callerRequests {
		w.record.Requests = append(w.record.Requests, *request)
	}
	for _, key := range w.upstreamOrder {
		w.record.Executions = append(w.record.Executions, w.upstreams[key].executions...)
		w.record.Peaks = append(w.record.Peaks,
			checker.Peak{Instance: key, MaxRunning: w.upstreams[key].maxRunning, Slots: w.upstreams[key].slots})
	}
	sort.SliceStable(w.record.LeaseTenures, func(i, j int) bool { return w.record.LeaseTenures[i].At < w.record.LeaseTenures[j].At })
	executions := map[string]int{}
	for _, execution := range w.record.Executions {
		executions[execution.ID]++
	}
	w.countLostOnceOnlyResponses(executions)
	review := checker.Check(w.record)
	linearizable, count := w.checkLinearizability()
	review.Seen["book operations"] = count
	for second, messages := range w.controlMessagesPerSecond {
		if second > 3 {
			review.Worst["control-messages-a-second"] = max(review.Worst["control-messages-a-second"], float64(messages))
		}
	}
	for danger, count := range w.dangers {
		review.Seen["danger: "+danger] = count
	}
	review.Worst["largest-frame-bytes"] = float64(w.largestFrameBytes)
	review.Worst["store-disk-bytes"] = float64(w.largestStoreDiskBytes)
	if !linearizable {
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
