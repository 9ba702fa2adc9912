package simulation

import (
	"fmt"
	"strings"
	"time"

	"beaconvane/internal/message"
)

const (
	defaultDatagramLoss    = 0.002 // share of datagrams lost
	defaultMinTransitDelay = 300 * time.Microsecond
)

// network is the state of the links between machines: partitions, queues, loss and delay.
type network struct {
	cutCounts        map[string]int           // by "from>to" of machine names; overlapping cuts are counted
	cutLinkSince     map[string]time.Duration // by machine: since when some link of it is cut
	partitionedSince map[string]time.Duration // by core machine: since when it is partitioned from all others
	lastArrival      map[string]time.Duration // by "from>to" of addresses: arrival of the last message
	links            map[string]*link         // by machine
	datagramLoss     float64
	minTransitDelay  time.Duration
}

// newNetwork returns a network without cuts, with the default loss and delay.
func newNetwork() network {
	return network{
		cutCounts:        map[string]int{},
		cutLinkSince:     map[string]time.Duration{},
		partitionedSince: map[string]time.Duration{},
		lastArrival:      map[string]time.Duration{},
		links:            map[string]*link{},
		datagramLoss:     defaultDatagramLoss,
		minTransitDelay:  defaultMinTransitDelay,
	}
}

// reachable reports whether the link from one node's machine to the other's is not cut.
func (n *network) reachable(from, to *Node) bool {
	return n.cutCounts[from.machine+">"+to.machine] == 0
}

// changeCutCount adds delta to the number of cuts of the link from one machine to another, and updates
// since when each of the two has a cut link.
func (w *World) changeCutCount(from, to string, delta int) {
	w.cutCounts[from+">"+to] += delta
	for _, machine := range []string{from, to} {
		restored := machine
		if !w.hasCutLink(machine) {
			// Messages that waited for the cut link are delivered within a second.
			w.after(time.Second, func() {
				if !w.hasCutLink(restored) {
					delete(w.cutLinkSince, restored)
				}
			})
		} else if _, recorded := w.cutLinkSince[machine]; !recorded {
			w.cutLinkSince[machine] = w.now
		}
	}
}

// hasCutLink reports whether any link from or to a machine is cut.
func (n *network) hasCutLink(machine string) bool {
	for pair, count := range n.cutCounts {
		if count > 0 && (strings.HasPrefix(pair, machine+">") || strings.HasSuffix(pair, ">"+machine)) {
			return true
		}
	}
	return false
}

// randomTransitDelay draws a message's delay: one to two times minTransitDelay, and for one in 200
// messages up to 20 ms more.
func (w *World) randomTransitDelay() time.Duration {
	wait := w.minTransitDelay + time.Duration(w.random.Int64N(int64(w.minTransitDelay)))
	if w.random.IntN(200) == 0 {
		wait += time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
	}
	return wait
}

// send sends a control message over a connection, on which messages arrive in the order sent. On a cut
// link, each attempt 200 ms apart loses the message with a probability of a third.
func (w *World) send(from *Node, to string, msg any) {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: encode message %T: %v", msg, err))
	}
	w.controlMessagesPerSecond[int64(w.now/time.Second)]++
	w.largestFrameBytes = max(w.largestFrameBytes, len(frame))
	target, found := w.nodeByAddress[to]
	if !found {
		return
	}
	connectionKey := from.address() + ">" + to
	arrival := max(w.arrivalThroughLinks(from, target, len(frame)), w.lastArrival[connectionKey])
	incarnation := target.incarnation
	var deliver func()
	deliver = func() {
		if !target.up || target.incarnation != incarnation {
			return
		}
		if !w.reachable(from, target) {
			if w.random.IntN(3) == 0 {
				return
			}
			w.after(200*time.Millisecond, deliver)
			return
		}
		target.receive(from.address(), frame)
	}
	w.lastArrival[connectionKey] = arrival
	w.at(arrival, deliver)
}

// datagram sends a datagram. It is lost at random, on a cut link, or if it would wait too long for a link.
func (w *World) datagram(from *Node, to string, msg any) {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: encode datagram %T: %v", msg, err))
	}
	if len(frame) > 1400 {
		w.failures = append(w.failures, fmt.Sprintf("datagram of %d bytes exceeds the limit of 1400: %T", len(frame), msg))
	}
	target, found := w.nodeByAddress[to]
	if !found || !w.reachable(from, target) || w.random.Float64() < w.datagramLoss || w.linkQueueFull(from, target) {
		return
	}
	w.at(w.arrivalThroughLinks(from, target, len(frame)), func() {
		if target.up && w.reachable(from, target) {
			target.receive(from.address(), frame)
		}
	})
}
