// Tests of the control plane under overlapping faults: each run must reach the dangers that it is
// about, and break no rule.
package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/workload"
)

const controlRate = 10 // requests per second; these runs test configuration writes, not traffic

// playControlSeeds runs a scenario with some seeds and returns the sums of the review's counts. No run may
// break a rule.
func playControlSeeds(t *testing.T, deployment, scenario string, seeds ...uint64) map[string]int {
	skipUnderRace(t)
	d, known := workload.Named(deployment)
	qt.Assert(t, known, qt.IsTrue)
	seen := map[string]int{}
	for _, seed := range seeds {
		result := Run(d, scenario, seed, controlRate, nil)
		for _, violation := range result.Review.Violations {
			t.Errorf("%s %s seed %d: %s: %s", deployment, scenario, seed, violation.Rule, violation.Detail)
		}
		if t.Failed() {
			t.Fatalf("replay: simulate --deployment %s --scenario %s --rate %d --count 1 --seed %d --log\n%v", deployment, scenario,
				controlRate, seed, result.Plan)
		}
		for name, count := range result.Review.Seen {
			seen[name] += count
		}
	}
	return seen
}

func TestCutOffNodeAnswersUnavailable(t *testing.T) {
	for deployment, seeds := range map[string][]uint64{"umuyoboro": {1}, "jendela-platform": {1}, "voters-3": {2}} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			seen := playControlSeeds(t, deployment, "cutoff", seeds...)
			requireAtLeast(t, "orders answered by a cut-off node", seen["danger: orders answered by a cut-off node"], 10)
			requireAtLeast(t, "reads answered by a cut-off node", seen["danger: reads answered by a cut-off node"], 20)
			requireAtLeast(t, "views asked of a cut-off node", seen["danger: views asked of a cut-off node"], 20)
		})
	}
}

func TestOneContentUnderOneVersion(t *testing.T) {
	for deployment, seeds := range map[string][]uint64{"small": {1}, "umuyoboro-platform": {1}, "jendela-platform": {2}} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			seen := playControlSeeds(t, deployment, "same-version", seeds...)
			requireAtLeast(t, "answers to operators that were lost", seen["danger: answers to operators that were lost"], 50)
			requireAtLeast(t, "orders sent again that had been taken", seen["danger: orders sent again that had been taken"], 50)
			requireAtLeast(t, "orders sent again that are older than what is kept",
				seen["danger: orders sent again that are older than what is kept"], 20)
			requireAtLeast(t, "rival orders that were refused", seen["danger: rival orders that were refused"], 10)
			requireAtLeast(t, "rival orders that were taken", seen["danger: rival orders that were taken"], 10)
		})
	}
}

// A voter that is down during the last change catches up, although neither another change nor a change
// of the lease holder follows. Without a catch-up of its own it would keep the older version.
func TestVoterThatMissedTheLastChangeCatchesUp(t *testing.T) {
	skipUnderRace(t)
	for _, deployment := range []string{"voters-3", "small"} {
		d, _ := workload.Named(deployment)
		result := Play(options(d, 1, controlRate, []Step{{12 * second, "kill", "core-2", 3 * second}, {13 * second, "put", "", 0}}, nil))
		qt.Assert(t, result.Review.Violations, qt.HasLen, 0, qt.Commentf("%s", deployment))
	}
}

func TestSecondLossRightAfterARepair(t *testing.T) {
	for deployment, seeds := range map[string][]uint64{"voters-3": {1, 2, 3}, "voters-5": {1, 2, 3}, "small": {1}} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			seen := playControlSeeds(t, deployment, "second-loss", seeds...)
			losses := seen["danger: second losses right after a newcomer's vote"] +
				seen["danger: newcomers lost in the middle of a planned replacement"]
			requireAtLeast(t, "losses within a moment of a repair", losses, len(seeds))
			requireAtLeast(t, "orders taken while the second is away", seen["danger: orders taken while the second is away"], 10)
		})
	}
}

func TestHundredsOfChanges(t *testing.T) {
	seen := playControlSeeds(t, "voters-3", "hundreds", 1)
	requireAtLeast(t, "changes acknowledged", seen["danger: changes acknowledged"], 600)
	requireAtLeast(t, "large changes", seen["danger: large changes"], 10)
	requireAtLeast(t, "stores that came back behind", seen["danger: stores that came back behind"], 1)
	requireAtLeast(t, "versions they were behind", seen["danger: versions they were behind"], 200)
}

// All core machines crash at once while a configuration of many routes is in force, on links that take
// seconds to carry its log: writes must be accepted again soon, and requests answered.
func TestLargeConfigurationAfterAllOff(t *testing.T) {
	seen := playControlSeeds(t, "jendela-narrow", "large-all-off", 4, 5)
	requireAtLeast(t, "returns of the whole core with a large configuration",
		seen["danger: returns of the whole core with a large configuration"], 2)
}
