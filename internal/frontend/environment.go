package frontend

import (
	"math/rand/v2"
	"time"
)

// Stage names the step before which a queue stands.
type Stage int

// The stages behind the reading of a request.
const (
	// StageAdmit takes a *PendingRequest that was just submitted.
	StageAdmit Stage = iota
	// StageSelect takes a *PendingRequest that needs an upstream for its next attempt.
	StageSelect
	// StageOutcome takes the AttemptOutcome of an attempt.
	StageOutcome
	// StageStart, at the serving proxy, takes the backend.Decision to call an upstream.
	StageStart
)

// Connection carries traffic frames to one serving proxy.
type Connection interface {
	Post(msg any) error
	// Broken reports whether the connection has ended.
	Broken() bool
	// Established reports whether the connection was ever made. What was posted on one that never
	// was has not reached anybody.
	Established() bool
	Close()
}

// Environment is what a Dispatcher needs of its surroundings: clocks, randomness, queues and
// connections. The Pipeline gives those of a real process, the simulator those of a simulated one.
type Environment interface {
	Now() time.Duration
	Wall() time.Time
	Random() *rand.Rand

	// Enqueue puts an item into the queue before a stage. It returns false when the queue is full.
	Enqueue(stage Stage, item any) bool

	// Open makes a connection to a serving proxy. closed is called once when it breaks.
	Open(servingProxy string, received func(msg any), closed func(connection Connection)) Connection

	// After calls back once the time has passed.
	After(wait time.Duration, then func())

	// Notify hands a notice to the control state.
	Notify(notice any)

	// Cancel breaks off the exchange of an attempt that this serving proxy has started. Its
	// outcome is completed as any other.
	Cancel(attemptID string)

	// Backlog is how long a frame that was posted now would wait for the machine's link.
	Backlog() time.Duration
}
