package simulation

import "time"

// processClock is a process's view of time: a clock since its boot that runs at its own rate, and a
// time of day that is off by a constant.
type processClock struct {
	drift      float64 // rate less 1
	wallOffset time.Duration
	bootAt     time.Duration
}

// sinceBoot is the process's clock at a true time.
func (c processClock) sinceBoot(now time.Duration) time.Duration {
	since := now - c.bootAt
	return since + time.Duration(float64(since)*c.drift)
}

// wall is the process's time of day at a true time, since the Unix epoch.
func (c processClock) wall(now time.Duration) time.Duration { return epoch + now + c.wallOffset }

// trueWait turns a wait on the process's clock into true time.
func (c processClock) trueWait(wait time.Duration) time.Duration {
	return wait - time.Duration(float64(wait)*c.drift)
}

// Now is the node's own clock: since its boot, at its own rate.
func (n *Node) Now() time.Duration { return n.clock.sinceBoot(n.world.now) }

// Wall is the node's time of day.
func (n *Node) Wall() time.Time                           { return time.Unix(0, int64(n.clock.wall(n.world.now))).UTC() }
func (n *Node) trueWait(wait time.Duration) time.Duration { return n.clock.trueWait(wait) }
