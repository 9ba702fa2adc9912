// Package goroutine starts the goroutines of a process. Every one has a name, is counted while it
// runs, and is waited for when the process stops. The package also has the process clock: the time
// since start, monotonic, so that durations never jump.
package goroutine

import (
	"context"
	"sync"
	"time"

	"go.uber.org/atomic"
)

// Group starts, counts and stops the goroutines of a process.
type Group struct {
	Context   context.Context // ends on Stop
	cancel    context.CancelFunc
	waitGroup   sync.WaitGroup
	running   atomic.Int64
	startedAt time.Time
	wall      wallClock
}

// New returns an empty group.
func New() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{Context: ctx, cancel: cancel, startedAt: time.Now()}
}

// Go starts work in a goroutine of the group, with the group's context. The name says in the code
// what is started; work should return soon after its context has ended.
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

// Now returns the process clock: the time since the group was made.
func (g *Group) Now() time.Duration { return time.Since(g.startedAt) }

// Running returns the number of goroutines that have not returned yet.
func (g *Group) Running() int64 { return g.running.Load() }

// Stop cancels the context and waits for the goroutines, at most for the given time. It reports
// whether all have returned.
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
