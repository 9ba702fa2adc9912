package node

import (
	"time"

	"beaconvane/internal/statemachine"
)

// Entry is one line of the journal: what the machine did and why.
type Entry struct {
	At        int64  `json:"at_ms"` // process clock
	Wall      string `json:"wall"`  // time of day
	EventName string `json:"event"`
	Code      int    `json:"code"`
	Epoch     int64  `json:"epoch"`
	Cause     string `json:"cause"`
}

// record adds an event to the journal and to the log.
func (n *Node) record(done statemachine.Event) {
	n.lock.Lock()
	n.journal = append(n.journal, Entry{done.At.Milliseconds(), time.Now().UTC().Format(time.RFC3339Nano), done.EventName, done.Code, done.Epoch, done.Cause})
	if len(n.journal) > journalKept {
		n.journal = append([]Entry{}, n.journal[len(n.journal)-journalKept*3/4:]...)
	}
	n.counts["event_"+done.EventName]++
	n.lock.Unlock()
	n.Log.Info(done.EventName, "code", done.Code, "epoch", done.Epoch, "cause", done.Cause)
}

// Journal returns the newest entries.
func (n *Node) Journal() []Entry {
	n.lock.Lock()
	defer n.lock.Unlock()
	return append([]Entry{}, n.journal...)
}

// count adds one to a counter.
func (n *Node) count(name string) { n.add(name, 1) }

// add adds to a counter.
func (n *Node) add(name string, amount int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.counts[name] += int64(amount)
}

// Counters returns the process's own counters.
func (n *Node) Counters() map[string]int64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	counts := map[string]int64{"goroutines": n.Group.Running(), "control_queue": int64(len(n.commands)), "writes_queue": int64(len(n.writes))}
	n.load.tell(counts)
	for name, count := range n.counts {
		counts[name] = count
	}
	return counts
}
