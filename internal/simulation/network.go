package simulation

import (
	"fmt"
	"strings"
	"time"

	"beaconvane/internal/message"
)

const (
	defaultDatagramLoss = 0.002 // share of datagrams
	defaultDelay        = 300 * time.Microsecond
)

// network is the state of the links between machines: cuts, rates and delays.
type network struct {
	cutCounts        map[string]int // "from>to" by machine name, counted
	cutLinkSince     map[string]time.Duration
	partitionedSince map[string]time.Duration // core machines cut off from all others, since when
	lastArrival      map[string]time.Duration // "from>to" by address: when the last message arrives
	links            map[string]*link         // by machine
	datagramLoss     float64
	minTransitDelay  time.Duration
}

func newNetwork() network {
	return network{
		cutCounts:        map[string]int{},
		cutLinkSince:     map[string]time.Duration{},
		partitionedSince: map[string]time.Duration{},
		lastArrival:      map[string]time.Duration{},
		links:            map[string]*link{},
		datagramLoss:     defaultDatagramLoss,
		minTransitDelay:  defaultDelay,
	}
}
func (n *network) reachable(from, to *Node) bool {
	return n.cutCounts[from.machine+">"+to.machine] == 0
}

func (w *World) changeCutCount(from, to string, delta int) {
	w.cutCounts[from+">"+to] += delta
	for _, machine := range []string{from, to} {
		healed := machine
		if !w.hasCutLink(machine) {
			// What waited on its connections is through a moment later.
			w.after(time.Second, func() {
				if !w.hasCutLink(healed) {
					delete(w.cutLinkSince, healed)
				}
			})
		} else if _, recorded := w.cutLinkSince[machine]; !recorded {
			w.cutLinkSince[machine] = w.now
		}
	}
}

// partitioned says that some link of the machine is cut.
func (n *network) hasCutLink(machine string) bool {
	for pair, count := range n.cutCounts {
		if count > 0 && (strings.HasPrefix(pair, machine+">") || strings.HasSuffix(pair, ">"+machine)) {
			return true
		}
	}
	return false
}

func (w *World) randomTransitDelay() time.Duration {
	wait := w.minTransitDelay + time.Duration(w.random.Int64N(int64(w.minTransitDelay)))
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

func (w *World) datagram(from *Node, to string, msg any) {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	if len(frame) > 1400 {
		w.failures = append(w.failures, fmt.Sprintf("datagram of %d bytes: %T", len(frame), msg))
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
