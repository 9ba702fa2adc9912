package explore

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// walksOf are the groups that every run of the tests walks through.
var walksOf = map[string]struct {
	options Options
	count   int64
}{
	"three":         {Options{Voters: 3, Rounds: 200, Faults: 10}, 250},
	"three highest": {Options{Voters: 3, Rounds: 200, Faults: 10, Highest: true}, 250},
	"three named":   {Options{Voters: 3, Rounds: 200, Faults: 10, Named: true}, 250},
	"five":          {Options{Voters: 5, Rounds: 200, Faults: 12}, 100},
}

func TestWalksKeepAllPromises(t *testing.T) {
	if racing {
		t.Skip("each walk is one thread; run without -race")
	}
	for name, walks := range walksOf {
		t.Run(name, func(t *testing.T) {
			summary := Sweep(walks.options, 1, walks.count, runtime.GOMAXPROCS(0), 0, nil)
			t.Logf("%d walks, %d steps, %d epochs held, %d answers in %s", summary.Walks, summary.Steps, summary.Epochs, summary.Answers, summary.Took)
			for rule, found := range summary.Found {
				shrunk := Shrink(found)
				t.Errorf("%s is broken by %d walks: %s\n%s", rule, summary.Broken[rule], shrunk.Violation, shrunk.Plan)
			}
			qt.Assert(t, summary.Epochs > summary.Walks, qt.IsTrue, qt.Commentf("%d epochs in %d walks: the lease hardly moved", summary.Epochs, summary.Walks))
			qt.Assert(t, summary.Answers > summary.Walks*5, qt.IsTrue)
			for _, kind := range allFaults {
				if walks.options.Named && (kind == Replace || kind == Join || kind == Leave) {
					continue
				}
				qt.Assert(t, summary.Counts[kind] > 0, qt.IsTrue, qt.Commentf("no %s in %d walks", kind, summary.Walks))
			}
		})
	}
}

// A walk and its replay from text come to the same.
func TestReplayIsTheWalk(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		walked := Walk(Options{Voters: 3, Rounds: 150, Faults: 10}, seed)
		plan, err := ParsePlan("# a remark\n" + walked.Plan.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, plan, qt.DeepEquals, walked.Plan)
		replayed := Replay(plan, nil)
		qt.Assert(t, replayed.Steps, qt.Equals, walked.Steps)
		qt.Assert(t, replayed.Answers, qt.Equals, walked.Answers)
		qt.Assert(t, replayed.Plan, qt.DeepEquals, walked.Plan)
	}
}

func TestParsePlanNamesTheBadLine(t *testing.T) {
	_, err := ParsePlan("{\"seed\":1}\n{\"round\":\"x\"}")
	qt.Assert(t, strings.HasPrefix(err.Error(), "line 2: "), qt.IsTrue)
	_, err = ParsePlan("# nothing\n")
	qt.Assert(t, err, qt.ErrorMatches, "no plan in .*")
}
