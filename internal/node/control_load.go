package node

import (
	"time"

	"go.uber.org/atomic"
)

// controlLoad measures how busy the control goroutine is: a command that takes long delays probes,
// lease renewals and updates.
type controlLoad struct {
	commands   atomic.Int64
	busy       atomic.Duration
	longest    atomic.Duration // since the counters were read last
	lastTickAt time.Duration   // of the control goroutine alone
}

// addCommand counts a command that was applied. Only the control goroutine calls it.
func (l *controlLoad) addCommand(duration time.Duration) {
	l.commands.Inc()
	l.busy.Add(duration)
	if duration > l.longest.Load() {
		l.longest.Store(duration)
	}
}

// addTick notes a tick and returns the time since the one before it. Only the control goroutine
// calls it.
func (l *controlLoad) addTick(now time.Duration) time.Duration {
	gap := now - l.lastTickAt
	l.lastTickAt = now
	return gap
}

// addTo adds the figures to the counters of the process, and begins a new longest duration.
func (l *controlLoad) addTo(counts map[string]int64) {
	counts["control_commands_total"] = l.commands.Load()
	counts["control_busy_microseconds_total"] = l.busy.Load().Microseconds()
	counts["control_longest_microseconds"] = l.longest.Swap(0).Microseconds()
}
