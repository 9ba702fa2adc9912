package simulation

import (
	"container/heap"
	"fmt"
	"time"
)

// event is a callback at a simulated time; number keeps events of one time in the order of their creation.
type event struct {
	at     time.Duration
	number int64
	do     func()
}

type eventQueue []*event

// mustBe returns value as a T. Callbacks and queues carry values of any type; a value of another
// type than the one expected is a programming error of the simulator, so it panics.
func mustCast[T any](value any) T {
	typed, ok := value.(T)
	if !ok {
		panic(fmt.Sprintf("simulation: got a %T, want a %T", value, typed))
	}
	return typed
}

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event, for package heap.
func (q *eventQueue) Push(item any) {
	*q = append(*q, mustCast[*event](item))
}

// Pop removes the last event, for package heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// scheduler plays events in the order of their simulated times; those of one time in the order in
// which they were scheduled.
type scheduler struct {
	now    time.Duration
	number int64 // of events scheduled
	events eventQueue
	steps  int64 // events played
}

func (s *scheduler) at(when time.Duration, do func()) {
	s.number++
	heap.Push(&s.events, &event{max(when, s.now), s.number, do})
}
func (s *scheduler) after(wait time.Duration, do func()) { s.at(s.now+wait, do) }

// Run plays until a true time.
func (s *scheduler) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := mustCast[*event](heap.Pop(&s.events))
		s.now = next.at
		s.steps++
		next.do()
	}
	s.now = until
}
