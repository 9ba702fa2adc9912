package simulation

import "time"

// processClock is a process's view of time: a monotonic clock that starts at boot and runs at its own
// rate, and a wall clock with a constant offset.
type processClock struct {
	drift      float64 // rate minus 1
	wallOffset time.Duration
	bootAt     time.Duration
}

// sinceBoot returns the process's monotonic clock at a simulated time.
func (c processClock) sinceBoot(now time.Duration) time.Duration {
	since := now - c.bootAt
	return since + time.Duration(float64(since)*c.drift)
}

// wall returns the process's wall clock at a simulated time, as time since the Unix epoch.
func (c processClock) wall(now time.Duration) time.Duration { return epoch + now + c.wallOffset }

// trueWait converts a wait on the process's clock into simulated time.
func (c processClock) trueWait(wait time.Duration) time.Duration {
	return wait - time.Duration(float64(wait)*c.drift)
}

// Now returns the node's monotonic clock.
func (n *Node) Now() time.Duration { return n.clock.sinceBoot(n.world.now) }

// Wall returns the node's wall clock.
func (n *Node) Wall() time.Time { return time.Unix(0, int64(n.clock.wall(n.world.now))).UTC() }

// trueWait converts a wait on the node's clock into simulated time.
func (n *Node) trueWait(wait time.Duration) time.Duration { return n.clock.trueWait(wait) }
