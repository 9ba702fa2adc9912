package frontend

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"beaconvane/internal/backend"
)

// Pipeline implements the Environment of its Dispatcher.
var _ Environment = (*Pipeline)(nil)

// Now returns the process clock.
func (p *Pipeline) Now() time.Duration { return p.goroutines.Now() }

// Wall returns the wall-clock time.
func (p *Pipeline) Wall() time.Time { return time.Unix(0, int64(p.goroutines.Wall())) }

// Random returns the random source for decisions on requests.
func (p *Pipeline) Random() *mathrand.Rand { return p.random }

// Notify passes a notice to the control state.
func (p *Pipeline) Notify(notice any) { p.notify(notice) }

// Cancel aborts the exchange of an attempt with its upstream.
func (p *Pipeline) Cancel(attemptID string) { p.client.Cancel(attemptID) }

// Backlog returns how long a frame posted now would wait for the machine's link.
func (p *Pipeline) Backlog() time.Duration { return p.transport.Backlog() }

// Enqueue adds an item to the queue of a stage. It returns false if the queue is full.
func (p *Pipeline) Enqueue(stage Stage, item any) bool {
	switch queued := item.(type) {
	case *PendingRequest:
		if stage == StageAdmit {
			return tryEnqueue(p.admitQueue, queued)
		}
		return tryEnqueue(p.selectQueue, queued)
	case AttemptOutcome:
		return tryEnqueue(p.outcomeQueue, &queued)
	case backend.Decision:
		return tryEnqueue(p.startQueue, &queued)
	}
	// A programming error in the Dispatcher.
	panic(fmt.Sprintf("frontend: enqueue an item for stage %d: unsupported type %T", stage, item))
}

// tryEnqueue adds an item to a queue without blocking. It returns false if the queue is full.
func tryEnqueue[T any](queue chan T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

// Open opens a traffic connection to a serving proxy. onMessage is called for each frame received,
// and onClosed once when the connection breaks, unless the process stops first.
func (p *Pipeline) Open(servingProxy string, onMessage func(msg any), onClosed func(connection Connection)) Connection {
	connection := p.transport.OpenTraffic(servingProxy, onMessage)
	p.goroutines.Go("stage.watch", func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-connection.Closed():
			onClosed(connection)
		}
	})
	return connection
}

// After calls callback once delay has passed, unless the process stops first.
func (p *Pipeline) After(delay time.Duration, callback func()) {
	p.goroutines.Go("stage.after", func(ctx context.Context) {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			callback()
		}
	})
}
