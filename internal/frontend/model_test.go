// Exploration of the model of both hops: no run with faults violates a rule, and without any one of
// the safeguards some run does.
package frontend

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/safeguard"
)

// exploration is the result of exploring the model.
type exploration struct {
	runs           int
	firstViolation string         // the violations of the first wrong run, and its choices
	faults         map[string]int // number of runs by fault

	cancelled int // exchanges that were aborted
}

// exploreRuns executes every run with at most maxFaults choices other than 0, or stops at the first
// violation.
func exploreRuns(namedAnswers bool, maxFaults int, stopAtViolation bool) exploration {
	result := exploration{faults: map[string]int{}}
	var branch func(prefix []int, remaining int) bool
	branch = func(prefix []int, remaining int) bool {
		chooser := &modelChooser{preset: prefix}
		world := newModel(chooser, namedAnswers)
		world.submitRequests()
		world.run()
		world.group.Stop(0)
		result.runs++
		result.cancelled += len(world.cancelled)
		for fault := range world.faults {
			result.faults[fault]++
		}
		if violations := world.violations(); len(violations) > 0 && result.firstViolation == "" {
			choices := []string{}
			for index, choice := range chooser.choices {
				if choice > 0 {
					choices = append(choices, fmt.Sprintf("%d: %s = %d", index, chooser.points[index], choice))
				}
			}
			result.firstViolation = strings.Join(violations, "; ") + "\nchoices:\n" + strings.Join(choices, "\n")
			if stopAtViolation {
				return true
			}
		}
		if remaining == 0 {
			return false
		}
		for index := len(prefix); index < len(chooser.choices); index++ {
			for alternative := 1; alternative < chooser.ranges[index]; alternative++ {
				next := append(append([]int{}, chooser.choices[:index]...), alternative)
				if branch(next, remaining-1) {
					return true
				}
			}
		}
		return false
	}
	branch(nil, maxFaults)
	return result
}

// maxModelFaults returns the maximum number of faults in one explored run, which is lower with
// -short.
func maxModelFaults() int {
	if testing.Short() {
		return 1
	}
	return 2
}

// No run with a few faults violates a rule.
func TestModelOfTheTwoHops(t *testing.T) {
	for _, namedAnswers := range []bool{true, false} {
		t.Run(fmt.Sprintf("answers named %t", namedAnswers), func(t *testing.T) {
			result := exploreRuns(namedAnswers, maxModelFaults(), true)
			qt.Assert(t, result.firstViolation, qt.Equals, "")
			t.Logf("%d runs with at most %d faults each, %d distinct faults", result.runs, maxModelFaults(), len(result.faults))
			qt.Assert(t, result.runs > 100, qt.IsTrue)
			qt.Assert(t, result.cancelled > 0, qt.IsTrue, qt.Commentf("no run cancelled a repeatable exchange"))
		})
	}
}

// If a connection breaks while the upstream runs the request, the caller still gets the answer: the
// serving proxy reports the attempt as running, and sends its outcome on the new connection. Before
// outcome queries waited for running attempts, the caller got 502 after 0.4 s.
func TestModelWaitsForRunningAttempts(t *testing.T) {
	c := qt.New(t)
	brokenConnections := 0
	for choicePoint := range 12 {
		chooser := &modelChooser{preset: make([]int, choicePoint+1)}
		chooser.preset[choicePoint] = frameDeliveredThenBroken
		world := newModel(chooser, true)
		world.submitRequests()
		world.run()
		world.group.Stop(0)
		if len(chooser.points) <= choicePoint || !strings.HasSuffix(chooser.points[choicePoint], "message.Forward") {
			continue
		}
		brokenConnections++
		c.Assert(world.violations(), qt.HasLen, 0)
		for _, request := range world.requests {
			comment := qt.Commentf("%s, broken at %s", request.name, chooser.points[choicePoint])
			c.Check(request.responses[0].Code, qt.Equals, errcode.OK, comment)
		}
	}
	c.Assert(brokenConnections >= 3, qt.IsTrue)
}

// No run with many faults, drawn at random from fixed seeds, violates a rule.
func TestModelRandomFaults(t *testing.T) {
	runs := 3000
	if testing.Short() {
		runs = 300
	}
	for _, namedAnswers := range []bool{true, false} {
		for seed := range runs {
			random := rand.New(rand.NewPCG(uint64(seed), 7))
			chooser := &modelChooser{preset: make([]int, 200)}
			faultProbability := 0.05 + 0.4*random.Float64()
			for index := range chooser.preset {
				if random.Float64() < faultProbability {
					choice := 1 + random.IntN(upstreamChoices-1)
					chooser.preset[index] = choice
				}
			}
			world := newModel(chooser, namedAnswers)
			world.submitRequests()
			world.run()
			world.group.Stop(0)
			if violations := world.violations(); len(violations) > 0 {
				t.Fatalf("seed %d, named %t: %v\nchoices %v\nat %v", seed, namedAnswers, violations, chooser.choices, chooser.points)
			}
		}
	}
}

// Each listed safeguard is necessary: without it, some explored run violates the given rule.
func TestModelNeedsEachSafeguard(t *testing.T) {
	for _, test := range []struct {
		guard        safeguard.Guard
		namedAnswers bool
		rule         string
	}{
		{safeguard.AnswerOfAnother, true, "own-answer"},
		{safeguard.AnswerWithoutName, true, "own-answer"},
		{safeguard.QuietConnection, false, "own-answer"},
		{safeguard.BytesBehind, false, "own-answer"},
		{safeguard.WholeAnswer, true, "own-answer"},
		{safeguard.HiddenPromise, true, "promise"},
		{safeguard.OnceOnly, true, "once"},
		{safeguard.NoPromiseAfterRun, true, "promise"},
		{safeguard.MostUpstreams, true, "most-upstreams"},
		{safeguard.BarredQuestion, true, "once"},
		{safeguard.NeverAttached, true, "once"},
		{safeguard.OtherLife, true, "once"},
	} {
		t.Run(test.guard.String(), func(t *testing.T) {
			safeguard.Without(t, test.guard)
			result := exploreRuns(test.namedAnswers, 2, true)
			qt.Assert(t, result.firstViolation, qt.Not(qt.Equals), "", qt.Commentf("no violation in %d runs", result.runs))
			t.Logf("violation after %d runs: %s", result.runs, result.firstViolation)
			rule, _, _ := strings.Cut(result.firstViolation, ":")
			qt.Assert(t, rule, qt.Equals, test.rule)
		})
	}
}
