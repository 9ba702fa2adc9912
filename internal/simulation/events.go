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
func mustBe[T any](value any) T {
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
	*q = append(*q, mustBe[*event](item))
}

// Pop removes the last event, for package heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (w *World) at(when time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, &event{max(when, w.now), w.number, do})
}

func (w *World) after(wait time.Duration, do func()) { w.at(w.now+wait, do) }

// Run plays until a true time.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := mustBe[*event](heap.Pop(&w.events))
		w.now = next.at
		w.steps++
		next.do()
	}
	w.now = until
}
