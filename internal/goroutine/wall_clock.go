package goroutine

import (
	"time"

	"beaconvane/internal/locking"
)

const (
	// minStep is the smallest sudden change of the wall clock that counts as a step.
	minStep = 128 * time.Millisecond
	// stepConfirmation is how long a step must persist before it is applied. A process that starts while its
	// machine's wall clock is wrong keeps the wrong time for this long after the clock was corrected.
	stepConfirmation = 20 * time.Second
)

// wallClock is a wall clock that ignores temporary steps of the machine's clock, so that usage is counted in
// the correct window on a machine whose time is wrong for a short time. It adds an offset to the monotonic
// clock. Corrections below minStep change the offset at once, a step only once it has persisted for
// stepConfirmation.
type wallClock struct {
	lock           locking.Mutex
	started        bool
	offset         time.Duration // wall clock minus monotonic clock, as applied
	candidate      time.Duration // observed offset that is a step away from offset
	candidateSince time.Duration // monotonic time at which candidate was first observed; 0 if there is no candidate
}

// read returns the filtered wall clock time since 1970 for a reading of both clocks.
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

// withinStep reports whether two offsets differ by less than minStep.
func withinStep(left, right time.Duration) bool {
	return (left - right).Abs() < minStep
}

// Wall returns the wall clock time since 1970 without temporary steps of the machine's clock. It is used
// where calendar time matters, such as usage windows; safety must not depend on it.
func (g *Group) Wall() time.Duration {
	now := time.Now()
	return g.wall.read(now.Sub(g.startedAt), time.Duration(now.UnixNano()))
}
