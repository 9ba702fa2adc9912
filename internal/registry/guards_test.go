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

// maxWalks bounds how many walks of the exploration may pass before one breaks a rule.
const maxWalks = 600

var threeRegistries = explore.Options{Role: message.RoleRegistry, Voters: 3, Rounds: 320, Faults: 8}

// expectedViolations lists the guards without which the exploration breaks a rule: the first seed
// of its walks, and the rules of which one must be broken.
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

// With any of these guards off the exploration finds a broken promise; with all of them
// on, TestWalksOfRegistriesKeepAllPromises of the exploration finds none.
func TestExplorationMissesGuards(t *testing.T) {
	if racing {
		t.Skip("each walk is one thread; run without -race")
	}
	for name, missed := range expectedViolations {
		t.Run(name, func(t *testing.T) {
			registry.WithoutGuard(name, func() {
				found, walks, broken := explore.Find(threeRegistries, missed.seed, maxWalks, runtime.GOMAXPROCS(0))
				qt.Assert(t, broken, qt.IsTrue, qt.Commentf("nothing found in %d walks", walks))
				t.Logf("found after %d walks, %d actions: %s", walks, len(found.Plan.Actions), found.Violation)
				qt.Assert(t, strings.Fields(missed.rules), qt.Any(qt.Equals), found.Violation.Rule)
			})
		})
	}
}
