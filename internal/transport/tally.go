// This file counts the frames of a process by way (tcp or udp), direction and kind of
// message, with their bytes as they stand on the connection, frame heads included. The counts
// only grow; whoever wants a rate reads them twice.

package transport

import (
	"go.uber.org/atomic"

	"beaconvane/internal/message"
)

// Count is how much of one kind has passed.
type Count struct {
	Protocol string `json:"way"` // tcp or udp
	Outbound bool   `json:"out"`
	Kind     string `json:"kind"`
	Messages int64  `json:"messages"`
	Bytes    int64  `json:"bytes"`
}

const (
	wayTCP, wayUDP  = 0, 1
	inward, outward = 0, 1
)

var wayNames = [2]string{"tcp", "udp"}

type passed struct{ messages, bytes atomic.Int64 }

type tally struct {
	passed [2][2][256]passed
}

func (t *tally) add(way, direction int, kind byte, size int) {
	held := &t.passed[way][direction][kind]
	held.messages.Inc()
	held.bytes.Add(int64(size))
}

// Counts lists what has passed so far.
func (w *Transport) Counts() []Count {
	list := []Count{}
	for way := range w.tally.passed {
		for direction := range w.tally.passed[way] {
			for kind := range w.tally.passed[way][direction] {
				held := &w.tally.passed[way][direction][kind]
				if messages := held.messages.Load(); messages > 0 {
					list = append(list, Count{wayNames[way], direction == outward, message.KindName(byte(kind)), messages, held.bytes.Load()})
				}
			}
		}
	}
	return list
}
