package simulation

import (
	"time"

	"beaconvane/internal/message"
)

// maxLinkQueueDelay is the longest wait for a link at which a datagram is not dropped.
const maxLinkQueueDelay = 250 * time.Millisecond

// link holds the simulated times at which each direction of a machine's link becomes idle.
type link struct {
	out time.Duration
	in  time.Duration
}

// linkRate returns the bandwidth of a node's link in bytes per second, each way; 0 means unlimited.
func (w *World) linkRate(n *Node) int64 {
	if n.role == message.RoleProxy {
		return w.options.Deployment.ProxyLink
	}
	return w.options.Deployment.CoreLink
}

// linkOf returns the link state of a node's machine.
func (w *World) linkOf(n *Node) *link {
	state, known := w.links[n.machine]
	if !known {
		state = &link{}
		w.links[n.machine] = state
	}
	return state
}

// arrivalThroughLinks returns the arrival time of a frame sent now: after the sender's link, the transit
// delay and the receiver's link. It reserves the time on both links. Frames within a machine use no link.
func (w *World) arrivalThroughLinks(from, to *Node, size int) time.Duration {
	transit := w.randomTransitDelay()
	if from.machine == to.machine {
		return w.now + transit
	}
	arrival := w.now
	if rate := w.linkRate(from); rate > 0 {
		out := w.linkOf(from)
		out.out = max(out.out, w.now) + transmissionTime(size, rate)
		arrival = out.out
	}
	arrival += transit
	if rate := w.linkRate(to); rate > 0 {
		in := w.linkOf(to)
		in.in = max(in.in, arrival-transmissionTime(size, rate)) + transmissionTime(size, rate)
		arrival = max(arrival, in.in)
	}
	return arrival
}

// linkQueueFull reports whether a datagram would wait longer than maxLinkQueueDelay for either link.
func (w *World) linkQueueFull(from, to *Node) bool {
	if from.machine == to.machine {
		return false
	}
	return w.linkOf(from).out-w.now > maxLinkQueueDelay || w.linkOf(to).in-w.now > maxLinkQueueDelay
}

// transmissionTime returns the time a number of bytes takes at a rate in bytes per second.
func transmissionTime(size int, rate int64) time.Duration {
	return time.Duration(int64(size)) * time.Second / time.Duration(rate)
}
