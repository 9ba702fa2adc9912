package node

import (
	"slices"
	"time"

	"beaconvane/internal/locking"
	"beaconvane/internal/statemachine"
)

// A journal that exceeds maxJournalEntries is trimmed to its newest trimmedJournalEntries.
const (
	maxJournalEntries     = 2000
	trimmedJournalEntries = maxJournalEntries * 3 / 4
)

// Entry is a journal entry: an event of the machine with its cause.
type Entry struct {
	At        int64  `json:"at_ms"` // milliseconds of the process clock
	Wall      string `json:"wall"`  // wall clock time, UTC
	EventName string `json:"event"`
	Code      int    `json:"code"`
	Epoch     int64  `json:"epoch"`
	Cause     string `json:"cause"`
}

// journal holds the newest events of a process in memory. It is safe for concurrent use.
type journal struct {
	lock    locking.Mutex
	entries []Entry
}

// add appends an event with the wall clock time at which it was recorded.
func (j *journal) add(event statemachine.Event, wall time.Time) {
	entry := Entry{
		At:        event.At.Milliseconds(),
		Wall:      wall.UTC().Format(time.RFC3339Nano),
		EventName: event.EventName,
		Code:      event.Code,
		Epoch:     event.Epoch,
		Cause:     event.Cause,
	}
	j.lock.Lock()
	defer j.lock.Unlock()
	j.entries = append(j.entries, entry)
	if len(j.entries) > maxJournalEntries {
		j.entries = slices.Clone(j.entries[len(j.entries)-trimmedJournalEntries:])
	}
}

// snapshot returns a copy of the entries. It is never nil, so that the JSON response has an empty list rather
// than null.
func (j *journal) snapshot() []Entry {
	j.lock.Lock()
	defer j.lock.Unlock()
	return append([]Entry{}, j.entries...)
}
