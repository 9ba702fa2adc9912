// Package statemachine is the shape of all control state: a deterministic machine takes
// commands, each a type with an Apply method, and leaves effects on the stage it is
// given. No clock, network, disk, randomness or goroutine is inside a machine; time
// and dice come with the stage, and the effects are carried out by the process's
// loop or by the simulator. The same commands in the same order give the same
// effects.
package statemachine

import (
	"math/rand/v2"
	"time"
)

// Machine is what a process's control goroutine, or the simulator, drives.
type Machine interface {
	Handle(s *Env, from string, msg any)
	Tick(s *Env)
	Synced(s *Env, requestID int64, failure error)
	Asked(s *Env, requestID int64, question any)
}

// Command changes a machine's state and leaves effects on the stage.
type Command interface {
	Apply(m Machine, s *Env)
}

// Arrived is a message from another process.
type Arrived struct {
	From    string
	Message any
}

func (c Arrived) Apply(m Machine, s *Env) { m.Handle(s, c.From, c.Message) }

// Ticked is the passing of one step of the clock.
type Ticked struct{}

func (c Ticked) Apply(m Machine, s *Env) { m.Tick(s) }

// Synced says that a write is on disk, or that it failed.
type Synced struct {
	RequestID int64
	Failure   error
}

func (c Synced) Apply(m Machine, s *Env) { m.Synced(s, c.RequestID, c.Failure) }

// Asked is a question from outside (HTTP) that wants a Reply with its ticket.
type Asked struct {
	RequestID int64
	Question  any
}

func (c Asked) Apply(m Machine, s *Env) { m.Asked(s, c.RequestID, c.Question) }

// ConnectionBroke is a question without an answer: the control connection that this process had
// opened to an address has ended, as it does at once when the process there ends.
type ConnectionBroke struct{ Address string }

// Reseeded is tidings that the settings name other seeds now.
type Reseeded struct{ Seeds []string }

// Effects, in the order in which they are to be carried out.
type (
	// Send goes by connection to another process; it may be lost.
	Send struct {
		To      string
		Message any
	}
	// Datagram is the same over UDP.
	Datagram struct {
		To      string
		Message any
	}
	// Write appends a record to the log and syncs it, or, with Snapshot set, writes
	// the next slot and empties the log.
	Write struct {
		RequestID int64
		Record    []byte
		Snapshot  []byte
	}
	// Reply answers an outside question.
	Reply struct {
		RequestID int64
		Answer    any
	}
	// Publish hands an immutable snapshot to the traffic side.
	Publish struct{ Snapshot any }
	// Note is a journal entry: what the node did and why.
	Event struct {
		At        time.Duration
		EventName string
		Code      int
		Epoch     int64
		Cause     string
	}
	// Probe asks whether an address still takes connections.
	Probe struct {
		Address     string
		Key         string
		Incarnation int64
	}
	// Report posts a sealed usage window to the platform's collector.
	Report struct{ Body any }
)

// Env is what a command is applied on: the time, the dice, the effects so far.
type Env struct {
	Now           time.Duration
	Wall          time.Duration // time of day, for usage windows only; never for safety
	Random        *rand.Rand
	effects       []any
	lastRequestID int64
}

// NewEnv makes a stage with seeded dice.
func NewEnv(seed uint64) *Env {
	return &Env{Random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (s *Env) Send(to string, msg any) { s.effects = append(s.effects, Send{to, msg}) }
func (s *Env) Datagram(to string, msg any) {
	s.effects = append(s.effects, Datagram{to, msg})
}
func (s *Env) Reply(requestID int64, answer any) {
	s.effects = append(s.effects, Reply{requestID, answer})
}
func (s *Env) Publish(snapshot any) { s.effects = append(s.effects, Publish{snapshot}) }
func (s *Env) Probe(address, key string, incarnation int64) {
	s.effects = append(s.effects, Probe{address, key, incarnation})
}
func (s *Env) Report(body any) { s.effects = append(s.effects, Report{body}) }

// Append writes a record and gives the ticket that Synced will bear.
func (s *Env) Append(record []byte) int64 {
	s.lastRequestID++
	s.effects = append(s.effects, Write{RequestID: s.lastRequestID, Record: record})
	return s.lastRequestID
}

// Compact writes a whole snapshot to the next slot and empties the log.
func (s *Env) Compact(snapshot []byte) int64 {
	s.lastRequestID++
	s.effects = append(s.effects, Write{RequestID: s.lastRequestID, Snapshot: snapshot})
	return s.lastRequestID
}

// Event leaves a journal entry.
func (s *Env) Event(eventName string, code int, epoch int64, cause string) {
	s.effects = append(s.effects, Event{s.Now, eventName, code, epoch, cause})
}

// Drain takes the effects off the stage.
func (s *Env) Drain() []any {
	drained := s.effects
	s.effects = nil
	return drained
}
