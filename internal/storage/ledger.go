package storage

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// SyncCallback is called when a write is synced, or with the failure that prevented it.
type SyncCallback func(s *statemachine.Env, failure error)

// Writer orders a machine's writes, and remembers what is to happen once each is synced. State in
// memory runs ahead of the disk; whatever others may rely on is sent only from a write's Then. One
// failed write stops the ledger for good: no later write is reported as successful.
type Writer struct {
	snapshot func() []byte
	waiting  map[int64]SyncCallback
	failure  error
	bytes    int
	limit    int
	begun    bool
}

// NewWriter returns a ledger. snapshot returns the machine's whole state; the log is replaced by a
// snapshot when it would hold more than limit bytes. An empty disk gets a snapshot first, whatever is
// to be written.
func NewWriter(limit int, snapshot func() []byte, empty bool) *Writer {
	return &Writer{snapshot: snapshot, waiting: map[int64]SyncCallback{}, limit: limit, begun: !empty}
}

// Failure returns the error of the first write that failed; nil for none.
func (l *Writer) Failure() error { return l.failure }

// Persist appends a message as a record, or writes a snapshot, which has to include it already.
func (l *Writer) Persist(s *statemachine.Env, record any, then SyncCallback) {
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

// Compact writes a whole snapshot.
func (l *Writer) Compact(s *statemachine.Env, then SyncCallback) {
	if l.failure != nil {
		then(s, l.failure)
		return
	}
	l.bytes, l.begun = 0, true
	l.waiting[s.Compact(l.snapshot())] = then
}

// Synced takes the result of the write with a request id.
func (l *Writer) Synced(s *statemachine.Env, requestID int64, failure error) {
	then, found := l.waiting[requestID]
	if !found {
		return
	}
	delete(l.waiting, requestID)
	if failure != nil && l.failure == nil {
		l.failure = failure
		s.Event("disk-failed", int(errcode.DiskFault), 0, failure.Error())
	}
	then(s, l.failure)
}
