// Package goroutine is the one place where goroutines start. Every one has a name, is
// counted while it runs, and is waited for when the process stops. It also has the
// process clock: time since start, monotonic, so that durations never jump.
package goroutine

import (
	"context"
	"sync"
	"time"

	"go.uber.org/atomic"
)

// Goroutine starts and counts the goroutines of a process.
type Group struct {
	Context  context.Context
	cancel   context.CancelFunc
	waiting  sync.WaitGroup
	running  atomic.Int64
	startsAt time.Time
}

// New makes a goroutine; its context ends on Stop.
func New() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{Context: ctx, cancel: cancel, startsAt: time.Now()}
}

// Go starts work; the name serves the counters and a reader of the code.
func (c *Group) Go(name string, work func(ctx context.Context)) {
	c.waiting.Add(1)
	c.running.Inc()
	go func() {
		defer func() {
			c.running.Dec()
			c.waiting.Done()
		}()
		work(c.Context)
	}()
}

// Now is the process clock.
func (c *Group) Now() time.Duration { return time.Since(c.startsAt) }

// Running counts live goroutines of the goroutine.
func (c *Group) Running() int64 { return c.running.Load() }

// Stop cancels the context and waits at most the given time.
func (c *Group) Stop(limit time.Duration) bool {
	c.cancel()
	done := make(chan struct{})
	go func() { c.waiting.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
