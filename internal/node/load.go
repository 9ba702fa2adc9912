package node

import (
	"time"

	"go.uber.org/atomic"
)

// controlLoad is how busy the control goroutine is: a command that takes long keeps probes,
// renewals and updates waiting.
type controlLoad struct {
	commands atomic.Int64
	busy     atomic.Duration
	longest  atomic.Duration // since it was told last
	tickAt   time.Duration   // of the control goroutine alone
}

// add notes a command that was applied; only the control goroutine calls it.
func (l *controlLoad) add(took time.Duration) {
	l.commands.Inc()
	l.busy.Add(took)
	if took > l.longest.Load() {
		l.longest.Store(took)
	}
}

// ticked notes a tick, and says how long after the one before it came.
func (l *controlLoad) ticked(now time.Duration) time.Duration {
	gap := now - l.tickAt
	l.tickAt = now
	return gap
}

// tell adds the figures to the counters, and begins a new longest time.
func (l *controlLoad) tell(counts map[string]int64) {
	counts["control_commands_total"] = l.commands.Load()
	counts["control_busy_microseconds_total"] = l.busy.Load().Microseconds()
	counts["control_longest_microseconds"] = l.longest.Swap(0).Microseconds()
}
