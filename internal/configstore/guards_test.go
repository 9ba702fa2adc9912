package configstore_test

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/configstore"
	"beaconvane/internal/explore"
)

// durabilityRules are the rules of which one is broken first if an acknowledged version is lost or replaced.
const durabilityRules = "durable one-content no-false-refusal linearizable"

// maxWalks is the number of random walks within which a violation must be found.
const maxWalks = 2000

var (
	threeVoters = explore.Options{Voters: 3, Rounds: 200, Faults: 10}
	fiveVoters  = explore.Options{Voters: 5, Rounds: 200, Faults: 12}
)

// withoutContactRule excludes the rule contact, so that the walks find the violations of other rules that
// follow its violation.
func withoutContactRule(options explore.Options) explore.Options {
	options.Except = []string{"contact"}
	return options
}

// disabledGuards lists, for each guard whose absence the walks detect, the options of the exploration, the
// first seed, and the rules of which one must be broken.
var disabledGuards = map[string]struct {
	options explore.Options
	seed    uint64
	rules   string
}{
	// Without confirmedAnswers or majorityCommit the rule contact is broken first. Without majorityCommit
	// acknowledged versions are lost as well, which the walks find with that rule excluded.
	"confirmedAnswers": {threeVoters, 1, "contact"},
	"versionHistory":   {threeVoters, 1, "no-false-refusal"},
	"syncedAppend":     {threeVoters, 1, durabilityRules},
	"majorityCommit":   {withoutContactRule(threeVoters), 1, durabilityRules},
	"majorityRead":     {threeVoters, 1, durabilityRules},
	"highestPosition":  {threeVoters, 1, durabilityRules},
	"committedReads":   {threeVoters, 1297, durabilityRules},
	"recommit":         {threeVoters, 1, durabilityRules},
	"appendInOrder":    {fiveVoters, 701545, durabilityRules},
}

// The exploration finds a violation if any of these guards is disabled. With all of them enabled,
// TestWalksKeepAllPromises of package explore finds none.
func TestExplorationMissesGuards(t *testing.T) {
	if raceEnabled {
		t.Skip("each walk runs on one goroutine; run without -race")
	}
	for name, expected := range disabledGuards {
		t.Run(name, func(t *testing.T) {
			configstore.WithoutGuard(name, func() {
				found, walks, violated := explore.Find(expected.options, expected.seed, maxWalks, runtime.GOMAXPROCS(0))
				qt.Assert(t, violated, qt.IsTrue, qt.Commentf("no violation in %d walks", walks))
				t.Logf("found after %d walks, %d actions: %s", walks, len(found.Plan.Actions), found.Violation)
				qt.Assert(t, strings.Fields(expected.rules), qt.Any(qt.Equals), found.Violation.Rule)
			})
		})
	}
}
