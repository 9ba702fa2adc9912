package explore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"beaconvane/internal/goroutine"
)

// Bounds limit a search. The search tries every way to deviate from the default schedule by up to a
// number of faults within a window of rounds. It prunes a branch that reaches a state that another
// branch reached at the same round.
type Bounds struct {
	From   int           // first round with faults
	To     int           // first round after the faults
	Faults int           // maximum in one run
	Runs   int64         // 0: no limit
	Limit  time.Duration // 0: no limit
	Length []int         // durations of lasting faults, in rounds; at least one
}

// Searched is the result of a search.
type Searched struct {
	Summary
	States     int64 // distinct states reached
	Pruned     int64 // branches that reached a known state
	Exhaustive bool  // all plans within the bounds were run
	Deepest    int   // largest number of faults in one run
}

// branch is a plan to run. Its successors add one fault after the given round and step.
type branch struct {
	actions []Action
	round   int
	step    int
}

// search is the state that the workers of a Search share; mutex guards the fields that change.
type search struct {
	options   Options
	bounds    Bounds
	seed      uint64
	requests  []Action
	mutex     sync.Mutex
	ready     *sync.Cond
	pending   []branch
	running   int
	visited   map[uint64]int // by state fingerprint: the fewest faults that led to it
	result    Searched
	startTime time.Time
	random    *rand.Rand
}

// operatorRequests returns two operators' writes at the start of the fault window, and writes and reads after it.
func operatorRequests(options Options, bounds Bounds) []Action {
	write := func(round, node int, version int64, content int) Action {
		return Action{Round: round, Kind: SendWrite, Node: node, Version: version, Content: content}
	}
	requests := []Action{}
	for node := range options.Voters {
		requests = append(requests, write(bounds.From, node, 1, 1))
	}
	for node := range options.Voters {
		requests = append(requests, write(bounds.From+1, node, 2, 2+node%2))
	}
	for _, round := range []int{bounds.To + 4, bounds.To + 15, options.Rounds - 12, options.Rounds - 3} {
		for node := range options.Voters {
			requests = append(requests, write(round, node, 1, 1), Action{Round: round, Kind: SendRead, Node: node})
		}
	}
	return requests
}

// Search runs all plans within the bounds on concurrent workers, in an order drawn from the seed. If progress is
// not nil, it is called every progressInterval.
func Search(options Options, bounds Bounds, seed uint64, workers int, progress func(Searched)) Searched {
	s := &search{
		options:   options,
		bounds:    bounds,
		seed:      seed,
		requests:  operatorRequests(options, bounds),
		visited:   map[uint64]int{},
		startTime: time.Now(),
		random:    rand.New(rand.NewPCG(seed, 0xdf5)),
	}
	s.ready = sync.NewCond(&s.mutex)
	s.result.Summary = Summary{Counts: map[Kind]int64{}, Found: map[string]Result{}, Broken: map[string]int64{}}
	s.pending = []branch{{}}
	waitGroup := sync.WaitGroup{}
	group := goroutine.New()
	lastProgress := s.startTime
	for range workers {
		waitGroup.Add(1)
		group.Go("explore.search", func(context.Context) {
			defer waitGroup.Done()
			for next, more := s.nextBranch(); more; next, more = s.nextBranch() {
				s.runBranch(next)
				s.mutex.Lock()
				if progress != nil && time.Since(lastProgress) > progressInterval {
					lastProgress = time.Now()
					s.result.Elapsed = time.Since(s.startTime)
					progress(s.result)
				}
				s.mutex.Unlock()
			}
		})
	}
	waitGroup.Wait()
	s.result.Elapsed = time.Since(s.startTime)
	s.result.Exhaustive = len(s.pending) == 0
	return s.result
}

// nextBranch removes and returns a random pending branch. It returns false if the search is complete or a limit
// is reached.
func (s *search) nextBranch() (branch, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.pending) == 0 && s.running > 0 {
		s.ready.Wait()
	}
	limitReached := s.bounds.Runs > 0 && s.result.Walks >= s.bounds.Runs || s.bounds.Limit > 0 && time.Since(s.startTime) > s.bounds.Limit
	if len(s.pending) == 0 || limitReached {
		s.ready.Broadcast()
		return branch{}, false
	}
	index := s.random.IntN(len(s.pending))
	last := len(s.pending) - 1
	s.pending[index], s.pending[last] = s.pending[last], s.pending[index]
	next := s.pending[last]
	s.pending = s.pending[:last]
	s.running++
	return next, true
}

// runBranch runs a branch and adds its successors to the pending branches.
func (s *search) runBranch(next branch) {
	expander := &branchExpander{replayer: replayer{mergeActions(s.requests, next.actions)}, search: s, branch: next}
	plan := s.options.plan(s.seed)
	w := newWorld(plan, expander, nil)
	w.run()
	plan.Actions = w.applied
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	s.result.add(Result{
		Plan:      plan,
		Violation: w.violation,
		Steps:     w.step,
		Counts:    w.counts,
		Epochs:    len(w.holders),
		Answers:   w.history.factualAnswers(),
	})
	s.result.Deepest = max(s.result.Deepest, len(next.actions))
	s.pending = append(s.pending, expander.successors...)
	s.ready.Broadcast()
}

// branchExpander replays a branch and collects its successors: one per fault that is possible after the last one.
type branchExpander struct {
	replayer
	search     *search
	branch     branch
	successors []branch
	pruned     bool
}

// choose implements chooser.
func (c *branchExpander) choose(w *World, next *item) []Action {
	due := c.replayer.choose(w, next)
	afterBranch := w.round > c.branch.round || w.round == c.branch.round && w.stepInRound > c.branch.step
	if next == nil && w.stepInRound > 0 && w.round == c.branch.round && len(c.branch.actions) > 0 {
		c.pruned = c.search.recordState(w, len(c.branch.actions))
		if c.pruned {
			c.successors = nil
		}
	}
	bounds := c.search.bounds
	inWindow := w.round >= bounds.From && w.round < bounds.To
	if next == nil || c.pruned || !afterBranch || !inWindow || !isCritical(next) || len(c.branch.actions) >= bounds.Faults {
		return due
	}
	for _, fault := range c.search.possibleFaults(w, next) {
		fault.Round, fault.Step = w.round, w.stepInRound
		actions := append(append([]Action{}, c.branch.actions...), fault)
		c.successors = append(c.successors, branch{actions, w.round, w.stepInRound})
	}
	return due
}

// recordState records the state of w. It returns true if a branch with at most as many faults has reached it.
func (s *search) recordState(w *World, faults int) bool {
	state := w.fingerprint()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if fewest, visited := s.visited[state]; visited && fewest <= faults {
		s.result.Pruned++
		return true
	}
	s.visited[state] = faults
	s.result.States++
	return false
}

// possibleFaults lists the faults to try at a message or a write.
func (s *search) possibleFaults(w *World, next *item) []Action {
	faults := []Action{}
	if next.write != nil {
		for steps := 1; steps <= 6; steps++ {
			for crashSeed := range uint64(2) {
				faults = append(faults, Action{
					Kind:      CrashDuringWrite,
					Node:      next.to.index,
					DiskSteps: steps,
					CrashSeed: crashSeed,
					Rounds:    s.bounds.Length[0],
				})
			}
		}
		faults = append(faults, Action{Kind: SlowDisk, Node: next.to.index, Rounds: s.bounds.Length[0]})
	} else {
		faults = append(faults, Action{Kind: DropMessage}, Action{Kind: DuplicateMessage, Rounds: 2}, Action{Kind: DelayMessage, Rounds: 3})
	}
	involved := map[int]bool{next.to.index: true}
	if sender := w.byAddress[next.from]; sender != nil {
		involved[sender.index] = true
		faults = append(faults, Action{Kind: Cut, Node: sender.index, Peer: next.to.index, Rounds: s.bounds.Length[len(s.bounds.Length)-1]},
			Action{Kind: CutOneWay, Node: sender.index, Peer: next.to.index, Rounds: s.bounds.Length[len(s.bounds.Length)-1]})
	}
	for node := range w.plan.Voters {
		if !involved[node] {
			continue
		}
		for _, length := range s.bounds.Length {
			for _, kind := range []Kind{Crash, Isolate, Freeze, LoseDisk} {
				faults = append(faults, Action{Kind: kind, Node: node, Rounds: length, CrashSeed: 1})
			}
		}
		faults = append(faults, Action{Kind: Replace, Node: node, Rounds: 1})
	}
	return faults
}

// mergeActions merges two lists of actions that are sorted by round and step; requests go first at equal positions.
func mergeActions(requests, faults []Action) []Action {
	merged := []Action{}
	for len(requests)+len(faults) > 0 {
		if len(faults) == 0 || len(requests) > 0 && notAfter(requests[0], faults[0]) {
			merged, requests = append(merged, requests[0]), requests[1:]
		} else {
			merged, faults = append(merged, faults[0]), faults[1:]
		}
	}
	return merged
}

// notAfter reports whether one happens at or before the round and step of other.
func notAfter(one, other Action) bool {
	return one.Round < other.Round || one.Round == other.Round && one.Step <= other.Step
}

// factualAnswers counts the operations whose outcome concerns the configuration.
func (h *history) factualAnswers() int {
	count := 0
	for _, recorded := range h.operations {
		if recorded.outcome.aboutConfig() {
			count++
		}
	}
	return count
}
