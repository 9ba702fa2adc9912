package statemachine

import "time"

// Effect is something that a machine wants done outside itself. Only the types of this package are
// effects, so a driver's type switch over them can be complete.
type Effect interface{ isEffect() }

func (Send) isEffect()     {}
func (Datagram) isEffect() {}
func (Write) isEffect()    {}
func (Reply) isEffect()    {}
func (Publish) isEffect()  {}
func (Event) isEffect()    {}
func (Probe) isEffect()    {}
func (Report) isEffect()   {}

// Send is the effect that sends a message by connection; it may be lost.
type Send struct {
	To      string // address, "ip:port"
	Message any
}

// Datagram is the effect that sends a message by UDP; it may be lost.
type Datagram struct {
	To      string
	Message any
}

// Write is the effect that appends a record to the log and syncs it or, with Snapshot set, writes
// the next snapshot slot and empties the log. A Synced command with the same RequestID follows.
type Write struct {
	RequestID int64
	Record    []byte
	Snapshot  []byte
}

// Reply is the effect that answers a LocalRequest command.
type Reply struct {
	RequestID int64
	Answer    any
}

// Publish is the effect that hands an immutable snapshot to the traffic side.
type Publish struct{ Snapshot any }

// Event is the effect that adds an entry to the journal, which tells operators what the machine did
// and why.
type Event struct {
	At        time.Duration // by the process clock
	EventName string
	Code      int // errcode.Code; 0 when nothing failed
	Epoch     int64
	Cause     string
}

// Probe is the effect that checks whether an address accepts connections.
type Probe struct {
	Address     string
	Key         string // names the upstream that is checked
	Incarnation int64  // of that upstream
}

// Report is the effect that posts a sealed usage window to the collector.
type Report struct{ Body any }
