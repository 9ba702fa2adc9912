package storage

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// eventDiskFailed is the journal event for the first failed write.
const eventDiskFailed = "disk-failed"

// SyncCallback is called once a write is durable, with a nil failure, or has failed.
type SyncCallback func(env *statemachine.Env, failure error)

// Writer issues the writes of a state machine and calls back once each is durable. The machine's state in
// memory may be ahead of the disk, so messages on which other processes rely must be sent only from a
// write's callback. After a failed write no later write is reported as durable.
type Writer struct {
	snapshot    func() []byte
	callbacks   map[int64]SyncCallback // by request ID of the write
	failure     error
	logBytes    int // size of the records written after the newest snapshot
	maxLogBytes int
	hasSnapshot bool

	afterCompact func(env *statemachine.Env) // appends records that a snapshot doesn't contain; may be nil
}

// NewWriter returns a writer. snapshot returns the machine's complete state. A snapshot is written instead
// of a record that would make the log longer than maxLogBytes, and as the first write to an empty disk.
func NewWriter(maxLogBytes int, snapshot func() []byte, empty bool) *Writer {
	return &Writer{
		snapshot:    snapshot,
		callbacks:   map[int64]SyncCallback{},
		maxLogBytes: maxLogBytes,
		hasSnapshot: !empty,
	}
}

// AfterCompact sets a function that is called after each snapshot. It calls AppendToLog for what must stay
// on disk and isn't part of the snapshot.
func (w *Writer) AfterCompact(appendRecords func(env *statemachine.Env)) {
	w.afterCompact = appendRecords
}

// Failure returns the error of the first failed write, or nil if none has failed.
func (w *Writer) Failure() error { return w.failure }

// Persist writes a message to disk, as a record or as part of a snapshot. The machine's state must already
// include its effect.
func (w *Writer) Persist(env *statemachine.Env, record any, synced SyncCallback) {
	if w.failure != nil {
		synced(env, w.failure)
		return
	}
	body, err := message.Encode(record)
	if err != nil {
		synced(env, err)
		return
	}
	if !w.hasSnapshot || w.logBytes+len(body) > w.maxLogBytes {
		w.Compact(env, synced)
		return
	}
	w.append(env, body, synced)
}

// AppendToLog writes a message as a record, also where Persist would write a snapshot instead: the message
// isn't part of the snapshot.
func (w *Writer) AppendToLog(env *statemachine.Env, record any, synced SyncCallback) {
	if w.failure != nil {
		synced(env, w.failure)
		return
	}
	body, err := message.Encode(record)
	if err != nil {
		synced(env, err)
		return
	}
	if !w.hasSnapshot || w.logBytes+len(body) > w.maxLogBytes {
		w.Compact(env, func(*statemachine.Env, error) {})
	}
	w.append(env, body, synced)
}

// append writes an encoded record to the log.
func (w *Writer) append(env *statemachine.Env, body []byte, synced SyncCallback) {
	w.logBytes += len(body)
	w.callbacks[env.Append(body)] = synced
}

// Compact writes a snapshot that replaces the log.
func (w *Writer) Compact(env *statemachine.Env, synced SyncCallback) {
	if w.failure != nil {
		synced(env, w.failure)
		return
	}
	w.logBytes, w.hasSnapshot = 0, true
	w.callbacks[env.Compact(w.snapshot())] = synced
	if w.afterCompact != nil {
		w.afterCompact(env)
	}
}

// Synced processes the result of the write with a request ID.
func (w *Writer) Synced(env *statemachine.Env, requestID int64, failure error) {
	synced, found := w.callbacks[requestID]
	if !found {
		return
	}
	delete(w.callbacks, requestID)
	if failure != nil && w.failure == nil {
		w.failure = failure
		env.Event(eventDiskFailed, int(errcode.DiskFault), 0, failure.Error())
	}
	synced(env, w.failure)
}
