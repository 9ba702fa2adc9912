// This file is the machine's side of the disk: a ledger remembers what is to happen
// once each write is synced. State in memory runs ahead of the disk; whatever others
// may rely on is sent only from the continuation. One failed write stops the ledger
// for good: no continuation of a later write is told of success.
package storage

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Then runs when a write is synced, or with the failure that prevented it.
type Then func(s *statemachine.Env, failure error)

// Ledger orders a machine's writes.
type Ledger struct {
	snapshot func() []byte
	waiting  map[int64]Then
	failure  error
	bytes    int
	limit    int
	begun    bool
}

// NewLedger makes a ledger; snapshot gives the machine's whole state, and the log is
// folded into a slot when it holds more than limit bytes. An empty disk gets a whole
// snapshot first, whatever is to be written.
func NewLedger(limit int, snapshot func() []byte, empty bool) *Ledger {
	return &Ledger{snapshot: snapshot, waiting: map[int64]Then{}, limit: limit, begun: !empty}
}

// Failure is set once a write has failed.
func (l *Ledger) Failure() error { return l.failure }

// Persist appends a message as a record.
func (l *Ledger) Persist(s *statemachine.Env, record any, then Then) {
	if l.failure != nil {
		then(s, l.failure)
		return
	}
	body, err := message.Encode(record)
	if err != nil {
		then(s, err)
		return
	}
	if !l.begun || l.bytes+len(body) > l.limit {
		l.Compact(s, then)
		return
	}
	l.bytes += len(body)
	l.waiting[s.Append(body)] = then
}

// Compact writes the whole snapshot; the record in hand is part of it already.
func (l *Ledger) Compact(s *statemachine.Env, then Then) {
	if l.failure != nil {
		then(s, l.failure)
		return
	}
	l.bytes, l.begun = 0, true
	l.waiting[s.Compact(l.snapshot())] = then
}

// Synced answers a ticket.
func (l *Ledger) Synced(s *statemachine.Env, requestID int64, failure error) {
	then, found := l.waiting[requestID]
	if !found {
		return
	}
	delete(l.waiting, requestID)
	if failure != nil && l.failure == nil {
		l.failure = failure
		s.Event("disk-failed", 5003, 0, failure.Error())
	}
	then(s, l.failure)
}
