package transport

import (
	"go.uber.org/atomic"

	"beaconvane/internal/message"
)

// Count is how many messages of a kind were sent or received so far, and their bytes with the headers
// of frames. It only grows: whoever wants a rate reads it twice.
type Count struct {
	Protocol string `json:"way"` // "tcp" or "udp"
	Outbound bool   `json:"out"`
	Kind     string `json:"kind"`
	Messages int64  `json:"messages"`
	Bytes    int64  `json:"bytes"`
}

// Indices of frameCounters.
const (
	protocolTCP = 0
	protocolUDP = 1
	inbound     = 0
	outbound    = 1
)

// maxKinds is how many kinds of message the first byte of a frame can name.
const maxKinds = 256

var protocolNames = [2]string{protocolTCP: "tcp", protocolUDP: "udp"}

// frameCounters counts frames by protocol, direction and kind of message.
type frameCounters struct {
	counters [2][2][maxKinds]frameCounter
}

type frameCounter struct{ messages, bytes atomic.Int64 }

func (f *frameCounters) add(protocol, direction int, kind byte, bytes int) {
	counter := &f.counters[protocol][direction][kind]
	counter.messages.Inc()
	counter.bytes.Add(int64(bytes))
}

// counts returns the counters that are not zero.
func (f *frameCounters) counts() []Count {
	counts := []Count{}
	for protocol := range f.counters {
		for direction := range f.counters[protocol] {
			for kind := range f.counters[protocol][direction] {
				counter := &f.counters[protocol][direction][kind]
				if counter.messages.Load() == 0 {
					continue
				}
				counts = append(counts, Count{
					Protocol: protocolNames[protocol],
					Outbound: direction == outbound,
					Kind:     message.KindName(byte(kind)),
					Messages: counter.messages.Load(),
					Bytes:    counter.bytes.Load(),
				})
			}
		}
	}
	return counts
}

// Counts returns what was sent and received so far.
func (t *Transport) Counts() []Count { return t.counters.counts() }
