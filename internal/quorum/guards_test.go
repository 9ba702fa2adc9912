package quorum_test

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/explore"
	"beaconvane/internal/quorum"
)

// lostVersionRules are the checker's rules of which one is violated first when an acknowledged version is lost or
// overwritten.
const lostVersionRules = "durable one-content no-false-refusal linearizable"

// maxWalks is the number of walks after which the search for a violation fails.
const maxWalks = 2000

// threeVoters explores a group of three voters.
var threeVoters = explore.Options{Voters: 3, Rounds: 200, Faults: 10}

// exceptContactRule excludes the contact rule, which is violated first and would hide the others.
func exceptContactRule(options explore.Options) explore.Options {
	options.Except = []string{"contact"}
	return options
}

// guardCases lists, by guard, the exploration that must find a violation while the guard is off: its options, its
// first seed, and the rules of which one must be violated.
var guardCases = map[string]struct {
	options explore.Options
	seed    uint64
	rules   string
}{
	"majority":     {exceptContactRule(threeVoters), 1, lostVersionRules + " one-holder-an-epoch"},
	"enoughGrants": {threeVoters, 1, lostVersionRules},
	"grantedState": {threeVoters, 1, lostVersionRules},
}

// The exploration must find a violation with any of these guards off. TestWalksKeepAllPromises in internal/explore
// shows that it finds none with all guards on.
func TestExplorationMissesGuards(t *testing.T) {
	if raceEnabled {
		t.Skip("every walk runs in a single goroutine; run this test without -race")
	}
	for name, guardCase := range guardCases {
		t.Run(name, func(t *testing.T) {
			quorum.WithoutGuard(name, func() {
				found, walks, violated := explore.Find(guardCase.options, guardCase.seed, maxWalks, runtime.GOMAXPROCS(0))
				qt.Assert(t, violated, qt.IsTrue, qt.Commentf("no violation found in %d walks", walks))
				t.Logf("found after %d walks, %d actions: %s", walks, len(found.Plan.Actions), found.Violation)
				qt.Assert(t, strings.Fields(guardCase.rules), qt.Any(qt.Equals), found.Violation.Rule)
			})
		})
	}
}
