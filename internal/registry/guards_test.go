package registry_test

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/explore"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
)

// maxWalks is the maximum number of random walks that the exploration may take to find a violation.
const maxWalks = 600

// threeRegistries are the options of the explored walks.
var threeRegistries = explore.Options{Role: message.RoleRegistry, Voters: 3, Rounds: 320, Faults: 8}

// expectedViolations lists, by disabled guard, the seed of the first walk and the names of the
// rules, separated by spaces: the exploration must report a violation of one of them.
var expectedViolations = map[string]struct {
	seed  uint64
	rules string
}{
	"usageRead":      {1, "one-value counts"},
	"knownValue":     {1, "one-value"},
	"majoritySeal":   {409, "one-value"},
	"syncedSeal":     {301, "one-value"},
	"driftDetection": {553, "converge"},
	"closedWindow":   {493, "counts"},
}

// Guards against an exploration that cannot detect a missing safety rule: with any one guard
// disabled it must find a violation. With all guards enabled, TestWalksOfRegistriesKeepAllPromises
// of package explore requires that it finds none.
func TestExplorationDetectsDisabledGuards(t *testing.T) {
	if raceEnabled {
		t.Skip("each walk runs on a single goroutine; run without -race")
	}
	for name, expected := range expectedViolations {
		t.Run(name, func(t *testing.T) {
			registry.WithoutGuard(name, func() {
				found, walks, violated := explore.Find(threeRegistries, expected.seed, maxWalks, runtime.GOMAXPROCS(0))
				qt.Assert(t, violated, qt.IsTrue, qt.Commentf("no violation found in %d walks", walks))
				t.Logf("found after %d walks, %d actions: %s", walks, len(found.Plan.Actions), found.Violation)
				qt.Assert(t, strings.Fields(expected.rules), qt.Any(qt.Equals), found.Violation.Rule)
			})
		})
	}
}
