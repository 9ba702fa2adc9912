package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/checker"
	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// Step is one entry of a plan: a fault or an operator's action, its time, target and duration.
type Step struct {
	At     time.Duration `json:"at"`
	Do     string        `json:"do"`
	Target string        `json:"target"`
	For    time.Duration `json:"for"`
}

func (s Step) String() string { return fmt.Sprintf("%s %s %s for %s", s.At, s.Do, s.Target, s.For) }

// loadStart is the simulated time at which callers begin to send requests.
const loadStart = 8 * time.Second

// Result is the outcome of a run.
type Result struct {
	Scenario string
	Seed     uint64
	Plan     []Step
	Review   checker.Review
	Trace    uint64        // hash over all events of the run
	Steps    int64         // events executed
	Good     float64       // share of all requests that were answered
	Last     time.Duration // end of the last fault
	Record   checker.Record
}

// Play executes a plan on a deployment and checks the record. All nodes and upstreams boot within the
// first half second; the first configuration is written after one second.
func Play(options Options) Result {
	w := NewWorld(options)
	for _, name := range w.nodeOrder {
		node := w.nodes[name]
		w.at(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), node.boot)
	}
	for _, key := range w.upstreamOrder {
		u := w.upstreams[key]
		w.at(time.Duration(w.random.Int64N(int64(500*time.Millisecond))), func() { u.start(500 * time.Millisecond) })
	}
	w.at(time.Second, func() {
		w.lastVersion++
		w.writeUntilDecided(w.lastVersion, w.options.Deployment.Tenants(), 0)
	})
	w.scheduleRequest(0, loadStart)
	last := time.Duration(0)
	for _, step := range options.Plan {
		planned := step
		last = max(last, step.At+step.For)
		w.at(step.At, func() { w.runStep(planned) })
	}
	ends := loadStart + options.Load
	w.writesEnd = ends + 10*time.Second
	w.at(time.Second, func() { w.probeReadiness(ends) })
	w.at(2*time.Second, func() { w.readConfigLog(700*time.Millisecond, ends) })
	w.Run(ends + 14*time.Second)
	w.checkCaughtUp()
	w.readBack()
	w.Run(ends + 18*time.Second)
	w.checkWritesFinished()
	w.checkSizeBounds()
	result := Result{Seed: options.Seed, Plan: options.Plan, Trace: w.trace, Steps: w.steps, Last: last}
	result.Review = w.Finish()
	result.Record = w.record
	w.checkRestored(&result)
	return result
}

// checkCaughtUp checks at the end of a run that every store with a vote has the newest acknowledged version.
func (w *World) checkCaughtUp() {
	for _, store := range w.runningNodes(message.RoleConfigStore) {
		machine, isStore := store.control.(*configstore.Machine)
		if isStore && machine.Voting() && newestVersion(store) < w.newestAcknowledged {
			w.fail("%s has version %d at the end, want at least %d, which was acknowledged",
				store.name, newestVersion(store), w.newestAcknowledged)
		}
	}
}

// readBack reads every retained version and every usage window through each running registry.
func (w *World) readBack() {
	// This checks what is read, not how long it takes on slow links.
	w.options.Deployment.CoreLink = 0
	for _, node := range w.runningNodes(message.RoleRegistry) {
		registryNode := node
		registryNode.request(registry.ReadConfiguration{ConfigName: "main", List: true}, func(answer any) {
			response := mustCast[registry.OperatorResponse](answer)
			if response.Code != errcode.OK {
				w.fail("%s failed to list the versions: %s", registryNode.name, response.Code)
				return
			}
			for _, listed := range gjson.GetBytes(response.Body, "versions").Array() {
				version := listed.Int()
				registryNode.request(registry.ReadConfiguration{ConfigName: "main", Version: version}, func(answer any) {
					if response := mustCast[registry.OperatorResponse](answer); response.Code == errcode.OK {
						w.record.StoredVersions = append(w.record.StoredVersions, checker.StoredVersion{
							Voter:      registryNode.voterName(),
							ConfigName: "main",
							Version:    version,
							Digest:     checker.Digest(response.Body),
						})
					}
				})
			}
		})
		for _, report := range w.record.Reported {
			window := report.Window
			registryNode.request(registry.ReadUsage{Window: window}, func(answer any) {
				if response := mustCast[registry.OperatorResponse](answer); response.Code == errcode.OK {
					counts := map[string]int64{}
					gjson.GetBytes(response.Body, "counts").ForEach(func(tenant, count gjson.Result) bool {
						counts[tenant.String()] = count.Int()
						return true
					})
					w.record.StoredUsage = append(w.record.StoredUsage, checker.Reported{
						Window: window,
						From:   registryNode.voterName(),
						Counts: counts,
					})
				}
			})
		}
	}
}

// checkRestored checks that every request sent later than the restore bound (15 s by default) after the
// last fault was answered. It also counts unanswered requests by cause and limits the avoidable refusals.
func (w *World) checkRestored(result *Result) {
	bound := time.Duration(settings.Default().Bounds.Restore) * time.Millisecond
	answeredCount, count := 0, 0
	latest := time.Duration(0)
	for _, request := range w.record.Requests {
		answered := request.Code == 0 && !request.Connection
		count++
		if answered {
			answeredCount++
		}
		if !answered {
			cause := w.unansweredCause(request)
			result.Review.Seen["unanswered: "+cause]++
			if cause == refusedThoughAble {
				result.Review.Seen[fmt.Sprintf("unanswered: %s %s", cause, errcode.Code(request.Code))]++
			}
		}
		if !answered && request.Code != int(errcode.RequestKeyUnknown) && request.Sent > result.Last {
			latest = max(latest, request.Sent-result.Last)
		}
	}
	if count > 0 {
		result.Good = float64(answeredCount) / float64(count)
		result.Review.Worst[refusedThoughAble] = float64(result.Review.Seen["unanswered: "+refusedThoughAble]) / float64(count)
	}
	if share := result.Review.Worst[refusedThoughAble]; share > maxRefusedShare {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{
			Rule:   "refused",
			Detail: fmt.Sprintf("%.4f of all requests were refused although an upstream could have run them", share),
		})
	}
	result.Review.Worst["restore-ms"] = float64(latest.Milliseconds())
	if latest > bound {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{
			Rule:   "restore",
			Detail: fmt.Sprintf("a request %s after the last fault was not answered", latest),
		})
	}
	if len(w.record.Writes) > 0 && len(w.record.StoredVersions) == 0 {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{
			Rule:   "restore",
			Detail: "no configuration could be read back at the end",
		})
	}
	if result.Review.Seen["answered"] == 0 {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{Rule: "empty", Detail: "no request was answered"})
	}
}

// Run plays a named scenario with a seed. The plan and the run have random sources of their own.
func Run(d workload.Deployment, scenario string, seed uint64, rate float64, log func(line string)) Result {
	plan := Scenarios[scenario](d, rand.New(rand.NewPCG(seed, 5)))
	result := Play(options(d, seed, rate, plan, log))
	result.Scenario = scenario
	result.checkDangersReached()
	return result
}

// options returns the options of a run. The load ends at the step "end", or else 18 s after the last fault.
func options(d workload.Deployment, seed uint64, rate float64, plan []Step, log func(line string)) Options {
	last := 12 * time.Second
	for _, step := range plan {
		if step.Do == "end" {
			return Options{Deployment: d, Seed: seed, Rate: rate, Load: step.At - loadStart, Plan: plan, Log: log}
		}
		last = max(last, step.At+step.For)
	}
	return Options{Deployment: d, Seed: seed, Rate: rate, Load: last - loadStart + 18*time.Second, Plan: plan, Log: log}
}

// Shrink removes steps from the plan of a failed run as long as its first broken rule stays broken.
func Shrink(d workload.Deployment, failed Result, rate float64) Result {
	rule := failed.Review.Violations[0].Rule
	smallest := failed
	for again := true; again; {
		again = false
		for index := range smallest.Plan {
			plan := append(append([]Step{}, smallest.Plan[:index]...), smallest.Plan[index+1:]...)
			tried := Play(options(d, failed.Seed, rate, plan, nil))
			for _, violation := range tried.Review.Violations {
				if violation.Rule == rule && !again {
					tried.Scenario = failed.Scenario
					smallest, again = tried, true
				}
			}
			if again {
				break
			}
		}
	}
	return smallest
}
