package proxy

import (
	"reflect"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// fullUpdateHeartbeats is how many heartbeat intervals lie between two updates that hold every window,
// where no closed window has changed.
const fullUpdateHeartbeats = 2

// usageSender is what was last sent of the requests that the upstreams beside this proxy have begun.
// Most of the time only the running window changes, and only that one is sent. Closed windows are
// repeated in full updates, at a slower rhythm, until they are sealed.
type usageSender struct {
	number         int64                // of the last update, in this life
	closedBelow    int64                // windows below it were closed in the last full update
	closed         []message.UsageCount // those windows, as they were sent
	running        []message.UsageCount // the other windows, as they were sent
	nextFullUpdate time.Duration
}

// sendUsage sends the counts to the registries: all windows where a closed window has changed or a full
// update is due, else the running one where that has changed.
func (m *Machine) sendUsage(env *statemachine.Env, counted UsageCounted) {
	closed, running := splitUsage(counted)
	sent := &m.usage
	closedChanged := counted.Closed != sent.closedBelow || !reflect.DeepEqual(closed, sent.closed)
	full := closedChanged || env.Now >= sent.nextFullUpdate
	if !full && reflect.DeepEqual(running, sent.running) {
		return
	}
	sent.number++
	sent.running = running
	update := message.UsageUpdate{Proxy: m.membership.Self().Name, StartTime: m.startTime, Sequence: sent.number, Counts: running}
	if full {
		// Only what holds a window's last counts may say that the window is closed.
		update.Counts = append(append([]message.UsageCount{}, closed...), running...)
		update.ClosedBelow = counted.Closed
		sent.closed, sent.closedBelow = closed, counted.Closed
		sent.nextFullUpdate = env.Now + fullUpdateHeartbeats*m.settings.HeartbeatEvery()
	}
	for _, registry := range m.usageRecipients(env.Now) {
		env.Send(registry.Address, update)
	}
}

// splitUsage parts the closed windows from the running one.
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

// SealedBelow returns the window below which all usage is sealed, as far as any registry has told.
func (m *Machine) SealedBelow() int64 {
	highest := int64(0)
	for _, window := range m.sealed {
		highest = max(highest, window)
	}
	return highest
}
