// Tests of the scenarios "wrong-answer" and "once-only": each run reaches its dangers and breaks no
// rule; with one safeguard switched off, it breaks the rule that the safeguard protects.
package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/safeguard"
	"beaconvane/internal/workload"
)

// answersRequestRate is in requests per second; at lower rates the dangers are not reached often enough.
const answersRequestRate = 150

func TestAnswersRuns(t *testing.T) {
	for _, scenario := range []string{"wrong-answer", "once-only"} {
		for _, deployment := range []string{"umuyoboro", "jendela"} {
			t.Run(scenario+" "+deployment, func(t *testing.T) {
				skipUnderRace(t)
				t.Parallel()
				d, _ := workload.Named(deployment)
				result := Run(d, scenario, 1, answersRequestRate, nil)
				for _, violation := range result.Review.Violations {
					t.Errorf("%s: %s", violation.Rule, violation.Detail)
				}
				for _, danger := range requiredDangers[scenario] {
					t.Logf("%s: %d", danger, result.Review.Seen["danger: "+danger])
				}
			})
		}
	}
}

// Doesn't run in parallel: a safeguard is switched off for the whole process.
func TestAnswersRunsWithoutAcheck(t *testing.T) {
	skipUnderRace(t)
	for _, guarded := range []struct {
		scenario string
		guard    safeguard.Guard
		rule     string
	}{
		{"wrong-answer", safeguard.AnswerOfAnother, "own-answer"},
		{"wrong-answer", safeguard.AnswerWithoutName, "own-answer"},
		{"wrong-answer", safeguard.WholeAnswer, "own-answer"},
		{"once-only", safeguard.OnceOnly, "once"},
		{"once-only", safeguard.NeverAttached, "once"},
		{"once-only", safeguard.NoPromiseAfterRun, "busy-ran"},
	} {
		t.Run(guarded.scenario+" "+guarded.guard.String(), func(t *testing.T) {
			safeguard.Without(t, guarded.guard)
			d, _ := workload.Named("umuyoboro")
			rules := map[string]int{}
			for seed := uint64(1); seed <= 6 && rules[guarded.rule] == 0; seed++ {
				for _, violation := range Run(d, guarded.scenario, seed, answersRequestRate, nil).Review.Violations {
					rules[violation.Rule]++
				}
			}
			t.Logf("%v", rules)
			qt.Assert(t, rules[guarded.rule] > 0, qt.IsTrue)
		})
	}
}
