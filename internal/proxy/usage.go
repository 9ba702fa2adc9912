// This file tells the registries how many requests the upstreams beside this proxy have
// begun. Most of the time only the running window changes, and only that one is sent: the
// windows that are over are repeated at a slower rhythm until they are sealed.

package proxy

import (
	"reflect"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// usageRepeatHeartbeats is how many rounds of heartbeats lie between two updates that
// hold every window, where no window that is over has changed.
const usageRepeatHeartbeats = 2

// usageSender is what was sent last.
type usageSender struct {
	number  int64                // of the last update, in this life
	closed  int64                // windows below it were over in the last whole update
	over    []message.UsageCount // those windows, as they were sent
	running []message.UsageCount
	wholeAt time.Duration // when the next whole update is due
}

// sendUsage sends the counts to the registries: all windows when a window that is over
// has changed or the time has come, else the running one where that has changed.
func (m *Machine) sendUsage(env *statemachine.Env, counted UsageCounted) {
	over, running := splitUsage(counted)
	sent := &m.usage
	whole := counted.Closed != sent.closed || !reflect.DeepEqual(over, sent.over) || env.Now >= sent.wholeAt
	if !whole && reflect.DeepEqual(running, sent.running) {
		return
	}
	sent.number++
	sent.running = running
	update := message.UsageUpdate{Proxy: m.membership.Self().Name, StartTime: m.birth, Number: sent.number, Counts: running}
	if whole {
		// Only what holds a window's last counts may say that the window is over.
		update.Counts, update.Closed = append(append([]message.UsageCount{}, over...), running...), counted.Closed
		sent.over, sent.closed = over, counted.Closed
		sent.wholeAt = env.Now + usageRepeatHeartbeats*m.settings.HeartbeatEvery()
	}
	for _, registryNode := range m.counters(env.Now) {
		env.Send(registryNode.Address, update)
	}
}

// splitUsage parts the windows that are over from the running one.
func splitUsage(counted UsageCounted) (over, running []message.UsageCount) {
	over, running = []message.UsageCount{}, []message.UsageCount{}
	for _, count := range counted.Usage {
		if count.Window < counted.Closed {
			over = append(over, count)
		} else {
			running = append(running, count)
		}
	}
	return over, running
}

// SealedBelow is the lowest window that some registry still has to seal.
func (m *Machine) SealedBelow() int64 {
	highest := int64(0)
	for _, below := range m.sealed {
		highest = max(highest, below)
	}
	return highest
}
