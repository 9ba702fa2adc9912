// Package cue is the shape of all control state: a deterministic machine takes
// commands, each a type with an Apply method, and leaves effects on the stage it is
// given. No clock, network, disk, randomness or goroutine is inside a machine; time
// and dice come with the stage, and the effects are carried out by the process's
// loop or by the simulator. The same commands in the same order give the same
// effects.
package cue

import (
	"math/rand/v2"
	"time"
)

// Machine is what a process's control goroutine, or the simulator, drives.
type Machine interface {
	Hear(s *Stage, from string, message any)
	Tick(s *Stage)
	Synced(s *Stage, ticket int64, failure error)
	Asked(s *Stage, ticket int64, question any)
}

// Command changes a machine's state and leaves effects on the stage.
type Command interface {
	Apply(m Machine, s *Stage)
}

// Arrived is a message from another process.
type Arrived struct {
	From    string
	Message any
}

func (c Arrived) Apply(m Machine, s *Stage) { m.Hear(s, c.From, c.Message) }

// Ticked is the passing of one step of the clock.
type Ticked struct{}

func (c Ticked) Apply(m Machine, s *Stage) { m.Tick(s) }

// Synced says that a write is on disk, or that it failed.
type Synced struct {
	Ticket  int64
	Failure error
}

func (c Synced) Apply(m Machine, s *Stage) { m.Synced(s, c.Ticket, c.Failure) }

// Asked is a question from outside (HTTP) that wants a Reply with its ticket.
type Asked struct {
	Ticket   int64
	Question any
}

func (c Asked) Apply(m Machine, s *Stage) { m.Asked(s, c.Ticket, c.Question) }

// WireBroke is a question without an answer: the control wire that this process had
// opened to an address has ended, as it does at once when the process there ends.
type WireBroke struct{ Address string }

// Reseeded is tidings that the settings name other seeds now.
type Reseeded struct{ Seeds []string }

// Effects, in the order in which they are to be carried out.
type (
	// Send goes by wire to another process; it may be lost.
	Send struct {
		To      string
		Message any
	}
	// Datagram is the same over UDP.
	Datagram struct {
		To      string
		Message any
	}
	// Write appends a record to the log and syncs it, or, with View set, writes
	// the next slot and empties the log.
	Write struct {
		Ticket int64
		Record []byte
		View   []byte
	}
	// Reply answers an outside question.
	Reply struct {
		Ticket int64
		Answer any
	}
	// Publish hands an immutable view to the traffic side.
	Publish struct{ View any }
	// Note is a journal entry: what the node did and why.
	Note struct {
		At    time.Duration
		Deed  string
		Code  int
		Epoch int64
		Cause string
	}
	// Probe asks whether an address still takes wires.
	Probe struct {
		Address     string
		Key         string
		Incarnation int64
	}
	// Report posts a sealed usage window to the platform's collector.
	Report struct{ Body any }
)

// Stage is what a command is applied on: the time, the dice, the effects so far.
type Stage struct {
	Now     time.Duration
	Wall    time.Duration // time of day, for usage windows only; never for safety
	Dice    *rand.Rand
	effects []any
	tickets int64
}

// NewStage makes a stage with seeded dice.
func NewStage(seed uint64) *Stage {
	return &Stage{Dice: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (s *Stage) Send(to string, message any) { s.effects = append(s.effects, Send{to, message}) }
func (s *Stage) Datagram(to string, message any) {
	s.effects = append(s.effects, Datagram{to, message})
}
func (s *Stage) Reply(ticket int64, answer any) { s.effects = append(s.effects, Reply{ticket, answer}) }
func (s *Stage) Publish(view any)               { s.effects = append(s.effects, Publish{view}) }
func (s *Stage) Probe(address, key string, incarnation int64) {
	s.effects = append(s.effects, Probe{address, key, incarnation})
}
func (s *Stage) Report(body any) { s.effects = append(s.effects, Report{body}) }

// Append writes a record and gives the ticket that Synced will bear.
func (s *Stage) Append(record []byte) int64 {
	s.tickets++
	s.effects = append(s.effects, Write{Ticket: s.tickets, Record: record})
	return s.tickets
}

// Compact writes a whole view to the next slot and empties the log.
func (s *Stage) Compact(view []byte) int64 {
	s.tickets++
	s.effects = append(s.effects, Write{Ticket: s.tickets, View: view})
	return s.tickets
}

// Note leaves a journal entry.
func (s *Stage) Note(deed string, code int, epoch int64, cause string) {
	s.effects = append(s.effects, Note{s.Now, deed, code, epoch, cause})
}

// Drain takes the effects off the stage.
func (s *Stage) Drain() []any {
	drained := s.effects
	s.effects = nil
	return drained
}
