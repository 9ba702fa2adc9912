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

// Options are the parameters of a run.
type Options struct {
	Deployment workload.Deployment
	Seed       uint64
	Rate       float64
	Load       time.Duration // how long callers send requests, from loadStart (the eighth second) on
	Plan       []Step
	Log        func(line string)
}

// World is one run: simulated time, the queue of events, the network between nodes with its delays,
// losses and partitions, and the record for the checker. The trace is a hash over all logged events, by
// which two runs of one seed are compared.
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
	addedNodes    int // nodes added as replacements, for their addresses

	upstreams            map[string]*Upstream
	upstreamOrder        []string
	upstreamByAddress    map[string]*Upstream // current owner of an upstream address
	strayResponsesUntil  time.Duration        // upstreams send stray responses until then
	record               checker.Record
	callerRequests       []*checker.CallerRequest
	faults               map[string]fault // by step name
	pendingLoss          *armedLoss       // second loss that waits for a replacement's vote
	votingProcesses      map[string]int   // by machine: processes that got a vote on an empty disk
	collectorDownUntil   time.Duration    // the collector accepts no reports until then
	collectorFaultyUntil time.Duration    // the collector loses or delays its answers until then
}

// operatorRecord is what operators sent and how they were answered.
type operatorRecord struct {
	lastVersion         int64
	tenantCount         int // tenants of the newest configuration
	configLogOperations []*configLogOperation
	configWrites        []*configWrite
	writesEnd           time.Duration    // operators stop retrying then
	acceptedDigests     map[int64]string // digest of the content accepted under a version, also if the answer was lost
	versionByDigest     map[string]int64 // of all contents sent
	newestAcknowledged  int64            // newest version acknowledged to an operator
	answersLostUntil    time.Duration    // answers to operators are lost until then
	lostAnswerShare     float64          // share of the answers that are lost
}

// measurements are the counts of a run besides the checker's record.
type measurements struct {
	controlMessagesPerSecond map[int64]int // by second of simulated time
	largestFrameBytes        int
	largestStoreDiskBytes    int            // as the sum of its files
	dangers                  map[string]int // how often each dangerous situation was reached
	readiness                map[string]*readiness
	refusedThoughServable    map[string]bool // by request ID: refused although an upstream could have run it
	refusedConfigAgeUnknown  map[string]bool // by request ID: refused while no reachable registry knew the configuration to be current
}

// epoch is the wall-clock time at simulated time 0, since the Unix epoch. Usage windows depend on it.
const epoch = 1_800_000_000 * time.Second

// NewWorld builds a deployment. Its nodes and upstreams are not started.
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

// traceEvent adds an event to the trace and logs it.
func (w *World) traceEvent(format string, values ...any) {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d|%d|", w.trace, w.now)
	fmt.Fprintf(hash, format, values...)
	w.trace = hash.Sum64()
	if w.options.Log != nil {
		w.options.Log(fmt.Sprintf("%12s ", w.now) + fmt.Sprintf(format, values...))
	}
}

// Trace returns the hash over all events so far.
func (w *World) Trace() uint64 { return w.trace }

// nodesByRole returns the nodes of a role in the order in which they were added.
func (w *World) nodesByRole(role string) []*Node {
	list := []*Node{}
	for _, name := range w.nodeOrder {
		if w.nodes[name].role == role {
			list = append(list, w.nodes[name])
		}
	}
	return list
}

// runningNodes returns the nodes of a role that are up and not frozen.
func (w *World) runningNodes(role string) []*Node {
	list := []*Node{}
	for _, node := range w.nodesByRole(role) {
		if node.up && !node.frozen {
			list = append(list, node)
		}
	}
	return list
}

// Finish completes the record and returns the checker's review, extended by the simulator's own
// measurements and violations.
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
			Detail: fmt.Sprintf("%d puts and reads are not linearizable", count),
		})
	}
	for _, text := range w.failures {
		review.Violations = append(review.Violations, checker.Violation{Rule: "simulator", Detail: text})
	}
	return review
}

// fail adds a violation found by the simulator itself.
func (w *World) fail(format string, values ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, values...))
}
