package explore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"beaconvane/internal/goroutine"
)

// Bounds limit a search. The search tries every way to depart from the default schedule by up to a
// number of faults within a window of rounds, and cuts a branch where it reaches a state that another
// branch reached at the same round.
type Bounds struct {
	From   int           // first round in which faults come
	To     int           // first round in which none come any more
	Faults int           // in one run
	Runs   int64         // 0: no limit
	Limit  time.Duration // 0: no limit
	Length []int         // how many rounds a lasting fault lasts
}

// Searched is what a search came to.
type Searched struct {
	Summary
	States     int64 // that were met first
	Pruned     int64 // branches that came to a state met before
	Exhaustive bool  // everything within the bounds was searched
	Deepest    int   // faults in one run
}

// branch is a plan to be run, with the place behind which further faults may come.
type branch struct {
	actions []Action
	round   int
	step    int
}

type search struct {
	options  Options
	bounds   Bounds
	seed     uint64
	orders   []Action
	lock     sync.Mutex
	ready    *sync.Cond
	open     []branch
	busy     int
	met      map[uint64]int // by state: the fewest faults that led there
	searched Searched
	began    time.Time
	random   *rand.Rand
}

// operatorsOrders are two operators' orders around the window and questions behind it.
func operatorsOrders(options Options, bounds Bounds) []Action {
	holderMostly := func(round, node int, version int64, content int) Action {
		return Action{Round: round, Kind: WriteOrder, Node: node, Version: version, Content: content}
	}
	orders := []Action{}
	for node := range options.Voters {
		orders = append(orders, holderMostly(bounds.From, node, 1, 1))
	}
	for node := range options.Voters {
		orders = append(orders, holderMostly(bounds.From+1, node, 2, 2+node%2))
	}
	for _, round := range []int{bounds.To + 4, bounds.To + 15, options.Rounds - 12, options.Rounds - 3} {
		for node := range options.Voters {
			orders = append(orders, holderMostly(round, node, 1, 1), Action{Round: round, Kind: ReadOrder, Node: node})
		}
	}
	return orders
}

// Search runs through all plans within the bounds, in an order drawn from the seed.
func Search(options Options, bounds Bounds, seed uint64, workers int, progress func(Searched)) Searched {
	s := &search{
		options: options,
		bounds:  bounds,
		seed:    seed,
		orders:  operatorsOrders(options, bounds),
		met:     map[uint64]int{},
		began:   time.Now(),
		random:  rand.New(rand.NewPCG(seed, 0xdf5)),
	}
	s.ready = sync.NewCond(&s.lock)
	s.searched.Summary = Summary{Counts: map[Kind]int64{}, Found: map[string]Result{}, Broken: map[string]int64{}}
	s.open = []branch{{}}
	waiting := sync.WaitGroup{}
	members := goroutine.New()
	told := s.began
	for range workers {
		waiting.Add(1)
		members.Go("explore.search", func(context.Context) {
			defer waiting.Done()
			for next, more := s.take(); more; next, more = s.take() {
				s.play(next)
				s.lock.Lock()
				if progress != nil && time.Since(told) > progressEvery {
					told = time.Now()
					s.searched.Elapsed = time.Since(s.began)
					progress(s.searched)
				}
				s.lock.Unlock()
			}
		})
	}
	waiting.Wait()
	s.searched.Elapsed = time.Since(s.began)
	s.searched.Exhaustive = len(s.open) == 0
	return s.searched
}

// take gives the next branch; false when all is searched or a limit is reached.
func (s *search) take() (branch, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for len(s.open) == 0 && s.busy > 0 {
		s.ready.Wait()
	}
	over := s.bounds.Runs > 0 && s.searched.Walks >= s.bounds.Runs || s.bounds.Limit > 0 && time.Since(s.began) > s.bounds.Limit
	if len(s.open) == 0 || over {
		s.ready.Broadcast()
		return branch{}, false
	}
	index := s.random.IntN(len(s.open))
	last := len(s.open) - 1
	s.open[index], s.open[last] = s.open[last], s.open[index]
	next := s.open[last]
	s.open = s.open[:last]
	s.busy++
	return next, true
}

// play runs a branch and opens those that go on from it.
func (s *search) play(next branch) {
	scout := &scout{replayer: replayer{merge(s.orders, next.actions)}, search: s, branch: next}
	plan := s.options.plan(s.seed)
	w := newWorld(plan, scout, nil)
	w.run()
	plan.Actions = w.applied
	s.lock.Lock()
	defer s.lock.Unlock()
	s.busy--
	s.searched.add(Result{
		Plan:      plan,
		Violation: w.violation,
		Steps:     w.step,
		Counts:    w.counts,
		Epochs:    len(w.holders),
		Answers:   w.history.answers(),
	})
	s.searched.Deepest = max(s.searched.Deepest, len(next.actions))
	s.open = append(s.open, scout.found...)
	s.ready.Broadcast()
}

// scout replays a branch and, behind its last fault, lists the faults that may come next.
type scout struct {
	replayer
	search *search
	branch branch
	found  []branch
	cut    bool
}

func (c *scout) choose(w *World, next *item) []Action {
	due := c.replayer.choose(w, next)
	behind := w.round > c.branch.round || w.round == c.branch.round && w.inRound > c.branch.step
	if next == nil && w.inRound > 0 && w.round == c.branch.round && len(c.branch.actions) > 0 {
		c.cut = c.search.known(w, len(c.branch.actions))
		if c.cut {
			c.found = nil
		}
	}
	bounds := c.search.bounds
	inWindow := w.round >= bounds.From && w.round < bounds.To
	if next == nil || c.cut || !behind || !inWindow || !matters(next) || len(c.branch.actions) >= bounds.Faults {
		return due
	}
	for _, fault := range c.search.faultsAt(w, next) {
		fault.Round, fault.Step = w.round, w.inRound
		actions := append(append([]Action{}, c.branch.actions...), fault)
		c.found = append(c.found, branch{actions, w.round, w.inRound})
	}
	return due
}

// known notes a state; true when another branch came to it with no more faults.
func (s *search) known(w *World, faults int) bool {
	state := w.state()
	s.lock.Lock()
	defer s.lock.Unlock()
	if fewest, met := s.met[state]; met && fewest <= faults {
		s.searched.Pruned++
		return true
	}
	s.met[state] = faults
	s.searched.States++
	return false
}

// faultsAt lists what may happen at a message or a write.
func (s *search) faultsAt(w *World, next *item) []Action {
	faults := []Action{}
	if next.write != nil {
		for steps := 1; steps <= 6; steps++ {
			for dice := range uint64(2) {
				faults = append(faults, Action{
					Kind:      CrashDisk,
					Node:      next.to.index,
					DiskSteps: steps,
					Dice:      dice,
					Rounds:    s.bounds.Length[0],
				})
			}
		}
		faults = append(faults, Action{Kind: DiskSlow, Node: next.to.index, Rounds: s.bounds.Length[0]})
	} else {
		faults = append(faults, Action{Kind: Lose}, Action{Kind: Double, Rounds: 2}, Action{Kind: Late, Rounds: 3})
	}
	concerned := map[int]bool{next.to.index: true}
	if sender := w.byAddress[next.from]; sender != nil {
		concerned[sender.index] = true
		faults = append(faults, Action{Kind: Cut, Node: sender.index, Peer: next.to.index, Rounds: s.bounds.Length[len(s.bounds.Length)-1]},
			Action{Kind: CutOneWay, Node: sender.index, Peer: next.to.index, Rounds: s.bounds.Length[len(s.bounds.Length)-1]})
	}
	for node := range w.plan.Voters {
		if !concerned[node] {
			continue
		}
		for _, length := range s.bounds.Length {
			for _, kind := range []Kind{Crash, Isolate, Freeze, DiskLost} {
				faults = append(faults, Action{Kind: kind, Node: node, Rounds: length, Dice: 1})
			}
		}
		faults = append(faults, Action{Kind: Replace, Node: node, Rounds: 1})
	}
	return faults
}

// merge puts faults among the orders, by place.
func merge(orders, faults []Action) []Action {
	merged := []Action{}
	for len(orders)+len(faults) > 0 {
		if len(faults) == 0 || len(orders) > 0 && before(orders[0], faults[0]) {
			merged, orders = append(merged, orders[0]), orders[1:]
		} else {
			merged, faults = append(merged, faults[0]), faults[1:]
		}
	}
	return merged
}

func before(one, other Action) bool {
	return one.Round < other.Round || one.Round == other.Round && one.Step <= other.Step
}

// answers counts those that state a fact.
func (h *history) answers() int {
	count := 0
	for _, asked := range h.operations {
		if asked.answer.factual() {
			count++
		}
	}
	return count
}
