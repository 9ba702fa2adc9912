package frontend

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"beaconvane/internal/backend"
)

// The Pipeline is the Environment of its own Dispatcher.
var _ Environment = (*Pipeline)(nil)

// Now returns the process clock.
func (p *Pipeline) Now() time.Duration { return p.goroutines.Now() }

// Wall returns the time of day.
func (p *Pipeline) Wall() time.Time { return time.Unix(0, int64(p.goroutines.Wall())) }

// Random returns the random source of the traffic side.
func (p *Pipeline) Random() *mathrand.Rand { return p.random }

// Notify hands a notice to the control state.
func (p *Pipeline) Notify(notice any) { p.notify(notice) }

// Cancel breaks off the exchange of an attempt with its upstream.
func (p *Pipeline) Cancel(attemptID string) { p.client.Cancel(attemptID) }

// Backlog is how long a frame that was posted now would wait for the machine's link.
func (p *Pipeline) Backlog() time.Duration { return p.transport.Backlog() }

// Enqueue puts an item into the queue before a stage. It returns false when the queue is full.
func (p *Pipeline) Enqueue(stage Stage, item any) bool {
	switch queued := item.(type) {
	case *PendingRequest:
		if stage == StageAdmit {
			return offer(p.admitQueue, queued)
		}
		return offer(p.selectQueue, queued)
	case AttemptOutcome:
		return offer(p.outcomeQueue, &queued)
	case backend.Decision:
		return offer(p.startQueue, &queued)
	}
	// A programming error: the Dispatcher knows what each stage takes.
	panic(fmt.Sprintf("frontend: stage %d takes no %T", stage, item))
}

func offer[T any](queue chan T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

// Open makes a traffic connection to a serving proxy. closed is called once when it breaks.
func (p *Pipeline) Open(servingProxy string, received func(msg any), closed func(connection Connection)) Connection {
	connection := p.transport.OpenTraffic(servingProxy, received)
	p.goroutines.Go("stage.watch", func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-connection.Closed():
			closed(connection)
		}
	})
	return connection
}

// After calls back once the time has passed.
func (p *Pipeline) After(wait time.Duration, then func()) {
	p.goroutines.Go("stage.after", func(ctx context.Context) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			then()
		}
	})
}
