package proxy

import (
	"reflect"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// fullUpdateHeartbeats is the number of heartbeat intervals between two updates that hold every window,
// while no closed window changes.
const fullUpdateHeartbeats = 2

// usageSender is the state of the usage updates to the registries, which count the requests that the
// upstreams of this proxy have started. Usually only the running window changes, and only that one is
// sent. Closed windows are repeated in full updates at a lower frequency until they are sealed.
type usageSender struct {
	sequence       int64                // of the last update since the process started
	closedBelow    int64                // windows below it were closed in the last full update
	closed         []message.UsageCount // the closed windows as last sent
	running        []message.UsageCount // the other windows as last sent
	nextFullUpdate time.Duration
}

// sendUsage sends the counts to the registries: all windows if a closed window has changed or a full
// update is due, otherwise the running window if it has changed.
func (m *Machine) sendUsage(env *statemachine.Env, counted UsageCounted) {
	closed, running := splitUsage(counted)
	sent := &m.usage
	closedChanged := counted.Closed != sent.closedBelow || !reflect.DeepEqual(closed, sent.closed)
	full := closedChanged || env.Now >= sent.nextFullUpdate
	if !full && reflect.DeepEqual(running, sent.running) {
		return
	}
	sent.sequence++
	sent.running = running
	update := message.UsageUpdate{Proxy: m.membership.Self().Name, StartTime: m.startTime, Sequence: sent.sequence, Counts: running}
	if full {
		// Only an update that holds the final counts of a window may mark it as closed.
		update.Counts = append(append([]message.UsageCount{}, closed...), running...)
		update.ClosedBelow = counted.Closed
		sent.closed, sent.closedBelow = closed, counted.Closed
		sent.nextFullUpdate = env.Now + fullUpdateHeartbeats*m.settings.HeartbeatEvery()
	}
	for _, registry := range m.usageRecipients(env.Now) {
		env.Send(registry.Address, update)
	}
}

// splitUsage separates the closed windows from the running ones.
func splitUsage(counted UsageCounted) (closed, running []message.UsageCount) {
	closed, running = []message.UsageCount{}, []message.UsageCount{}
	for _, count := range counted.Usage {
		if count.Window < counted.Closed {
			closed = append(closed, count)
		} else {
			running = append(running, count)
		}
	}
	return closed, running
}

// SealedBelow returns the highest window below which any registry has reported all usage as sealed, or
// 0 if none has.
func (m *Machine) SealedBelow() int64 {
	highest := int64(0)
	for _, window := range m.sealed {
		highest = max(highest, window)
	}
	return highest
}
