package simulation

import (
	"fmt"
	"strings"
	"time"

	"beaconvane/internal/message"
)

func (w *World) linked(from, to *Node) bool { return w.cuts[from.machine+">"+to.machine] == 0 }

func (w *World) cut(from, to string, by int) {
	w.cuts[from+">"+to] += by
	for _, machine := range []string{from, to} {
		healed := machine
		if !w.cutOff(machine) {
			// What waited on its connections is through a moment later.
			w.after(time.Second, func() {
				if !w.cutOff(healed) {
					delete(w.cutSince, healed)
				}
			})
		} else if _, already := w.cutSince[machine]; !already {
			w.cutSince[machine] = w.now
		}
	}
}

// cutOff: some link of the machine is cut.
func (w *World) cutOff(machine string) bool {
	for pair, count := range w.cuts {
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
		w.broken = append(w.broken, fmt.Sprintf("datagram of %d bytes: %T", len(frame), msg))
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
