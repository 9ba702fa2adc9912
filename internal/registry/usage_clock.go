package registry

import (
	"slices"
	"time"

	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

const (
	// earlySealDivisor divides the wait for the counts of a window if all proxies have closed it.
	earlySealDivisor = 8
	// windowEndRetention is how many windows before the current one recordEnds looks back.
	windowEndRetention = 8
)

// closedReport is a proxy's latest report of the windows that it has closed.
type closedReport struct {
	startTime   int64 // start time of the proxy
	number      int64 // number of the usage update, within this run of the proxy
	closedBelow int64 // all windows below this one are closed
}

// windowClock determines when a usage window is over and when it may be sealed. The wall clock of
// one machine is not sufficient: a registry that started with a wrong wall clock would seal a
// window before most of its requests were counted. Every heartbeat batch of a proxy names the
// current window by the proxy's own clock. Among the windows that proxies reported within
// HeartbeatTimeout, the latest one that more than half of the proxies have reached is the current
// window. The registry's own wall clock is used only if there is no such report.
type windowClock struct {
	settings   settings.Settings
	membership *membership.Membership
	proxies    proxyReports

	closed    map[string]closedReport // by proxy name
	endSeenAt map[int64]time.Duration // when a window was first found to be over, by window
}

// newWindowClock returns a clock that reads the current window from the given reports.
func newWindowClock(cfg settings.Settings, members *membership.Membership, proxies proxyReports) *windowClock {
	return &windowClock{
		settings:   cfg,
		membership: members,
		proxies:    proxies,
		closed:     map[string]closedReport{},
		endSeenAt:  map[int64]time.Duration{},
	}
}

// recordClosed records which windows a proxy has closed. The latest update replaces the earlier
// ones even if it names a lower window, since the clock of the proxy may have been set back. An
// update with Closed 0, of the current window alone, carries no such report.
func (c *windowClock) recordClosed(update message.UsageUpdate) {
	if update.ClosedBelow == 0 {
		return
	}
	last, known := c.closed[update.Proxy]
	newer := update.StartTime > last.startTime || update.StartTime == last.startTime && update.Sequence > last.number
	if !known || newer {
		c.closed[update.Proxy] = closedReport{update.StartTime, update.Sequence, update.ClosedBelow}
	}
}

// current returns the current window: the lower median of those that the proxies report.
func (c *windowClock) current(env *statemachine.Env) int64 {
	windows := c.proxies.usageWindows(env.Now - c.settings.HeartbeatTimeout())
	if len(windows) == 0 || guardsOff.closedWindow {
		return int64(env.Wall / c.settings.UsageWindow())
	}
	slices.Sort(windows)
	return windows[(len(windows)-1)/2]
}

// recordEnds records when each window that isn't reported yet was first found to be over.
func (c *windowClock) recordEnds(env *statemachine.Env, reported int64) {
	current := c.current(env)
	for window := max(reported+1, current-windowEndRetention); window < current; window++ {
		if _, known := c.endSeenAt[window]; !known {
			c.endSeenAt[window] = env.Now
		}
	}
	for window := range c.endSeenAt {
		if window <= reported || window >= current {
			delete(c.endSeenAt, window)
		}
	}
}

// mayBeSealed reports whether a window that is over may be sealed: SealAfter has passed since its
// end, by the wall clock or since recordEnds found it to be over. The wait is divided by
// earlySealDivisor if all proxies have closed the window.
func (c *windowClock) mayBeSealed(env *statemachine.Env, window int64) bool {
	wait := c.settings.SealAfter()
	if c.closedByAll(window) {
		wait /= earlySealDivisor
	}
	end := time.Duration(window+1) * c.settings.UsageWindow()
	endSeenAt, recorded := c.endSeenAt[window]
	return env.Wall >= end+wait || recorded && env.Now-endSeenAt >= wait
}

// closedByAll reports whether every proxy that is alive or has reported recently has closed a
// window. It includes proxies that are partitioned or frozen, whose counts may still arrive, but
// not those that have left.
func (c *windowClock) closedByAll(window int64) bool {
	for _, name := range c.proxies.names() {
		if member, known := c.membership.Find(name); known && member.State == message.Left {
			continue
		}
		if c.closed[name].closedBelow <= window {
			return false
		}
	}
	for _, member := range c.membership.Alive(message.RoleProxy) {
		if c.closed[member.Name].closedBelow <= window {
			return false
		}
	}
	return true
}
