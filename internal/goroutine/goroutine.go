// Package goroutine manages the goroutines of a process: it counts the running ones and waits for them when
// the process stops. It also provides the process clock, which is the monotonic time since start, so that
// durations are unaffected by changes of the wall clock, and a wall clock that ignores short steps.
package goroutine

import (
	"context"
	"sync"
	"time"

	"go.uber.org/atomic"
)

// Group starts, counts and stops the goroutines of a process.
type Group struct {
	Context   context.Context // cancelled by Stop
	cancel    context.CancelFunc
	waitGroup sync.WaitGroup
	running   atomic.Int64
	startedAt time.Time
	wall      wallClock
}

// New returns a group without goroutines, and starts its process clock.
func New() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{Context: ctx, cancel: cancel, startedAt: time.Now()}
}

// Go runs work in a new goroutine with the group's context. The name only documents the call. work must
// return soon after the context has ended.
func (g *Group) Go(_ string, work func(ctx context.Context)) {
	g.waitGroup.Add(1)
	g.running.Inc()
	go func() {
		defer func() {
			g.running.Dec()
			g.waitGroup.Done()
		}()
		work(g.Context)
	}()
}

// Now returns the process clock: the time since the group was created.
func (g *Group) Now() time.Duration { return time.Since(g.startedAt) }

// Running returns the number of goroutines that have not returned yet.
func (g *Group) Running() int64 { return g.running.Load() }

// Stop cancels the context and waits for the goroutines to return, at most for timeout. It reports whether
// all have returned.
func (g *Group) Stop(timeout time.Duration) bool {
	g.cancel()
	done := make(chan struct{})
	go func() {
		g.waitGroup.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}
