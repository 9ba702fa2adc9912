package statemachine

import (
	"math/rand/v2"
	"time"
)

// pcgSeedMask is XORed into the seed to derive the second word of the PCG seed, so that the two words
// differ.
const pcgSeedMask = 0x9e3779b97f4a7c15

// Env is the environment in which a machine applies a command: the time, the random source and the
// effects collected so far. The driver sets Now and Wall before each command. Env is not safe for
// concurrent use.
type Env struct {
	Now           time.Duration // process clock: monotonic, starts at 0
	Wall          time.Duration // wall clock, since 1970 UTC; only for usage windows, safety must not depend on it
	Random        *rand.Rand
	effects       []Effect
	lastRequestID int64

	sequenceStarts *rand.Rand // draws the starts of sequences
}

// NewEnv returns an Env whose random source is seeded with seed.
func NewEnv(seed uint64) *Env {
	return &Env{
		Random:         rand.New(rand.NewPCG(seed, seed^pcgSeedMask)),
		sequenceStarts: newSequenceStarts(seed),
	}
}

// Send sends a message over a connection to the address to ("ip:port").
func (e *Env) Send(to string, message any) { e.add(Send{to, message}) }

// Datagram sends a message by UDP to the address to ("ip:port").
func (e *Env) Datagram(to string, message any) { e.add(Datagram{to, message}) }

// Reply answers the LocalRequest command with this request ID.
func (e *Env) Reply(requestID int64, answer any) { e.add(Reply{requestID, answer}) }

// Publish passes a snapshot to the data plane. The snapshot must not be modified afterwards.
func (e *Env) Publish(snapshot any) { e.add(Publish{snapshot}) }

// Probe checks whether an address accepts connections; key and incarnation identify the upstream at it.
func (e *Env) Probe(address, key string, incarnation int64) {
	e.add(Probe{address, key, incarnation})
}

// Report posts a sealed usage window to the usage collector.
func (e *Env) Report(body any) { e.add(Report{body}) }

// Append appends a record to the log and returns the request ID of the Synced command that follows.
func (e *Env) Append(record []byte) int64 {
	e.lastRequestID++
	e.add(Write{RequestID: e.lastRequestID, Record: record})
	return e.lastRequestID
}

// Compact writes a snapshot of the complete state to the next slot, truncates the log and returns the
// request ID of the Synced command that follows.
func (e *Env) Compact(snapshot []byte) int64 {
	e.lastRequestID++
	e.add(Write{RequestID: e.lastRequestID, Snapshot: snapshot})
	return e.lastRequestID
}

// Event adds an entry to the journal.
func (e *Env) Event(eventName string, code int, epoch int64, cause string) {
	e.add(Event{e.Now, eventName, code, epoch, cause})
}

// Drain returns the collected effects in the order in which the driver must carry them out, and
// removes them from the Env.
func (e *Env) Drain() []Effect {
	drained := e.effects
	e.effects = nil
	return drained
}

func (e *Env) add(effect Effect) { e.effects = append(e.effects, effect) }
