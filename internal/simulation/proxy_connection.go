package simulation

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// simConnection is a traffic connection between two proxies.
type simConnection struct {
	from, to *Node
	lifeFrom int
	lifeTo   int
	attached bool
	closed   bool
	queue    []any
	received func(msg any)
	broke    func(connection frontend.Connection)
	lastTo   time.Duration
	lastBack time.Duration
}

func (s *simConnection) dialled(target *Node, found bool) {
	w := s.from.world
	switch {
	case s.closed:
	case !found || !target.up:
		s.drop()
	case !w.linked(s.from, target) || !w.linked(target, s.from) || target.frozen:
		// Nothing answers: the dial times out. A frozen machine's kernel still takes
		// connections, which the next case covers for short freezes.
		if target.frozen {
			s.attach(target)
			return
		}
		w.after(s.from.settings.DialTimeout(), s.drop)
	default:
		s.attach(target)
	}
}

func (s *simConnection) attach(target *Node) {
	s.to, s.lifeTo, s.attached = target, target.incarnation, true
	for _, msg := range s.queue {
		s.forward(msg)
	}
	s.queue = nil
}

// drop closes the connection; the opener sees that at once, but is told of it a little
// later, as threads would have it: ends of several connections may be told in any order.
func (s *simConnection) drop() {
	if s.closed {
		return
	}
	s.closed = true
	w := s.from.world
	w.after(time.Duration(w.random.Int64N(int64(20*time.Millisecond))), func() { s.from.run(s.lifeFrom, func() { s.broke(s) }) })
}

// Broken says whether the connection has ended.
func (s *simConnection) Broken() bool { return s.closed }

// Established says whether the connection was made.
func (s *simConnection) Established() bool { return s.attached }

// Close ends the connection.
func (s *simConnection) Close() { s.closed = true }

// Post sends a message.
func (s *simConnection) Post(msg any) error {
	if s.closed {
		return errcode.Wrap("simulation.post", errcode.ConnectionLost, nil)
	}
	if !s.attached {
		s.queue = append(s.queue, msg)
		return nil
	}
	s.forward(msg)
	return nil
}

func (s *simConnection) forward(msg any) {
	w := s.from.world
	arrival := max(w.now+w.transit(), s.lastTo)
	s.lastTo = arrival
	s.deliverLater(arrival, s.from, s.to, s.lifeTo, func() {
		s.to.tracker.HandleFrame(reread(msg), func(reply any) error {
			if s.closed {
				return errcode.Wrap("simulation.back", errcode.ConnectionLost, nil)
			}
			back := max(w.now+w.transit(), s.lastBack)
			s.lastBack = back
			s.deliverLater(back, s.to, s.from, s.lifeFrom, func() { s.received(reread(reply)) })
			return nil
		})
	})
}

// deliverLater delivers along the connection; a cut holds it up, a long one breaks the connection.
func (s *simConnection) deliverLater(arrival time.Duration, from, to *Node, incarnation int, do func()) {
	w := s.from.world
	tries := 0
	var deliver func()
	deliver = func() {
		if s.closed || !to.up || to.incarnation != incarnation {
			return
		}
		if !w.linked(from, to) {
			tries++
			if tries > 25 {
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

// reread passes a message through the encoding, as the real connection does.
func reread(msg any) any {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	decoded, err := message.Decode(frame)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	return decoded
}

// connectionsLost breaks the connections that led to a node that ended.
func (w *World) connectionsLost(ended *Node) {
	for _, name := range w.order {
		node := w.nodes[name]
		if _, spoke := w.lastAt[node.address()+">"+ended.address()]; spoke && node != ended && w.linked(ended, node) {
			incarnation := node.incarnation
			w.after(w.transit(), func() {
				node.run(incarnation, func() {
					node.apply(statemachine.LocalRequest{Request: statemachine.ConnectionClosed{Address: ended.address()}})
				})
			})
		}
		for _, connection := range node.connections {
			if connection.to == ended && connection.attached && !connection.closed {
				lost := connection
				var tell func()
				tell = func() {
					// The end of a connection can't be heard through a cut.
					if !w.linked(ended, lost.from) {
						w.after(200*time.Millisecond, tell)
						return
					}
					lost.drop()
				}
				w.after(w.transit(), tell)
			}
		}
	}
}
