package node

import (
	"time"

	"go.uber.org/atomic"
)

// controlLoad measures the load of the control goroutine, since a slow command delays probes, lease renewals
// and updates. Only the control goroutine writes it; addTo may be called by any goroutine.
type controlLoad struct {
	commands   atomic.Int64    // number of commands applied
	busy       atomic.Duration // total duration of all commands
	longest    atomic.Duration // longest command since the last addTo
	lastTickAt time.Duration   // accessed only by the control goroutine
}

// addCommand counts an applied command. Only the control goroutine calls it.
func (l *controlLoad) addCommand(duration time.Duration) {
	l.commands.Inc()
	l.busy.Add(duration)
	if duration > l.longest.Load() {
		l.longest.Store(duration)
	}
}

// addTick records a tick and returns the time since the previous one. Only the control goroutine calls it.
func (l *controlLoad) addTick(now time.Duration) time.Duration {
	gap := now - l.lastTickAt
	l.lastTickAt = now
	return gap
}

// addTo adds the measurements to counts, and resets the longest duration.
func (l *controlLoad) addTo(counts map[string]int64) {
	counts["control_commands_total"] = l.commands.Load()
	counts["control_busy_microseconds_total"] = l.busy.Load().Microseconds()
	counts["control_longest_microseconds"] = l.longest.Swap(0).Microseconds()
}
