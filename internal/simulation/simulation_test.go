// Runs with fixed seeds. Each seed either failed before a fault was fixed, or covers a scenario that must
// break no rule. cmd/simulate runs sweeps over many seeds.
package simulation

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/workload"
)

// testRate is in requests per second.
const testRate = 60

// skipUnderRace skips a test under the race detector, which can find nothing in a run of one thread.
func skipUnderRace(t *testing.T) {
	if raceEnabled {
		t.Skip("a run uses one thread; run without -race")
	}
}

// playScenario runs a scenario with a seed. The run must break no rule.
func playScenario(t *testing.T, deployment, scenario string, seed uint64) Result {
	skipUnderRace(t)
	d, known := workload.Named(deployment)
	qt.Assert(t, known, qt.IsTrue)
	result := Run(d, scenario, seed, testRate, nil)
	for _, violation := range result.Review.Violations {
		t.Errorf("%s %s seed %d: %s: %s", deployment, scenario, seed, violation.Rule, violation.Detail)
	}
	if t.Failed() {
		t.Logf("replay: simulate --deployment %s --scenario %s --rate %d --count 1 --seed %d --log\n%v", deployment, scenario, testRate,
			seed, result.Plan)
	}
	return result
}

// Two runs of one seed have the same trace; runs of different seeds have different ones.
func TestSameSeedSameTrace(t *testing.T) {
	d, _ := workload.Named("small")
	first, second, other := Run(d, "any", 3, testRate, nil), Run(d, "any", 3, testRate, nil), Run(d, "any", 4, testRate, nil)
	qt.Assert(t, first.Trace, qt.Equals, second.Trace)
	qt.Assert(t, first.Steps, qt.Equals, second.Steps)
	qt.Assert(t, other.Trace, qt.Not(qt.Equals), first.Trace)
}

// Without faults no lease is taken over from a running holder.
func TestCalmHasNoTakeovers(t *testing.T) {
	for _, deployment := range []string{"umuyoboro", "jendela"} {
		result := playScenario(t, deployment, "calm", 1)
		qt.Assert(t, result.Review.Seen["takeovers"], qt.Equals, 0)
		qt.Assert(t, result.Good, qt.Equals, 1.0)
	}
}

func TestFixedSeeds(t *testing.T) {
	for _, fixed := range []struct {
		deployment, scenario string
		seed                 uint64
	}{
		{"umuyoboro", "disks-lost", 9},           // an epoch was used twice and an acknowledged configuration was lost
		{"umuyoboro", "freeze", 7},               // request abandoned while its outcome was decided: answered busy although it had run
		{"umuyoboro", "core-cut", 20},            // children of a partitioned voter moved to parents behind the same voter
		{"umuyoboro", "all-killed", 1},           // usage counts were lost when the whole fleet crashed
		{"umuyoboro", "core-cut", 9},             // the last-resort parent choice returned to the same stale root
		{"umuyoboro", "holder-killed", 19},       // after a split vote the voters lost the previous lease holder
		{"umuyoboro", "any-fleet", 27},           // the holder crashed after the acknowledgement, before its push was complete
		{"umuyoboro", "cut-and-killed", 2},       // a restarted serving proxy denied requests that its earlier incarnation had started
		{"umuyoboro", "upstreams", 5},            // the new owner of an address got the old owner's requests
		{"umuyoboro", "two-disks-lost", 3},       // empty machines founded a new group, and later filled two voters at once
		{"jendela", "usurped", 6},                // the replaced machine was still treated as the lease holder
		{"umuyoboro", "restarted-behind-cut", 1}, // covers the scenario
		{"jendela", "any-fleet", 2},              // covers the scenario
		{"umuyoboro", "stale-root", 1},           // a restarted proxy accepted an older configuration from a partitioned relay
		{"umuyoboro", "any-fleet", 1193},         // a restarted parent had an older state than its children
		{"umuyoboro", "any-fleet", 1119},         // a former holder returned through voters that had missed its lease
		{"umuyoboro", "any-fleet", 2016},         // usage counts of a crashed proxy were at one other voter only
		{"umuyoboro", "two-disks-lost", 3001},    // a usage lease holder without earlier reports started with windows of an hour before
		{"umuyoboro", "away-and-swapped", 3000},  // a proxy returned after a minute with all its seeds replaced, and no node contacted it
	} {
		t.Run(fmt.Sprintf("%s-%s-%d", fixed.deployment, fixed.scenario, fixed.seed), func(t *testing.T) {
			t.Parallel()
			playScenario(t, fixed.deployment, fixed.scenario, fixed.seed)
		})
	}
}

// Deployments whose core chooses its voters: each run must reach the expected number of votes taken over
// by machines with empty disks, and break no rule.
func TestVotersAreFound(t *testing.T) {
	for _, fixed := range []struct {
		deployment, scenario string
		seed                 uint64
		taken                int
	}{
		{"voters-3", "calm", 1, 0},
		{"voters-3", "core-replaced", 1, 2},
		{"voters-3", "acked-and-wiped", 1, 4},
		{"voters-3", "all-killed", 1, 0},
		{"voters-3", "core-replaced-one-away", 2, 2},
		{"voters-5", "calm", 1, 0},
		{"voters-5", "core-replaced", 1, 2},
		{"voters-5", "acked-and-wiped", 1, 4},
		{"voters-5", "all-killed", 1, 0},
		{"voters-5", "core-replaced-one-away", 1, 2},
		{"voters-5", "core-replaced-all-killed", 1, 2},
		{"voters-3-4", "core-replaced", 1, 2},
	} {
		t.Run(fmt.Sprintf("%s-%s-%d", fixed.deployment, fixed.scenario, fixed.seed), func(t *testing.T) {
			t.Parallel()
			result := playScenario(t, fixed.deployment, fixed.scenario, fixed.seed)
			requireAtLeast(t, "voters taken by an empty disk", result.Review.Seen["danger: voters taken by an empty disk"], fixed.taken)
		})
	}
}

// Each zone in turn loses all its core machines for about six seconds. With the voters spread over all
// zones a majority remains and usage reports continue. With two voters in the lost zone, reports wait
// until it is back (6.3 s late with seed 1).
func TestLostZoneDoesNotDelayUsageReports(t *testing.T) {
	t.Parallel()
	const lateAtMost = 3000 // ms; a lease takeover and the retry of a report
	result := playScenario(t, "voters-zones", "zones-lost", 1)
	qt.Assert(t, result.Review.Worst["usage-late-ms"] < lateAtMost, qt.IsTrue, qt.Commentf("%v", result.Review.Worst))
	requireAtLeast(t, "takeovers", result.Review.Seen["takeovers"], 1)
}
