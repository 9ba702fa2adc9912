package storage

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// eventDiskFailed is the journal's event for the first write that failed.
const eventDiskFailed = "disk-failed"

// SyncCallback is called when a write is durable, or with the failure that prevented it.
type SyncCallback func(env *statemachine.Env, failure error)

// Writer orders the writes of a state machine and calls back once each is durable. The machine's state in
// memory runs ahead of the disk, so whatever other processes may rely on is sent only from a write's
// callback. After one failed write no later one is reported as durable.
type Writer struct {
	snapshot    func() []byte
	callbacks   map[int64]SyncCallback // by request id of the write
	failure     error
	logBytes    int // of the records behind the newest snapshot
	maxLogBytes int
	hasSnapshot bool
}

// NewWriter returns a writer. snapshot returns the machine's whole state. It is written in place of a
// record that would make the log longer than maxLogBytes, and first of all to an empty disk.
func NewWriter(maxLogBytes int, snapshot func() []byte, empty bool) *Writer {
	return &Writer{
		snapshot:    snapshot,
		callbacks:   map[int64]SyncCallback{},
		maxLogBytes: maxLogBytes,
		hasSnapshot: !empty,
	}
}

// Failure returns the error of the first write that failed; nil for none.
func (w *Writer) Failure() error { return w.failure }

// Persist writes a message to disk, as a record or within a snapshot: the machine's state must include it
// already.
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
	w.logBytes += len(body)
	w.callbacks[env.Append(body)] = synced
}

// Compact writes a whole snapshot, which replaces the log.
func (w *Writer) Compact(env *statemachine.Env, synced SyncCallback) {
	if w.failure != nil {
		synced(env, w.failure)
		return
	}
	w.logBytes, w.hasSnapshot = 0, true
	w.callbacks[env.Compact(w.snapshot())] = synced
}

// Synced takes the result of the write with a request id.
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
