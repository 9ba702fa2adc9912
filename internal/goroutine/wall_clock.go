package goroutine

import (
	"sync"
	"time"
)

const (
	// minStep is the smallest change at once that counts as a step.
	minStep = 128 * time.Millisecond
	// stepConfirmation is how long a step has to last before it is followed. A process that starts
	// while its machine's time is wrong is wrong itself for so long after the time was set right.
	stepConfirmation = 20 * time.Second
)

// wallClock returns the time of day, and follows a step of the machine's clock only once the step has
// lasted. It adds an offset to the monotonic clock: slow corrections change the offset at once, a step
// does so after stepOut. Usage is counted right on a machine whose time is set wrong for a while.
type wallClock struct {
	lock    sync.Mutex
	started bool
	offset  time.Duration // time of day less monotonic time, as followed
	candidate    time.Duration // another offset that is seen now
	candidateSince   time.Duration // monotonic time at which that one was seen first; 0 when there is none
}

// read takes a reading of both clocks and returns the time of day since 1970 to go by.
func (c *wallClock) read(monotonic, timeOfDay time.Duration) time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	observed := timeOfDay - monotonic
	switch {
	case !c.started:
		c.started, c.offset = true, observed
	case withinStep(observed, c.offset):
		c.offset, c.candidateSince = observed, 0
	case c.candidateSince == 0 || !withinStep(observed, c.candidate):
		c.candidate, c.candidateSince = observed, monotonic
	case monotonic-c.candidateSince >= stepConfirmation:
		c.offset, c.candidateSince = observed, 0
	}
	return monotonic + c.offset
}

// withinStep reports whether two offsets differ by less than a step.
func withinStep(left, right time.Duration) bool {
	return (left - right).Abs() < minStep
}

// Wall returns the time of day since 1970, without short steps of the machine's clock. It is for what
// is counted by the time of day; safety never depends on it.
func (g *Group) Wall() time.Duration {
	now := time.Now()
	return g.wall.read(now.Sub(g.startedAt), time.Duration(now.UnixNano()))
}
