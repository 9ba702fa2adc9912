package lease_test

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/explore"
	"beaconvane/internal/lease"
)

// lostVersionRules are the rules that a lost or rewritten acknowledged version may break first.
const lostVersionRules = "durable one-content no-false-refusal linearizable"

// mostWalks is how many walks may pass before a fault is found.
const mostWalks = 2000

var (
	three = explore.Options{Voters: 3, Rounds: 200, Faults: 10}
	five  = explore.Options{Voters: 5, Rounds: 120, Faults: 12}
)

// noContact leaves out the rule "contact", which is broken first, to see what is broken behind it.
func noContact(options explore.Options) explore.Options {
	options.Except = []string{"contact"}
	return options
}

// without lists the guards that the walks miss when they are off: what is explored, the
// first seed, and the rules of which one must be broken.
var without = map[string]struct {
	options explore.Options
	seed    uint64
	rules   string
}{
	"syncedVote":   {five, 1549, "one-holder-an-epoch"},
	"higherEpoch":  {three, 1, "one-holder-an-epoch"},
	"oneHolder":    {three, 649, "one-holder-an-epoch"},
	"spentEpoch":   {noContact(three), 1601, lostVersionRules},
	"majorityVote": {noContact(three), 1, lostVersionRules + " one-holder-an-epoch"},
}

// With any of these guards off the exploration finds a broken promise; with all of them
// on, TestWalksKeepAllPromises of the exploration finds none.
func TestExplorationMissesGuards(t *testing.T) {
	if racing {
		t.Skip("each walk is one thread; run without -race")
	}
	for name, missed := range without {
		t.Run(name, func(t *testing.T) {
			lease.WithoutGuard(name, func() {
				found, walks, broken := explore.Find(missed.options, missed.seed, mostWalks, runtime.GOMAXPROCS(0))
				qt.Assert(t, broken, qt.IsTrue, qt.Commentf("nothing found in %d walks", walks))
				t.Logf("found after %d walks, %d actions: %s", walks, len(found.Plan.Actions), found.Violation)
				qt.Assert(t, strings.Fields(missed.rules), qt.Any(qt.Equals), found.Violation.Rule)
			})
		})
	}
}
