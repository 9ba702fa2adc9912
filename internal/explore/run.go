package explore

import "beaconvane/internal/message"

// Options configure an exploration.
type Options struct {
	Role    string // message.RoleConfigStore or message.RoleRegistry; "" selects RoleConfigStore
	Voters  int
	Named   bool
	Highest bool
	Rounds  int
	Faults  int
	Except  []string // rules that are not checked, to find violations that a known fault would hide
}

// Result is the outcome of one run. Plan holds the actions that took effect; Violation is nil if no rule was
// violated.
type Result struct {
	Plan      Plan
	Violation *Violation
	Steps     int64
	Counts    map[Kind]int
	Epochs    int // lease epochs that were held
	Answers   int // responses that state a fact about the configuration
}

// plan returns a plan without actions for a run with these options.
func (o Options) plan(seed uint64) Plan {
	role := o.Role
	if role == "" {
		role = message.RoleConfigStore
	}
	return Plan{Role: role, Seed: seed, Voters: o.Voters, Named: o.Named, Highest: o.Highest, Rounds: o.Rounds, Except: o.Except}
}

// play runs a plan with the actions of chooser.
func play(plan Plan, chooser chooser, log func(line string)) Result {
	w := newWorld(plan, chooser, log)
	w.run()
	plan.Actions = w.applied
	return Result{
		Plan:      plan,
		Violation: w.violation,
		Steps:     w.step,
		Counts:    w.counts,
		Epochs:    len(w.holders),
		Answers:   w.history.factualAnswers(),
	}
}

// Walk runs one random walk, which draws its actions from the seed.
func Walk(options Options, seed uint64) Result {
	return play(options.plan(seed), newWalker(seed, options), nil)
}

// replayer returns a plan's actions at the round and step that each names.
type replayer struct{ actions []Action }

func (r *replayer) choose(w *World, _ *item) []Action {
	due := []Action{}
	for len(r.actions) > 0 {
		next := r.actions[0]
		if next.Round > w.round || next.Round == w.round && next.Step > w.stepInRound {
			break
		}
		due = append(due, next)
		r.actions = r.actions[1:]
	}
	return due
}

// Replay runs a plan. If log is not nil, it is called with one line per event of the run.
func Replay(plan Plan, log func(line string)) Result {
	return play(plan, &replayer{plan.Actions}, log)
}

// Shrink removes actions from the plan as long as the same rule is violated. found must hold a violation.
func Shrink(found Result) Result {
	rule := found.Violation.Rule
	replayViolates := func(plan Plan) (Result, bool) {
		result := Replay(plan, nil)
		return result, result.Violation != nil && result.Violation.Rule == rule
	}
	best, violated := replayViolates(found.Plan)
	if !violated {
		return found
	}
	for size := max(len(best.Plan.Actions)/2, 1); ; {
		shrunk := false
		for from := 0; from < len(best.Plan.Actions); {
			plan := best.Plan
			plan.Actions = append(append([]Action{}, best.Plan.Actions[:from]...),
				best.Plan.Actions[min(from+size, len(best.Plan.Actions)):]...)
			if result, violated := replayViolates(plan); violated {
				best, shrunk = result, true
				continue
			}
			from += size
		}
		if size == 1 && !shrunk {
			break
		}
		size = max(size/2, 1)
	}
	best.Plan.Rounds = min(best.Plan.Rounds, best.Violation.Round+1)
	return best
}
