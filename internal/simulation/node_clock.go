package simulation

import (
	"time"
)

// Now is the node's own clock: since its boot, at its own rate.
func (n *Node) Now() time.Duration {
	since := n.world.now - n.bootAt
	return since + time.Duration(float64(since)*n.drift)
}

// Wall is the node's time of day.
func (n *Node) Wall() time.Time {
	return time.Unix(0, int64(epoch+n.world.now+n.wallOffset)).UTC()
}

// trueWait turns a wait on the node's clock into true time.
func (n *Node) trueWait(wait time.Duration) time.Duration {
	return wait - time.Duration(float64(wait)*n.drift)
}
