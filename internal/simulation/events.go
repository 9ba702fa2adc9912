package simulation

import (
	"container/heap"
	"fmt"
	"time"
)

// event is a callback at a simulated time. Events at the same time run in the order of their numbers,
// which is the order in which they were scheduled.
type event struct {
	at     time.Duration
	number int64
	do     func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []*event

// mustCast returns value as a T. Callbacks and queues carry values of type any; a value of an
// unexpected type is a programming error of the simulator, so mustCast panics.
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

// Push adds an event. It implements heap.Interface.
func (q *eventQueue) Push(item any) {
	*q = append(*q, mustCast[*event](item))
}

// Pop removes the last event. It implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// scheduler runs events in the order of their simulated times, and events at the same time in the
// order in which they were scheduled.
type scheduler struct {
	now    time.Duration
	number int64 // events scheduled so far
	events eventQueue
	steps  int64 // events run so far
}

// at schedules a callback at a simulated time, or now if that time has passed.
func (s *scheduler) at(when time.Duration, do func()) {
	s.number++
	heap.Push(&s.events, &event{max(when, s.now), s.number, do})
}

// after schedules a callback after a simulated time span.
func (s *scheduler) after(wait time.Duration, do func()) { s.at(s.now+wait, do) }

// Run runs all events up to and including a simulated time, and sets the time to it.
func (s *scheduler) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := mustCast[*event](heap.Pop(&s.events))
		s.now = next.at
		s.steps++
		next.do()
	}
	s.now = until
}
