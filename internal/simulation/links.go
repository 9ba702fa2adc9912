package simulation

import (
	"time"

	"beaconvane/internal/message"
)

// fullLink is how long a datagram may wait for a link before it is dropped.
const fullLink = 250 * time.Millisecond

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
	held, known := w.links[n.machine]
	if !known {
		held = &link{}
		w.links[n.machine] = held
	}
	return held
}

// passLinks is when a frame that leaves now has passed both machines' links and the way
// between them.
func (w *World) passLinks(from, to *Node, size int) time.Duration {
	transit := w.transit()
	if from.machine == to.machine {
		return w.now + transit
	}
	arrival := w.now
	if rate := w.linkRate(from); rate > 0 {
		out := w.linkOf(from)
		out.out = max(out.out, w.now) + sendTime(size, rate)
		arrival = out.out
	}
	arrival += transit
	if rate := w.linkRate(to); rate > 0 {
		in := w.linkOf(to)
		in.in = max(in.in, arrival-sendTime(size, rate)) + sendTime(size, rate)
		arrival = max(arrival, in.in)
	}
	return arrival
}

// crowded says that a datagram would wait too long for either link.
func (w *World) crowded(from, to *Node) bool {
	if from.machine == to.machine {
		return false
	}
	return w.linkOf(from).out-w.now > fullLink || w.linkOf(to).in-w.now > fullLink
}

func sendTime(size int, rate int64) time.Duration {
	return time.Duration(int64(size)) * time.Second / time.Duration(rate)
}
