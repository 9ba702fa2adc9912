package statemachine

import (
	"math/rand/v2"
	"time"
)

// seedMix makes the second half of the random source's seed differ from the first.
const seedMix = 0x9e3779b97f4a7c15

// Env is the environment of a machine while a command is applied: the time, the random source and
// the effects collected so far.
type Env struct {
	Now           time.Duration // by the process clock, which is monotonic and starts at 0
	Wall          time.Duration // time of day since 1970; for usage windows only, never for safety
	Random        *rand.Rand
	effects       []Effect
	lastRequestID int64
}

// NewEnv returns an Env whose random source is seeded with seed.
func NewEnv(seed uint64) *Env {
	return &Env{Random: rand.New(rand.NewPCG(seed, seed^seedMix))}
}

// Send sends a message by connection.
func (e *Env) Send(to string, message any) { e.add(Send{to, message}) }

// Datagram sends a message by UDP.
func (e *Env) Datagram(to string, message any) { e.add(Datagram{to, message}) }

// Reply answers the question that was asked with this request ID.
func (e *Env) Reply(requestID int64, answer any) { e.add(Reply{requestID, answer}) }

// Publish hands a snapshot to the traffic side. The snapshot must not be changed afterwards.
func (e *Env) Publish(snapshot any) { e.add(Publish{snapshot}) }

// Probe checks whether an address accepts connections; key and incarnation say whose address it is.
func (e *Env) Probe(address, key string, incarnation int64) {
	e.add(Probe{address, key, incarnation})
}

// Report posts a sealed usage window to the collector.
func (e *Env) Report(body any) { e.add(Report{body}) }

// Append writes a record and returns the request ID that the Synced command will carry.
func (e *Env) Append(record []byte) int64 {
	e.lastRequestID++
	e.add(Write{RequestID: e.lastRequestID, Record: record})
	return e.lastRequestID
}

// Compact writes a whole snapshot to the next slot, empties the log and returns the request ID that
// the Synced command will carry.
func (e *Env) Compact(snapshot []byte) int64 {
	e.lastRequestID++
	e.add(Write{RequestID: e.lastRequestID, Snapshot: snapshot})
	return e.lastRequestID
}

// Event adds an entry to the journal.
func (e *Env) Event(eventName string, code int, epoch int64, cause string) {
	e.add(Event{e.Now, eventName, code, epoch, cause})
}

// Drain returns the collected effects, in the order in which the driver has to carry them out, and
// forgets them.
func (e *Env) Drain() []Effect {
	drained := e.effects
	e.effects = nil
	return drained
}

func (e *Env) add(effect Effect) { e.effects = append(e.effects, effect) }
