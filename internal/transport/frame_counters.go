package transport

import (
	"go.uber.org/atomic"

	"beaconvane/internal/message"
)

// Count is the number of messages of a kind that were sent or received by one protocol since the start, and their
// bytes including frame headers. It never decreases, so a rate is the difference of two readings.
type Count struct {
	Protocol string `json:"way"` // "tcp" or "udp"
	Outbound bool   `json:"out"`
	Kind     string `json:"kind"`
	Messages int64  `json:"messages"`
	Bytes    int64  `json:"bytes"`
}

// Indices of frameCounters.counters: protocol and direction.
const (
	protocolTCP = 0
	protocolUDP = 1
	inbound     = 0
	outbound    = 1
)

// maxKinds is the number of values of the kind byte, the first byte of a frame.
const maxKinds = 256

var protocolNames = [2]string{protocolTCP: "tcp", protocolUDP: "udp"}

// frameCounters counts frames by protocol, direction and kind of message. It is safe for concurrent use.
type frameCounters struct {
	counters [2][2][maxKinds]frameCounter
}

// frameCounter counts the frames of one kind.
type frameCounter struct{ messages, bytes atomic.Int64 }

// add counts a frame; bytes includes its header.
func (f *frameCounters) add(protocol, direction int, kind byte, bytes int) {
	counter := &f.counters[protocol][direction][kind]
	counter.messages.Inc()
	counter.bytes.Add(int64(bytes))
}

// counts returns the nonzero counters.
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

// Counts returns the counts of sent and received messages since the start.
func (t *Transport) Counts() []Count { return t.counters.counts() }
