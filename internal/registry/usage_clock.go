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
	// earlySealRatio is the part of the wait for a window's counts after which it is sealed, if
	// all proxies have closed it by then.
	earlySealRatio = 8
	// windowEndRetention is how many windows back the end of one may be noted late.
	windowEndRetention = 8
)

// closedReport is a proxy's newest word on which windows it has closed.
type closedReport struct {
	startTime   int64
	number      int64
	closedBelow int64 // all windows below it are closed
}

// windowClock says when a usage window is over and when it may be sealed. The clock of one machine
// doesn't prove it: a registry that began while its time of day was off would seal a window before
// most of it was counted. Every heartbeat of a proxy names the window that is under way by its own
// clock. What more than half of the proxies say that were heard lately is the time of day here; the
// registry's own clock counts only where it hears of none.
type windowClock struct {
	settings   settings.Settings
	membership *membership.Membership
	proxies    proxyReports

	closed    map[string]closedReport // by proxy
	endSeenAt map[int64]time.Duration // by window: when it was first known here to be over
}

func newWindowClock(cfg settings.Settings, members *membership.Membership, proxies proxyReports) *windowClock {
	return &windowClock{
		settings:   cfg,
		membership: members,
		proxies:    proxies,
		closed:     map[string]closedReport{},
		endSeenAt:  map[int64]time.Duration{},
	}
}

// recordClosed takes the newest word of a proxy, whose clock may have been set back since. An update
// of the running window alone says nothing of those that are over.
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

// current is the window that is under way, as more than half of the proxies say.
func (c *windowClock) current(env *statemachine.Env) int64 {
	told := c.proxies.usageWindows(env.Now - c.settings.HeartbeatTimeout())
	if len(told) == 0 || guardsOff.closedWindow {
		return int64(env.Wall / c.settings.UsageWindow())
	}
	slices.Sort(told)
	return told[(len(told)-1)/2]
}

// recordEnds remembers when the windows that aren't reported yet were first known to be over.
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

// mayBeSealed says of a window that is over that all proxies have closed it, or that the time in
// which their counts come is up, by the time of day or since its end was seen here.
func (c *windowClock) mayBeSealed(env *statemachine.Env, window int64) bool {
	wait := c.settings.SealAfter()
	if c.closedByAll(window) {
		wait /= earlySealRatio
	}
	end := time.Duration(window+1) * c.settings.UsageWindow()
	seenAt, seen := c.endSeenAt[window]
	return env.Wall >= end+wait || seen && env.Now-seenAt >= wait
}

// closedByAll says that every proxy which is known or was heard lately has closed a window. One that
// is cut off or frozen is waited for, since its counts may still come; one that left is not.
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
