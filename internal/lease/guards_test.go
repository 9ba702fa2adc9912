package lease_test

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/explore"
	"beaconvane/internal/lease"
)

// acknowledgedVersionRules lists the rules of which one is violated first when an acknowledged version is
// lost or rewritten.
const acknowledgedVersionRules = "durable one-content no-false-refusal linearizable"

// maxWalks is the maximum number of walks within which a violation must be found.
const maxWalks = 2000

var (
	threeVoters = explore.Options{Voters: 3, Rounds: 200, Faults: 10}
	fiveVoters  = explore.Options{Voters: 5, Rounds: 120, Faults: 12}
)

// withoutContactRule disables the rule "contact". It is violated first and would hide later violations.
func withoutContactRule(options explore.Options) explore.Options {
	options.Except = []string{"contact"}
	return options
}

// guardExplorations lists, for each guard that the exploration must detect as disabled, the options of the
// walks, the seed of the first walk, and the rules of which one must be violated.
var guardExplorations = map[string]struct {
	options explore.Options
	seed    uint64
	rules   string
}{
	"syncedVote":   {fiveVoters, 1549, "one-holder-an-epoch"},
	"higherEpoch":  {threeVoters, 1, "one-holder-an-epoch"},
	"oneHolder":    {threeVoters, 649, "one-holder-an-epoch"},
	"spentEpoch":   {withoutContactRule(threeVoters), 1601, acknowledgedVersionRules},
	"majorityVote": {withoutContactRule(threeVoters), 1, acknowledgedVersionRules + " one-holder-an-epoch"},
}

// TestExplorationDetectsDisabledGuards checks that random walks over the control state machines find a
// rule violation when one of these guards is disabled. The tests of package explore check that walks find
// none with all guards enabled.
func TestExplorationDetectsDisabledGuards(t *testing.T) {
	if raceEnabled {
		t.Skip("each walk is single-threaded; run without -race")
	}
	for name, exploration := range guardExplorations {
		t.Run(name, func(t *testing.T) {
			lease.WithoutGuard(name, func() {
				found, walks, broken := explore.Find(exploration.options, exploration.seed, maxWalks, runtime.GOMAXPROCS(0))
				qt.Assert(t, broken, qt.IsTrue, qt.Commentf("no violation found in %d walks with guard %s disabled", walks, name))
				t.Logf("found after %d walks, %d actions: %s", walks, len(found.Plan.Actions), found.Violation)
				qt.Assert(t, strings.Fields(exploration.rules), qt.Any(qt.Equals), found.Violation.Rule)
			})
		})
	}
}
