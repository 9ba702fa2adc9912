package simulation

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// simConnection is a traffic connection between two proxies. It implements frontend.Connection.
type simConnection struct {
	from, to        *Node
	fromIncarnation int
	toIncarnation   int
	established     bool
	closed          bool
	queue           []any
	onMessage       func(msg any)
	onBroken        func(connection frontend.Connection)
	lastForward     time.Duration
	lastReply       time.Duration
}

// finishDial establishes the connection, or fails it at once or after the dial timeout.
func (s *simConnection) finishDial(target *Node, found bool) {
	w := s.from.world
	switch {
	case s.closed:
	case !found || !target.up:
		s.drop()
	case !w.reachable(s.from, target) || !w.reachable(target, s.from) || target.frozen:
		// The dial times out without an answer, except at a frozen process, whose kernel still
		// accepts connections.
		if target.frozen {
			s.establish(target)
			return
		}
		w.after(s.from.settings.DialTimeout(), s.drop)
	default:
		s.establish(target)
	}
}

// establish connects to the current incarnation of the target and sends the queued messages.
func (s *simConnection) establish(target *Node) {
	s.to, s.toIncarnation, s.established = target, target.incarnation, true
	for _, msg := range s.queue {
		s.forward(msg)
	}
	s.queue = nil
}

// drop closes the connection. Broken reports that at once; the opener's callback runs up to 20 ms later,
// so that the loss of several connections may be reported in any order, as with concurrent goroutines.
func (s *simConnection) drop() {
	if s.closed {
		return
	}
	s.closed = true
	w := s.from.world
	w.after(time.Duration(w.random.Int64N(int64(20*time.Millisecond))), func() { s.from.run(s.fromIncarnation, func() { s.onBroken(s) }) })
}

// Broken reports whether the connection has been closed.
func (s *simConnection) Broken() bool { return s.closed }

// Established reports whether the connection has been established.
func (s *simConnection) Established() bool { return s.established }

// Close closes the connection without calling the opener's callback.
func (s *simConnection) Close() { s.closed = true }

// Post sends a message, or queues it until the connection is established.
func (s *simConnection) Post(msg any) error {
	if s.closed {
		return errcode.Wrap("simulation.post", errcode.ConnectionLost, nil)
	}
	if !s.established {
		s.queue = append(s.queue, msg)
		return nil
	}
	s.forward(msg)
	return nil
}

// forward delivers a message to the serving proxy and its replies to the opener, each in the order sent.
func (s *simConnection) forward(msg any) {
	w := s.from.world
	arrival := max(w.now+w.randomTransitDelay(), s.lastForward)
	s.lastForward = arrival
	s.deliverLater(arrival, s.from, s.to, s.toIncarnation, func() {
		s.to.dispatcher.HandleFrame(encodeAndDecode(msg), func(reply any) error {
			if s.closed {
				return errcode.Wrap("simulation.back", errcode.ConnectionLost, nil)
			}
			replyArrival := max(w.now+w.randomTransitDelay(), s.lastReply)
			s.lastReply = replyArrival
			s.deliverLater(replyArrival, s.to, s.from, s.fromIncarnation, func() { s.onMessage(encodeAndDecode(reply)) })
			return nil
		})
	})
}

// deliverLater calls a function at the receiver when a message arrives. While the link is cut, it retries
// every 200 ms; after 25 retries the connection breaks.
func (s *simConnection) deliverLater(arrival time.Duration, from, to *Node, incarnation int, do func()) {
	w := s.from.world
	retries := 0
	var deliver func()
	deliver = func() {
		if s.closed || !to.up || to.incarnation != incarnation {
			return
		}
		if !w.reachable(from, to) {
			retries++
			if retries > 25 {
				s.drop()
				return
			}
			w.after(200*time.Millisecond, deliver)
			return
		}
		to.run(incarnation, do)
	}
	w.at(arrival, deliver)
}

// encodeAndDecode passes a message through the wire encoding, as the real connection does.
func encodeAndDecode(msg any) any {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: encode %T: %v", msg, err))
	}
	decoded, err := message.Decode(frame)
	if err != nil {
		panic(fmt.Sprintf("simulation: decode %T: %v", msg, err))
	}
	return decoded
}

// breakConnectionsTo breaks the connections of the other nodes to a node that has ended.
func (w *World) breakConnectionsTo(ended *Node) {
	for _, name := range w.nodeOrder {
		node := w.nodes[name]
		if _, communicated := w.lastArrival[node.address()+">"+ended.address()]; communicated && node != ended && w.reachable(ended, node) {
			incarnation := node.incarnation
			w.after(w.randomTransitDelay(), func() {
				node.run(incarnation, func() {
					node.apply(statemachine.LocalRequest{Request: statemachine.ConnectionClosed{Address: ended.address()}})
				})
			})
		}
		for _, connection := range node.connections {
			if connection.to == ended && connection.established && !connection.closed {
				broken := connection
				var notify func()
				notify = func() {
					// A cut link doesn't carry the end of the connection; retry.
					if !w.reachable(ended, broken.from) {
						w.after(200*time.Millisecond, notify)
						return
					}
					broken.drop()
				}
				w.after(w.randomTransitDelay(), notify)
			}
		}
	}
}
