package simulation

import (
	"time"

	"beaconvane/internal/message"
)

// fullLink is how long a datagram may wait for a link before it is dropped.
const maxLinkQueueDelay = 250 * time.Millisecond

// link is when each direction of a machine's link is free again.
type link struct {
	out time.Duration
	in  time.Duration
}

// linkRate is how many bytes a second a machine's link carries each way; 0: not bounded.
func (w *World) linkRate(n *Node) int64 {
	if n.role == message.RoleProxy {
		return w.options.Deployment.ProxyLink
	}
	return w.options.Deployment.CoreLink
}

func (w *World) linkOf(n *Node) *link {
	state, known := w.links[n.machine]
	if !known {
		state = &link{}
		w.links[n.machine] = state
	}
	return state
}

// passLinks is when a frame that leaves now has passed both machines' links and the way
// between them.
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

// crowded says that a datagram would wait too long for either link.
func (w *World) linkQueueFull(from, to *Node) bool {
	if from.machine == to.machine {
		return false
	}
	return w.linkOf(from).out-w.now > maxLinkQueueDelay || w.linkOf(to).in-w.now > maxLinkQueueDelay
}

func transmissionTime(size int, rate int64) time.Duration {
	return time.Duration(int64(size)) * time.Second / time.Duration(rate)
}
