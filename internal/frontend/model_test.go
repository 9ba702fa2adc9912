// The explorer of the model of the two hops (modelworld_test.go), and what it must find.
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

// modelExplored is what exploring gave.
type modelExplored struct {
	runs    int
	first   string // the first wrong run, with its choices
	reached map[string]int

	cancelled int // exchanges that were broken off
}

// explore plays every run with at most so many choices other than 0, or until one is wrong.
func explore(named bool, most int, stopAtWrong bool) modelExplored {
	explored := modelExplored{reached: map[string]int{}}
	var branch func(prefix []int, left int) bool
	branch = func(prefix []int, left int) bool {
		chooser := &modelChooser{wanted: prefix}
		w := newModel(chooser, named)
		w.modelPlan()
		w.play()
		w.group.Stop(0)
		explored.runs++
		explored.cancelled += len(w.cancelled)
		for fault := range w.faults {
			explored.reached[fault]++
		}
		if wrong := w.faulty(); len(wrong) > 0 && explored.first == "" {
			text := []string{}
			for number, chosen := range chooser.made {
				if chosen > 0 {
					text = append(text, fmt.Sprintf("%d: %s = %d", number, chooser.places[number], chosen))
				}
			}
			explored.first = strings.Join(wrong, "; ") + "\nchoices:\n" + strings.Join(text, "\n")
			if stopAtWrong {
				return true
			}
		}
		if left == 0 {
			return false
		}
		for number := len(prefix); number < len(chooser.made); number++ {
			for other := 1; other < chooser.ranges[number]; other++ {
				next := append(append([]int{}, chooser.made[:number]...), other)
				if branch(next, left-1) {
					return true
				}
			}
		}
		return false
	}
	branch(nil, most)
	return explored
}

// modelFaults is how many things go wrong in one explored run; with -short fewer.
func modelFaults() int {
	if testing.Short() {
		return 1
	}
	return 2
}

func TestModelOfTheTwoHops(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprintf("answers named %t", named), func(t *testing.T) {
			explored := explore(named, modelFaults(), true)
			qt.Assert(t, explored.first, qt.Equals, "")
			t.Logf("%d runs, %d kinds of fault at %d places", explored.runs, modelFaults(), len(explored.reached))
			qt.Assert(t, explored.runs > 100, qt.IsTrue)
			qt.Assert(t, explored.cancelled > 0, qt.IsTrue, qt.Commentf("no caller left while repeatable work ran"))
		})
	}
}

// A connection that breaks while the upstream is at work costs no request its answer: the
// serving proxy is asked, says that it runs, and the answer comes on the new connection.
// Without the waiting it was 502 after 0.4 s.
func TestModelWaitsForWhatRuns(t *testing.T) {
	c := qt.New(t)
	broken := 0
	for number := range 12 {
		chooser := &modelChooser{wanted: make([]int, number+1)}
		chooser.wanted[number] = onWayThenBroken
		w := newModel(chooser, true)
		w.modelPlan()
		w.play()
		w.group.Stop(0)
		if len(chooser.places) <= number || !strings.HasSuffix(chooser.places[number], "message.Forward") {
			continue
		}
		broken++
		c.Assert(w.faulty(), qt.HasLen, 0)
		for _, asked := range w.asked {
			c.Check(asked.finals[0].Code, qt.Equals, errcode.OK, qt.Commentf("%s, broken at %s", asked.name, chooser.places[number]))
		}
	}
	c.Assert(broken >= 3, qt.IsTrue)
}

// Runs in which many things go wrong at once, drawn at random from fixed seeds.
func TestModelAtRandom(t *testing.T) {
	walks := 3000
	if testing.Short() {
		walks = 300
	}
	for _, named := range []bool{true, false} {
		for seed := range walks {
			random := rand.New(rand.NewPCG(uint64(seed), 7))
			chooser := &modelChooser{wanted: make([]int, 200)}
			share := 0.05 + 0.4*random.Float64()
			for number := range chooser.wanted {
				if random.Float64() < share {
					chosen := 1 + random.IntN(atUpstreamChoices-1)
					chooser.wanted[number] = chosen
				}
			}
			w := newModel(chooser, named)
			w.modelPlan()
			w.play()
			w.group.Stop(0)
			if wrong := w.faulty(); len(wrong) > 0 {
				t.Fatalf("seed %d, named %t: %v\nchoices %v\nat %v", seed, named, wrong, chooser.made, chooser.places)
			}
		}
	}
}

// Each check that the model exercises is needed: without it some explored run is wrong.
func TestModelWithoutEachCheck(t *testing.T) {
	for _, tried := range []struct {
		guard safeguard.Guard
		named bool
		rule  string
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
		t.Run(tried.guard.String(), func(t *testing.T) {
			safeguard.Without(t, tried.guard)
			explored := explore(tried.named, 2, true)
			qt.Assert(t, explored.first, qt.Not(qt.Equals), "", qt.Commentf("%d runs, none wrong", explored.runs))
			t.Logf("wrong after %d runs: %s", explored.runs, explored.first)
			rule, _, _ := strings.Cut(explored.first, ":")
			qt.Assert(t, rule, qt.Equals, tried.rule)
		})
	}
}
