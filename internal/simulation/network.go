package simulation

import (
	"fmt"
	"strings"
	"time"

	"beaconvane/internal/message"
)

const (
	usualLoss  = 0.002 // share of datagrams
	usualDelay = 300 * time.Microsecond
)

// network is the state of the links between machines: cuts, rates and delays.
type network struct {
	cuts     map[string]int // "from>to" by machine name, counted
	cutSince map[string]time.Duration
	severed  map[string]time.Duration // core machines cut off from all others, since when
	lastAt   map[string]time.Duration // "from>to" by address: when the last message arrives
	links    map[string]*link         // by machine
	loss     float64
	delay    time.Duration
}

func newNetwork() network {
	return network{
		cuts:     map[string]int{},
		cutSince: map[string]time.Duration{},
		severed:  map[string]time.Duration{},
		lastAt:   map[string]time.Duration{},
		links:    map[string]*link{},
		loss:     usualLoss,
		delay:    usualDelay,
	}
}
func (n *network) linked(from, to *Node) bool { return n.cuts[from.machine+">"+to.machine] == 0 }

func (w *World) cut(from, to string, by int) {
	w.cuts[from+">"+to] += by
	for _, machine := range []string{from, to} {
		healed := machine
		if !w.partitioned(machine) {
			// What waited on its connections is through a moment later.
			w.after(time.Second, func() {
				if !w.partitioned(healed) {
					delete(w.cutSince, healed)
				}
			})
		} else if _, already := w.cutSince[machine]; !already {
			w.cutSince[machine] = w.now
		}
	}
}

// partitioned says that some link of the machine is cut.
func (n *network) partitioned(machine string) bool {
	for pair, count := range n.cuts {
		if count > 0 && (strings.HasPrefix(pair, machine+">") || strings.HasSuffix(pair, ">"+machine)) {
			return true
		}
	}
	return false
}

func (w *World) transit() time.Duration {
	wait := w.delay + time.Duration(w.random.Int64N(int64(w.delay)))
	if w.random.IntN(200) == 0 {
		wait += time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
	}
	return wait
}

// send carries a control message: in order on a connection. Over a cut it is kept back and
// comes late, or is lost with the connection.
func (w *World) send(from *Node, to string, msg any) {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	w.sent[int64(w.now/time.Second)]++
	w.frameMax = max(w.frameMax, len(frame))
	target, found := w.byAddress[to]
	if !found {
		return
	}
	lane := from.address() + ">" + to
	arrival := max(w.passLinks(from, target, len(frame)), w.lastAt[lane])
	incarnation := target.incarnation
	var deliver func()
	deliver = func() {
		if !target.up || target.incarnation != incarnation {
			return
		}
		if !w.linked(from, target) {
			if w.random.IntN(3) == 0 {
				return
			}
			w.after(200*time.Millisecond, deliver)
			return
		}
		target.arrive(from.address(), frame)
	}
	w.lastAt[lane] = arrival
	w.at(arrival, deliver)
}

func (w *World) datagram(from *Node, to string, msg any) {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	if len(frame) > 1400 {
		w.failures = append(w.failures, fmt.Sprintf("datagram of %d bytes: %T", len(frame), msg))
	}
	target, found := w.byAddress[to]
	if !found || !w.linked(from, target) || w.random.Float64() < w.loss || w.crowded(from, target) {
		return
	}
	w.at(w.passLinks(from, target, len(frame)), func() {
		if target.up && w.linked(from, target) {
			target.arrive(from.address(), frame)
		}
	})
}
