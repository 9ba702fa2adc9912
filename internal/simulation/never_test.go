// One run for each of the twelve failures that must never happen. A run brings the dangerous situation
// about, counts from the record that it was reached, and breaks no rule. Each of these tests has been
// seen to fail with its safeguard switched off; docs/proof.md names the safeguards and the failures.
package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

const second = time.Second

// playParallel runs a plan in parallel with other tests. The run must break no rule.
func playParallel(t *testing.T, deployment string, seed uint64, rate float64, plan ...Step) Result {
	skipUnderRace(t)
	t.Parallel()
	return playPlan(t, deployment, seed, rate, plan...)
}

// playPlan runs a plan. The run must break no rule.
func playPlan(t *testing.T, deployment string, seed uint64, rate float64, plan ...Step) Result {
	t.Helper()
	d, _ := workload.Named(deployment)
	result := Play(options(d, seed, rate, plan, nil))
	for _, violation := range result.Review.Violations {
		t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
	return result
}

// countRequests counts the requests of a record that match, given the executions of each.
func countRequests(record checker.Record, matches func(request checker.CallerRequest, executions []checker.Execution) bool) int {
	executions, count := map[string][]checker.Execution{}, 0
	for _, execution := range record.Executions {
		executions[execution.ID] = append(executions[execution.ID], execution)
	}
	for _, request := range record.Requests {
		if matches(request, executions[request.ID]) {
			count++
		}
	}
	return count
}

// requireAtLeast logs a count and fails the test if it is below the minimum.
func requireAtLeast(t *testing.T, what string, count, minimum int) {
	t.Logf("%s: %d", what, count)
	qt.Assert(t, count >= minimum, qt.IsTrue, qt.Commentf("%s: %d, want at least %d", what, count, minimum))
}

// outcomeUnknown reports whether the caller was answered with an unknown outcome (codes 32xx).
func outcomeUnknown(request checker.CallerRequest) bool { return request.Code/100 == 32 }

// Point 1: once-only requests ran, and their responses were lost when a serving proxy or an upstream crashed.
func TestNeverTwice(t *testing.T) {
	result := playParallel(t, "umuyoboro", 2, 500,
		Step{12 * second, "herd", "", second},
		Step{14 * second, "upstream-faults", "dispatch/dispatch-2", 6 * second},
		Step{16 * second, "kill", "edge-2", second}, Step{18 * second, "upstream-kill", "dispatch/dispatch-4", second})
	requireAtLeast(t, "once-only requests that ran and whose answer was lost",
		countRequests(result.Record, func(request checker.CallerRequest, executions []checker.Execution) bool {
			return request.Once && len(executions) == 1 && outcomeUnknown(request)
		}), 5)
}

// Point 1, at full rate: the loss of two connections to one serving proxy is reported in either order.
func TestNeverTwiceAtFullRate(t *testing.T) {
	d, _ := workload.Named("umuyoboro")
	random := rand.New(rand.NewPCG(2, 5))
	result := playParallel(t, "umuyoboro", 2, d.Rate, Scenarios["edges-killed"](d, random)...)
	requireAtLeast(t, "once-only requests that ran and whose answer was lost",
		countRequests(result.Record, func(request checker.CallerRequest, executions []checker.Execution) bool {
			return request.Once && len(executions) == 1 && outcomeUnknown(request)
		}), 1)
}

// Point 2: requests that had run and could be retried found no upstream for the next attempt.
func TestNeverBusyAfterRunning(t *testing.T) {
	result := playParallel(t, "umuyoboro", 3, 300,
		Step{11 * second, "upstream-kill", "registry/registry-1", 9 * second},
		Step{11 * second, "upstream-kill", "registry/registry-2", 9 * second},
		Step{12 * second, "upstream-faults", "registry/registry-3", 4 * second},
		Step{17 * second, "service-kill", "dispatch/dispatch-1", 3 * second})
	requireAtLeast(t, "requests that ran and had no second upstream for a retry",
		countRequests(result.Record, func(request checker.CallerRequest, executions []checker.Execution) bool {
			return !request.Once && len(executions) > 0 && executions[0].ResponseSent == 0 && outcomeUnknown(request)
		}), 3)
}

// Point 3: upstreams send the mesh's own error codes, refuse requests themselves, and break off responses.
func TestNeverAnotherAnswer(t *testing.T) {
	result := playParallel(t, "jendela", 4, 120, Step{11 * second, "upstream-faults", "quoting/quoting-1", 6 * second},
		Step{12 * second, "upstream-faults", "booking/booking-2", 6 * second})
	requireAtLeast(t, "answers that claim a code of the mesh's", result.Review.Seen["danger: answers that claim a code of the mesh's"], 50)
	requireAtLeast(t, "callers that got an upstream's own refusal",
		countRequests(result.Record, func(request checker.CallerRequest, _ []checker.Execution) bool {
			return request.Code == 0 && request.Status >= 400
		}), 50)
}

// Point 4: callers forge identity headers and send keys in cookies; upstreams send nested requests with
// delegation tokens.
func TestNeverAnotherName(t *testing.T) {
	result := playParallel(t, "jendela", 5, 120, Step{12 * second, "kill", "edge-3", second}, Step{14 * second, "put", "", 0})
	requireAtLeast(t, "forged requests", result.Review.Seen["danger: requests with forged names and keys in cookies"], 100)
	requireAtLeast(t, "further calls", result.Review.Seen["danger: further calls"], 100)
}

// Point 5: machines of upstreams vanish without closing connections, and other upstreams get their addresses.
func TestNeverAtAnHeir(t *testing.T) {
	plan := []Step{}
	for index, name := range []string{"dispatch/dispatch-1", "registry/registry-2", "dispatch/dispatch-3", "registry/registry-3",
		"dispatch/dispatch-5"} {
		plan = append(plan, Step{time.Duration(11+index) * second, "upstream-vanish", name, 20 * time.Millisecond})
	}
	result := playParallel(t, "umuyoboro", 6, 400, plan...)
	requireAtLeast(t, "connections reset by an address's new owner",
		result.Review.Seen["danger: connections reset by an address's new owner"], 3)
}

// Point 6: a configuration is written while a voter is partitioned; proxies that get updates from it restart.
func TestNeverAnOlderConfiguration(t *testing.T) {
	result := playParallel(t, "umuyoboro", 1, testRate,
		Step{10 * second, "cut-core", "core-1", 8 * second},
		Step{11 * second, "put", "", 0},
		Step{14500 * time.Millisecond, "kill", "edge-1", 300 * time.Millisecond},
		Step{15 * second, "kill", "edge-4", 300 * time.Millisecond},
		Step{15500 * time.Millisecond, "kill", "edge-7", 300 * time.Millisecond},
		Step{15800 * time.Millisecond, "kill", "edge-10", 300 * time.Millisecond})
	incarnations := 0
	for _, span := range result.Record.Up {
		if span.StartedAt > 14*second && span.StartedAt < 18*second {
			incarnations++
		}
	}
	requireAtLeast(t, "incarnations started while a voter with the older configuration was partitioned", incarnations, 4)
	requireAtLeast(t, "arrivals of configurations", result.Review.Seen["configuration arrivals"], 12)
}

// Point 7: a key is withdrawn while a proxy is isolated for longer than the bound; its callers continue
// to use that key.
func TestNeverAWithdrawnKey(t *testing.T) {
	result := playParallel(t, "jendela", 7, 200, Step{12 * second, "isolate", "edge-1", 10 * second}, Step{13 * second, "withdraw", "", 0})
	write := result.Record.Writes[len(result.Record.Writes)-1]
	requireAtLeast(t, "requests with the key at the isolated proxy, refused after the bound",
		countRequests(result.Record, func(request checker.CallerRequest, _ []checker.Execution) bool {
			_, valid := write.Keys[request.Key]
			return request.Proxy == "edge-1" && !valid && request.Sent > write.At+5*second && request.Code == int(errcode.BusyStale)
		}), 3)
	requireAtLeast(t, "requests with the key at the isolated proxy, run before the bound",
		countRequests(result.Record, func(request checker.CallerRequest, executions []checker.Execution) bool {
			_, valid := write.Keys[request.Key]
			return request.Proxy == "edge-1" && !valid && request.Sent > write.At && len(executions) > 0
		}), 1)
}

// Point 8: upstreams announce their drain to another proxy, while their serving proxy is isolated.
func TestNeverWorkForWhoLeft(t *testing.T) {
	result := playParallel(t, "umuyoboro", 8, 450,
		Step{12 * second, "isolate", "edge-1", 6 * second},
		Step{12100 * time.Millisecond, "upstream-leave-elsewhere", "dispatch/dispatch-1", 5 * second},
		Step{13 * second, "upstream-leave-elsewhere", "dispatch/dispatch-2", 5 * second})
	qt.Assert(t, result.Review.Worst["drain-ms"] > 500, qt.IsTrue,
		qt.Commentf("the isolated serving proxy sent requests to draining upstreams for %v ms, want more than 500",
			result.Review.Worst["drain-ms"]))
	runsAfterDrain := 0
	for _, leaving := range result.Record.DrainStarts {
		runsAfterDrain += countRequests(result.Record, func(request checker.CallerRequest, executions []checker.Execution) bool {
			return len(executions) > 0 && executions[0].Instance == leaving.Instance && executions[0].At > leaving.At
		})
	}
	requireAtLeast(t, "runs at an upstream that had announced its drain to another proxy", runsAfterDrain, 5)
}

// Point 9: one machine after another shuts down gracefully while requests run through it.
func TestNeverDroppedInPlannedWork(t *testing.T) {
	plan := []Step{{24 * second, "upstream-replace", "dispatch/dispatch-1", second}, {25 * second, "put", "", 0}}
	for index, target := range []string{"edge-1", "edge-2", "core-1", "edge-3", "edge-4", "core-2", "edge-5"} {
		plan = append(plan, Step{time.Duration(10+index*2) * second, "stop", target, second})
	}
	result := playParallel(t, "umuyoboro", 9, 300, plan...)
	runningAtStop := 0
	for _, stop := range result.Record.Stopped {
		runningAtStop += countRequests(result.Record, func(request checker.CallerRequest, executions []checker.Execution) bool {
			return len(executions) > 0 && (request.Proxy == stop.Name || executions[0].ServingProxy == stop.Name) &&
				executions[0].At < stop.From &&
				executions[0].ResponseSent > stop.From
		})
	}
	requireAtLeast(t, "requests running at the stop signal", runningAtStop, 5)
}

// Point 10: all upstreams of a service crash and return, so that every request would try every upstream.
func TestNeverAStormOfRetries(t *testing.T) {
	result := playParallel(t, "umuyoboro", 10, 300,
		Step{12 * second, "service-kill", "dispatch/dispatch-1", 2 * second},
		Step{12500 * time.Millisecond, "herd", "", 300 * time.Millisecond},
		Step{18 * second, "service-kill", "dispatch/dispatch-1", 2 * second})
	requireAtLeast(t, "tries again", result.Review.Seen["tries again"], 20)
	requireAtLeast(t, "requests refused because the retry budget was spent",
		countRequests(result.Record, func(request checker.CallerRequest, _ []checker.Execution) bool {
			return request.Code == int(errcode.BusyBudget)
		}), 20)
}

// Point 11: all machines crash early in a usage window, which then contains nothing else.
func TestNeverWrongCounts(t *testing.T) {
	for _, deployment := range []string{"umuyoboro", "jendela"} {
		t.Run(deployment, func(t *testing.T) {
			killed := 15700 * time.Millisecond
			result := playParallel(t, deployment, 11, 300,
				Step{killed, "kill-all", "", 4 * second},
				Step{25 * second, "kill-holder", "usage", second})
			requireAtLeast(t, "answers in the last tenth of a second",
				countRequests(result.Record, func(request checker.CallerRequest, _ []checker.Execution) bool {
					return request.Code == 0 && !request.Connection && request.Done > killed-second/10 && request.Done <= killed
				}), 10)
			requireAtLeast(t, "windows read back", result.Review.Seen["windows read back"], 12)
		})
	}
}

// Point 12: a partitioned voter misses a configuration; the lease holder that committed it crashes and
// loses its disk as soon as the write is acknowledged, and the voter that missed it becomes the next
// holder of the configuration log. Later all machines crash.
func TestNeverALostConfiguration(t *testing.T) {
	// The next lease holder depends on the seed: seeds are tried until one reaches the danger. No run
	// may break a rule.
	skipUnderRace(t)
	t.Parallel()
	const firstSeed, mostRuns = 11, 12
	for seed := uint64(firstSeed); seed < firstSeed+mostRuns; seed++ {
		result := playPlan(t, "jendela", seed, testRate, Step{9500 * time.Millisecond, "cut-core", "core-2", 2400 * time.Millisecond},
			Step{10 * second, "put-and-kill-disk", "", 3 * second},
			Step{18 * second, "put-and-kill", "", second},
			Step{22 * second, "kill-all", "", second})
		laggardHeldLease := false
		holders := map[string]bool{}
		for _, tenure := range result.Record.LeaseTenures {
			if tenure.LeaseName != settings.ConfigLogLease {
				continue
			}
			holders[tenure.Voter] = true
			laggardHeldLease = laggardHeldLease || tenure.Voter == "core-2" && tenure.At > result.Record.Writes[1].At
		}
		if laggardHeldLease {
			requireAtLeast(t, "holders of the log", len(holders), 2)
			requireAtLeast(t, "versions read back", result.Review.Seen["versions read back"], 9)
			return
		}
	}
	t.Fatal("no seed made the voter that had missed the configuration the holder of the log")
}
