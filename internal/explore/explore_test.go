package explore

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// configStoreWalks are the groups that every run of the tests walks through.
var configStoreWalks = map[string]struct {
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
	for name, walks := range configStoreWalks {
		t.Run(name, func(t *testing.T) {
			summary := Sweep(walks.options, 1, walks.count, runtime.GOMAXPROCS(0), 0, nil)
			t.Logf("%d walks, %d steps, %d epochs held, %d answers in %s", summary.Walks, summary.Steps, summary.Epochs,
				summary.Answers, summary.Elapsed)
			for rule, found := range summary.Found {
				shrunk := Shrink(found)
				t.Errorf("%s is broken by %d walks: %s\n%s", rule, summary.Broken[rule], shrunk.Violation, shrunk.Plan)
			}
			qt.Assert(t, summary.Epochs > summary.Walks, qt.IsTrue,
				qt.Commentf("%d epochs in %d walks: the lease hardly moved", summary.Epochs, summary.Walks))
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

// The same of registries: roster, usage reports and their fences.
func TestWalksOfRegistriesKeepAllPromises(t *testing.T) {
	if racing {
		t.Skip("each walk is one thread; run without -race")
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
				t.Errorf("%s is broken by %d walks: %s\n%s", rule, summary.Broken[rule], shrunk.Violation, shrunk.Plan)
			}
			qt.Assert(t, summary.Epochs > summary.Walks*2, qt.IsTrue,
				qt.Commentf("%d epochs in %d walks: the leases hardly moved", summary.Epochs, summary.Walks))
			for _, kind := range []Kind{Crash, CrashDuringWrite, LoseDisk, Replace, Cut, Isolate, Freeze, DropFromProxy, AdvanceUpstream} {
				qt.Assert(t, summary.Counts[kind] > 0, qt.IsTrue, qt.Commentf("no %s in %d walks", kind, summary.Walks))
			}
		})
	}
}

// A walk and its replay from text come to the same.
func TestReplayRepeatsTheWalk(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		options := Options{Voters: 3, Rounds: 150, Faults: 10}
		if seed > 5 {
			options = Options{Role: message.RoleRegistry, Voters: 3, Rounds: 320, Faults: 8}
		}
		walked := Walk(options, seed)
		plan, err := ParsePlan("# a remark\n" + walked.Plan.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, plan, qt.DeepEquals, walked.Plan)
		replayed := Replay(plan, nil)
		qt.Assert(t, replayed.Steps, qt.Equals, walked.Steps)
		qt.Assert(t, replayed.Answers, qt.Equals, walked.Answers)
		qt.Assert(t, replayed.Plan, qt.DeepEquals, walked.Plan)
	}
}

func TestParsePlanErrorNamesTheLine(t *testing.T) {
	_, err := ParsePlan("{\"seed\":1}\n{\"round\":\"x\"}")
	qt.Assert(t, strings.HasPrefix(err.Error(), "line 2: "), qt.IsTrue)
	_, err = ParsePlan("# nothing\n")
	qt.Assert(t, err, qt.ErrorMatches, "no plan in .*")
}

// Every single fault at every message and write of four rounds around operators' orders.
func TestSearchOfOneFaultIsExhaustiveAndFindsNoViolation(t *testing.T) {
	if racing {
		t.Skip("each run is one thread; run without -race")
	}
	searched := Search(Options{Voters: 3, Rounds: 70},
		Bounds{From: 10, To: 14, Faults: 1, Length: []int{4, 40}}, 1, runtime.GOMAXPROCS(0), nil)
	t.Logf("%d runs, %d states, %d branches cut, %d steps in %s", searched.Walks, searched.States, searched.Pruned, searched.Steps,
		searched.Elapsed)
	qt.Assert(t, searched.Exhaustive, qt.IsTrue)
	qt.Assert(t, searched.Deepest, qt.Equals, 1)
	qt.Assert(t, searched.Walks > 300, qt.IsTrue)
	for rule, found := range searched.Found {
		t.Errorf("%s: %s\n%s", rule, found.Violation, found.Plan)
	}
}

// Two runs of one plan come to one fingerprint; a lost message that mattered makes another.
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
