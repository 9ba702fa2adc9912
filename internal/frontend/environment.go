package frontend

import (
	"math/rand/v2"
	"time"
)

// Stage identifies a processing step and its queue.
type Stage int

// The stages that follow the reading of a request.
const (
	// StageAdmit admits a submitted request. Its items are of type *PendingRequest.
	StageAdmit Stage = iota
	// StageSelect selects an upstream for a request's next attempt. Its items are of type
	// *PendingRequest.
	StageSelect
	// StageOutcome evaluates the outcome of an attempt. Its items are of type AttemptOutcome.
	StageOutcome
	// StageStart, at the serving proxy, calls an upstream. Its items are of type
	// backend.Decision.
	StageStart
)

// Connection carries traffic frames to one serving proxy.
type Connection interface {
	// Post queues a frame for sending. It returns an error if the frame was not queued.
	Post(msg any) error
	// Broken reports whether the connection has ended.
	Broken() bool
	// Established reports whether the connection was established at any time. If it was not, no
	// posted frame has reached the serving proxy.
	Established() bool
	// Close ends the connection.
	Close()
}

// Environment provides the clocks, randomness, queues and connections of a Dispatcher. The Pipeline
// implements it for a real process, the simulator for a simulated one.
type Environment interface {
	// Now returns the monotonic process clock.
	Now() time.Duration
	// Wall returns the wall-clock time.
	Wall() time.Time
	// Random returns the random source for decisions on requests.
	Random() *rand.Rand

	// Enqueue adds an item to the queue of a stage. It returns false if the queue is full.
	Enqueue(stage Stage, item any) bool

	// Open opens a connection to a serving proxy. onMessage is called for each frame received, and
	// onClosed once when the connection breaks.
	Open(servingProxy string, onMessage func(msg any), onClosed func(connection Connection)) Connection

	// After calls callback once delay has passed.
	After(delay time.Duration, callback func())

	// Notify passes a notice to the control state.
	Notify(notice any)

	// Cancel aborts the upstream exchange of an attempt that this serving proxy has started. The
	// attempt's outcome is still passed to Dispatcher.Complete.
	Cancel(attemptID string)

	// Backlog returns how long a frame posted now would wait for the machine's link.
	Backlog() time.Duration
}
