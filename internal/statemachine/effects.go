package statemachine

import "time"

// Effect is an output of a machine that its driver carries out. Only types of this package implement
// it, so a driver's type switch can cover all of them.
type Effect interface{ isEffect() }

func (Send) isEffect()     {}
func (Datagram) isEffect() {}
func (Write) isEffect()    {}
func (Reply) isEffect()    {}
func (Publish) isEffect()  {}
func (Event) isEffect()    {}
func (Probe) isEffect()    {}
func (Report) isEffect()   {}

// Send is the effect that sends a message over a connection. The message may be lost.
type Send struct {
	To      string // address, "ip:port"
	Message any
}

// Datagram is the effect that sends a message by UDP. The message may be lost.
type Datagram struct {
	To      string // address, "ip:port"
	Message any
}

// Write is the effect that appends Record to the log and syncs it or, if Snapshot is set, writes
// Snapshot to the next slot and truncates the log. The driver then applies a Synced command with the
// same RequestID.
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

// Publish is the effect that passes an immutable snapshot to the data plane.
type Publish struct{ Snapshot any }

// Event is the effect that adds an entry to the journal, the operators' record of what the machine
// did and why.
type Event struct {
	At        time.Duration // process clock
	EventName string
	Code      int // an errcode.Code; 0 if the event is not an error
	Epoch     int64
	Cause     string
}

// Probe is the effect that checks whether an upstream accepts connections at an address.
type Probe struct {
	Address     string
	Key         string // upstream key
	Incarnation int64  // incarnation of the upstream
}

// Report is the effect that posts a sealed usage window to the usage collector.
type Report struct{ Body any }
