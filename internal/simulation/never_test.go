// One run for each point that must never happen: it brings the failure about, counts
// from the record that the dangerous moment was reached, and keeps the promise. Each
// was seen red with its guard taken out; docs/proof.md names guards and what went red.
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

// simulate plays a plan beside other tests; no promise may break.
func simulate(t *testing.T, deployment string, seed uint64, rate float64, plan ...Step) Result {
	oneThread(t)
	t.Parallel()
	return playUnbroken(t, deployment, seed, rate, plan...)
}

// playUnbroken plays a plan; no promise may break.
func playUnbroken(t *testing.T, deployment string, seed uint64, rate float64, plan ...Step) Result {
	t.Helper()
	d, _ := workload.Named(deployment)
	result := Play(options(d, seed, rate, plan, nil))
	for _, violation := range result.Review.Violations {
		t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
	return result
}

// counted counts the requests of a record for which a danger was there.
func counted(record checker.Record, danger func(asked checker.CallerRequest, runs []checker.Execution) bool) int {
	runs, count := map[string][]checker.Execution{}, 0
	for _, ran := range record.Executions {
		runs[ran.ID] = append(runs[ran.ID], ran)
	}
	for _, asked := range record.Requests {
		if danger(asked, runs[asked.ID]) {
			count++
		}
	}
	return count
}

func reached(t *testing.T, what string, count, least int) {
	t.Logf("%s: %d", what, count)
	qt.Assert(t, count >= least, qt.IsTrue, qt.Commentf("%s: %d, want at least %d", what, count, least))
}

func unknown(asked checker.CallerRequest) bool { return asked.Code/100 == 32 }

// 1: once-only requests ran, and their answers were lost with a serving proxy or an upstream.
func TestNeverTwice(t *testing.T) {
	result := simulate(t, "umuyoboro", 2, 500,
		Step{12 * second, "herd", "", second},
		Step{14 * second, "upstream-faults", "dispatch/dispatch-2", 6 * second},
		Step{16 * second, "kill", "edge-2", second}, Step{18 * second, "upstream-kill", "dispatch/dispatch-4", second})
	reached(t, "once-only requests that ran and whose answer was lost",
		counted(result.Record, func(asked checker.CallerRequest, runs []checker.Execution) bool {
			return asked.Once && len(runs) == 1 && unknown(asked)
		}), 5)
}

// 1, at full rate: the ends of two connections to one serving proxy are told in either order.
func TestNeverTwiceAtFullRate(t *testing.T) {
	d, _ := workload.Named("umuyoboro")
	random := rand.New(rand.NewPCG(2, 5))
	result := simulate(t, "umuyoboro", 2, d.Rate, Scenarios["edges-killed"](d, random)...)
	reached(t, "once-only requests that ran and whose answer was lost",
		counted(result.Record, func(asked checker.CallerRequest, runs []checker.Execution) bool {
			return asked.Once && len(runs) == 1 && unknown(asked)
		}), 1)
}

// 2: requests that had run and could be tried again found nobody for the next try.
func TestNeverBusyAfterRunning(t *testing.T) {
	result := simulate(t, "umuyoboro", 3, 300,
		Step{11 * second, "upstream-kill", "registry/registry-1", 9 * second},
		Step{11 * second, "upstream-kill", "registry/registry-2", 9 * second},
		Step{12 * second, "upstream-faults", "registry/registry-3", 4 * second},
		Step{17 * second, "service-kill", "dispatch/dispatch-1", 3 * second})
	reached(t, "requests that ran and had no second upstream to go to",
		counted(result.Record, func(asked checker.CallerRequest, runs []checker.Execution) bool {
			return !asked.Once && len(runs) > 0 && runs[0].ResponseSent == 0 && unknown(asked)
		}), 3)
}

// 3: upstreams claim codes of the mesh's, refuse in their own name, and break off.
func TestNeverAnotherAnswer(t *testing.T) {
	result := simulate(t, "jendela", 4, 120, Step{11 * second, "upstream-faults", "quoting/quoting-1", 6 * second},
		Step{12 * second, "upstream-faults", "booking/booking-2", 6 * second})
	reached(t, "answers that claim a code of the mesh's", result.Review.Seen["danger: answers that claim a code of the mesh's"], 50)
	reached(t, "callers told an upstream's own refusal",
		counted(result.Record, func(asked checker.CallerRequest, _ []checker.Execution) bool {
			return asked.Code == 0 && asked.Status >= 400
		}), 50)
}

// 4: callers claim to be others, show keys in cookies; upstreams call on by passes.
func TestNeverAnotherName(t *testing.T) {
	result := simulate(t, "jendela", 5, 120, Step{12 * second, "kill", "edge-3", second}, Step{14 * second, "put", "", 0})
	reached(t, "forged requests", result.Review.Seen["danger: requests with forged names and keys in cookies"], 100)
	reached(t, "further calls", result.Review.Seen["danger: further calls"], 100)
}

// 5: machines of upstreams vanish without a word, others get their addresses.
func TestNeverAtAnHeir(t *testing.T) {
	plan := []Step{}
	for index, name := range []string{"dispatch/dispatch-1", "registry/registry-2", "dispatch/dispatch-3", "registry/registry-3",
		"dispatch/dispatch-5"} {
		plan = append(plan, Step{time.Duration(11+index) * second, "upstream-vanish", name, 20 * time.Millisecond})
	}
	result := simulate(t, "umuyoboro", 6, 400, plan...)
	reached(t, "connections reset by an address's new owner", result.Review.Seen["danger: connections reset by an address's new owner"], 3)
}

// 6: a configuration is put while a voter is cut off; proxies behind it restart.
func TestNeverAnOlderConfiguration(t *testing.T) {
	result := simulate(t, "umuyoboro", 1, testRate, Step{10 * second, "cut-core", "core-1", 8 * second}, Step{11 * second, "put", "", 0},
		Step{14500 * time.Millisecond, "kill", "edge-1", 300 * time.Millisecond},
		Step{15 * second, "kill", "edge-4", 300 * time.Millisecond},
		Step{15500 * time.Millisecond, "kill", "edge-7", 300 * time.Millisecond},
		Step{15800 * time.Millisecond, "kill", "edge-10", 300 * time.Millisecond})
	lives := 0
	for _, span := range result.Record.Up {
		if span.StartedAt > 14*second && span.StartedAt < 18*second {
			lives++
		}
	}
	reached(t, "lives begun while a voter with the older configuration was cut off", lives, 4)
	reached(t, "arrivals of configurations", result.Review.Seen["configuration arrivals"], 12)
}

// 7: a key is withdrawn while a proxy is cut off for longer than the bound; callers
// beside it go on with that key.
func TestNeverAWithdrawnKey(t *testing.T) {
	result := simulate(t, "jendela", 7, 200, Step{12 * second, "isolate", "edge-1", 10 * second}, Step{13 * second, "withdraw", "", 0})
	write := result.Record.Writes[len(result.Record.Writes)-1]
	reached(t, "requests with the key at the cut-off proxy past the bound, refused",
		counted(result.Record, func(asked checker.CallerRequest, _ []checker.Execution) bool {
			_, honoured := write.Keys[asked.Key]
			return asked.Proxy == "edge-1" && !honoured && asked.Sent > write.At+5*second && asked.Code == int(errcode.BusyStale)
		}), 3)
	reached(t, "requests with the key at the cut-off proxy before the bound, run",
		counted(result.Record, func(asked checker.CallerRequest, runs []checker.Execution) bool {
			_, honoured := write.Keys[asked.Key]
			return asked.Proxy == "edge-1" && !honoured && asked.Sent > write.At && len(runs) > 0
		}), 1)
}

// 8: upstreams say that they leave to another proxy, while their serving proxy is cut off.
func TestNeverWorkForWhoLeft(t *testing.T) {
	result := simulate(t, "umuyoboro", 8, 450,
		Step{12 * second, "isolate", "edge-1", 6 * second},
		Step{12100 * time.Millisecond, "upstream-leave-elsewhere", "dispatch/dispatch-1", 5 * second},
		Step{13 * second, "upstream-leave-elsewhere", "dispatch/dispatch-2", 5 * second})
	qt.Assert(t, result.Review.Worst["drain-ms"] > 500, qt.IsTrue,
		qt.Commentf("the cut-off home gave work for %v ms", result.Review.Worst["drain-ms"]))
	after := 0
	for _, leaving := range result.Record.DrainStarts {
		after += counted(result.Record, func(asked checker.CallerRequest, runs []checker.Execution) bool {
			return len(runs) > 0 && runs[0].Instance == leaving.Instance && runs[0].At > leaving.At
		})
	}
	reached(t, "runs at an upstream that had said elsewhere that it leaves", after, 5)
}

// 9: every machine stops politely in turn while requests run through it.
func TestNeverDroppedInPlannedWork(t *testing.T) {
	plan := []Step{{24 * second, "upstream-replace", "dispatch/dispatch-1", second}, {25 * second, "put", "", 0}}
	for index, target := range []string{"edge-1", "edge-2", "core-1", "edge-3", "edge-4", "core-2", "edge-5"} {
		plan = append(plan, Step{time.Duration(10+index*2) * second, "stop", target, second})
	}
	result := simulate(t, "umuyoboro", 9, 300, plan...)
	underway := 0
	for _, stop := range result.Record.Stopped {
		underway += counted(result.Record, func(asked checker.CallerRequest, runs []checker.Execution) bool {
			return len(runs) > 0 && (asked.Proxy == stop.Name || runs[0].ServingProxy == stop.Name) && runs[0].At < stop.From &&
				runs[0].ResponseSent > stop.From
		})
	}
	reached(t, "requests running at the signal", underway, 5)
}

// 10: a whole service ends and comes back: every request would try every upstream.
func TestNeverAStormOfRetries(t *testing.T) {
	result := simulate(t, "umuyoboro", 10, 300,
		Step{12 * second, "service-kill", "dispatch/dispatch-1", 2 * second},
		Step{12500 * time.Millisecond, "herd", "", 300 * time.Millisecond},
		Step{18 * second, "service-kill", "dispatch/dispatch-1", 2 * second})
	reached(t, "tries again", result.Review.Seen["tries again"], 20)
	reached(t, "requests refused for the budget", counted(result.Record, func(asked checker.CallerRequest, _ []checker.Execution) bool {
		return asked.Code == int(errcode.BusyBudget)
	}), 20)
}

// 11: everything is killed while a window is young, and nothing else is in it.
func TestNeverWrongCounts(t *testing.T) {
	for _, deployment := range []string{"umuyoboro", "jendela"} {
		t.Run(deployment, func(t *testing.T) {
			killed := 15700 * time.Millisecond
			result := simulate(t, deployment, 11, 300,
				Step{killed, "kill-all", "", 4 * second},
				Step{25 * second, "kill-holder", "usage", second})
			reached(t, "answers in the last tenth of a second",
				counted(result.Record, func(asked checker.CallerRequest, _ []checker.Execution) bool {
					return asked.Code == 0 && !asked.Connection && asked.Done > killed-second/10 && asked.Done <= killed
				}), 10)
			reached(t, "windows read back", result.Review.Seen["windows read back"], 12)
		})
	}
}

// 12: a voter misses a configuration, behind a cut; whoever settled it dies the moment it is
// acknowledged, its disk lost, and the one that missed it holds the configuration log next. Later
// everything dies.
func TestNeverALostConfiguration(t *testing.T) {
	// Who holds the log next is a matter of the seed: runs are played, each unbroken, until
	// the danger was reached.
	oneThread(t)
	t.Parallel()
	const firstSeed, mostRuns = 11, 12
	for seed := uint64(firstSeed); seed < firstSeed+mostRuns; seed++ {
		result := playUnbroken(t, "jendela", seed, testRate, Step{9500 * time.Millisecond, "cut-core", "core-2", 2400 * time.Millisecond},
			Step{10 * second, "put-and-kill-disk", "", 3 * second},
			Step{18 * second, "put-and-kill", "", second},
			Step{22 * second, "kill-all", "", second})
		behind := false
		holders := map[string]bool{}
		for _, keeping := range result.Record.LeaseTenures {
			if keeping.LeaseName != settings.ConfigLogLease {
				continue
			}
			holders[keeping.Voter] = true
			behind = behind || keeping.Voter == "core-2" && keeping.At > result.Record.Writes[1].At
		}
		if behind {
			reached(t, "holders of the log", len(holders), 2)
			reached(t, "versions read back", result.Review.Seen["versions read back"], 9)
			return
		}
	}
	t.Fatal("the voter that had missed the configuration never held the log")
}
