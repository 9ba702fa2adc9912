package node

import (
	"slices"
	"sync"
	"time"

	"beaconvane/internal/statemachine"
)

// A journal that has grown to maxJournalEntries is cut to its newest trimmedJournalEntries.
const (
	maxJournalEntries     = 2000
	trimmedJournalEntries = maxJournalEntries * 3 / 4
)

// Entry is one line of the journal: an event of the machine with its cause.
type Entry struct {
	At        int64  `json:"at_ms"` // process clock
	Wall      string `json:"wall"`  // time of day
	EventName string `json:"event"`
	Code      int    `json:"code"`
	Epoch     int64  `json:"epoch"`
	Cause     string `json:"cause"`
}

// journal keeps the newest events of a process in memory.
type journal struct {
	lock    sync.Mutex
	entries []Entry
}

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

// snapshot returns a copy of the entries, never nil: the JSON answer has a list even where there
// are none.
func (j *journal) snapshot() []Entry {
	j.lock.Lock()
	defer j.lock.Unlock()
	return append([]Entry{}, j.entries...)
}
