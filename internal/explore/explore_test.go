package explore

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// configStoreWalks lists the groups of configuration stores that are explored, with the number of walks of each.
var configStoreWalks = map[string]struct {
	options Options
	count   int64
}{
	"three":         {Options{Voters: 3, Rounds: 200, Faults: 10}, 250},
	"three highest": {Options{Voters: 3, Rounds: 200, Faults: 10, Highest: true}, 250},
	"three named":   {Options{Voters: 3, Rounds: 200, Faults: 10, Named: true}, 250},
	"five":          {Options{Voters: 5, Rounds: 200, Faults: 12}, 100},
}

// Random walks of configuration stores violate no rule. The lease must move and every kind of fault must occur, or the
// walks would check little.
func TestWalksKeepAllPromises(t *testing.T) {
	if racing {
		t.Skip("each walk is single-threaded; run without -race")
	}
	for name, walks := range configStoreWalks {
		t.Run(name, func(t *testing.T) {
			summary := Sweep(walks.options, 1, walks.count, runtime.GOMAXPROCS(0), 0, nil)
			t.Logf("%d walks, %d steps, %d epochs held, %d answers in %s", summary.Walks, summary.Steps, summary.Epochs,
				summary.Answers, summary.Elapsed)
			for rule, found := range summary.Found {
				shrunk := Shrink(found)
				t.Errorf("rule %s is violated by %d walks: %s\n%s", rule, summary.Broken[rule], shrunk.Violation, shrunk.Plan)
			}
			qt.Assert(t, summary.Epochs > summary.Walks, qt.IsTrue,
				qt.Commentf("%d epochs in %d walks: the lease rarely changed hands", summary.Epochs, summary.Walks))
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

// Random walks of registries violate no rule on the roster, the usage reports and their fencing epochs.
func TestWalksOfRegistriesKeepAllPromises(t *testing.T) {
	if racing {
		t.Skip("each walk is single-threaded; run without -race")
	}
	for name, walks := range map[string]struct {
		options Options
		count   int64
	}{
		"three": {Options{Role: message.RoleRegistry, Voters: 3, Rounds: 320, Faults: 8}, 200},
		"five":  {Options{Role: message.RoleRegistry, Voters: 5, Rounds: 320, Faults: 10}, 40},
	} {
		t.Run(name, func(t *testing.T) {
			summary := Sweep(walks.options, 1, walks.count, runtime.GOMAXPROCS(0), 0, nil)
			t.Logf("%d walks, %d steps, %d epochs held in %s", summary.Walks, summary.Steps, summary.Epochs, summary.Elapsed)
			for rule, found := range summary.Found {
				shrunk := Shrink(found)
				t.Errorf("rule %s is violated by %d walks: %s\n%s", rule, summary.Broken[rule], shrunk.Violation, shrunk.Plan)
			}
			qt.Assert(t, summary.Epochs > summary.Walks*2, qt.IsTrue,
				qt.Commentf("%d epochs in %d walks: the leases rarely changed hands", summary.Epochs, summary.Walks))
			for _, kind := range []Kind{Crash, CrashDuringWrite, LoseDisk, Replace, Cut, Isolate, Freeze, DropFromProxy, AdvanceUpstream} {
				qt.Assert(t, summary.Counts[kind] > 0, qt.IsTrue, qt.Commentf("no %s in %d walks", kind, summary.Walks))
			}
		})
	}
}

// The replay of a walk's printed plan takes the same steps and has the same result as the walk.
func TestReplayRepeatsTheWalk(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		options := Options{Voters: 3, Rounds: 150, Faults: 10}
		if seed > 5 {
			options = Options{Role: message.RoleRegistry, Voters: 3, Rounds: 320, Faults: 8}
		}
		walked := Walk(options, seed)
		plan, err := ParsePlan("# a comment\n" + walked.Plan.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, plan, qt.DeepEquals, walked.Plan)
		replayed := Replay(plan, nil)
		qt.Assert(t, replayed.Steps, qt.Equals, walked.Steps)
		qt.Assert(t, replayed.Answers, qt.Equals, walked.Answers)
		qt.Assert(t, replayed.Plan, qt.DeepEquals, walked.Plan)
	}
}

// A parse error names the line, and a text without a plan is an error.
func TestParsePlanErrorNamesTheLine(t *testing.T) {
	_, err := ParsePlan("{\"seed\":1}\n{\"round\":\"x\"}")
	qt.Assert(t, strings.HasPrefix(err.Error(), "line 2: "), qt.IsTrue)
	_, err = ParsePlan("# only a comment\n")
	qt.Assert(t, err, qt.ErrorMatches, "no plan in .*")
}

// The search tries every single fault at every critical message and write of four rounds around operators' writes. It
// must complete and find no violation.
func TestSearchOfOneFaultIsExhaustiveAndFindsNoViolation(t *testing.T) {
	if racing {
		t.Skip("each run is single-threaded; run without -race")
	}
	searched := Search(Options{Voters: 3, Rounds: 70},
		Bounds{From: 10, To: 14, Faults: 1, Length: []int{4, 40}}, 1, runtime.GOMAXPROCS(0), nil)
	t.Logf("%d runs, %d states, %d branches cut, %d steps in %s", searched.Walks, searched.States, searched.Pruned, searched.Steps,
		searched.Elapsed)
	qt.Assert(t, searched.Exhaustive, qt.IsTrue)
	qt.Assert(t, searched.Deepest, qt.Equals, 1)
	qt.Assert(t, searched.Walks > 300, qt.IsTrue)
	for rule, found := range searched.Found {
		t.Errorf("rule %s is violated: %s\n%s", rule, found.Violation, found.Plan)
	}
}

// Two runs of the same plan have the same fingerprint; a write or a lasting isolation changes it.
func TestFingerprintDistinguishesStates(t *testing.T) {
	stateAfter := func(actions ...Action) uint64 {
		w := newWorld(Plan{Role: message.RoleConfigStore, Seed: 1, Voters: 3, Rounds: 13}, &replayer{actions}, nil)
		w.run()
		return w.fingerprint()
	}
	write := Action{Round: 11, Kind: SendWrite, Node: 2, Version: 1, Content: 1}
	qt.Assert(t, stateAfter(), qt.Equals, stateAfter())
	qt.Assert(t, stateAfter(write), qt.Equals, stateAfter(write))
	qt.Assert(t, stateAfter(write), qt.Not(qt.Equals), stateAfter())
	cut := Action{Round: 12, Kind: Isolate, Node: 1, Rounds: 9}
	qt.Assert(t, stateAfter(write, cut), qt.Not(qt.Equals), stateAfter(write))
}
