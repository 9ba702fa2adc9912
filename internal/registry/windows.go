package registry

// This file says when a usage window is over and when it may be sealed. The clock of one
// machine is no proof of it: a registry that began while its time of day was off would seal
// a window before most of it was counted. Every heartbeat of a proxy names the window that
// is under way by its own clock; what more than half of the proxies say that were heard
// lately is the time of day here, and the registry's own clock counts only where it hears
// of none.

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// earlySeal is the part of the wait for a window's counts after which it is sealed, if all
// proxies have closed it by then.
const earlySeal = 8

// windowsNoted is how many windows back the end of one may be noted late.
const windowsNoted = 8

// closing is a proxy's newest word on which windows it has closed.
type closing struct {
	birth  int64
	number int64
	window int64 // all below are closed
}

// noteClosing takes the newest word of a proxy, whose clock may have been set back since.
// An update of the running window alone says nothing of those that are over.
func (u *usage) noteClosing(update message.UsageUpdate) {
	if update.Closed == 0 {
		return
	}
	held, known := u.closings[update.Proxy]
	newer := update.StartTime > held.birth || update.StartTime == held.birth && update.Number > held.number
	if !known || newer {
		u.closings[update.Proxy] = closing{update.StartTime, update.Number, update.Closed}
	}
}

// current is the window that is under way, as more than half of the proxies say.
func (u *usage) current(s *statemachine.Env) int64 {
	told := []int64{}
	for _, name := range slices.Sorted(maps.Keys(u.m.proxies)) {
		if seen := u.m.proxies[name]; s.Now-seen.at <= u.m.settings.HeartbeatTimeout() {
			told = append(told, seen.batch.Window)
		}
	}
	if len(told) == 0 || guardsOff.closedWindow {
		return int64(s.Wall / u.m.settings.UsageWindow())
	}
	slices.Sort(told)
	return told[(len(told)-1)/2]
}

// noteOver remembers when the windows that are not reported yet were first known to be over.
func (u *usage) noteOver(s *statemachine.Env) {
	current := u.current(s)
	for window := max(u.reported+1, current-windowsNoted); window < current; window++ {
		if _, known := u.overAt[window]; !known {
			u.overAt[window] = s.Now
		}
	}
	for window := range u.overAt {
		if window <= u.reported || window >= current {
			delete(u.overAt, window)
		}
	}
}

// due says that a window which is over may be sealed: all proxies have closed it, or the
// time in which their counts come is up, by the clock or since its end was seen here.
func (u *usage) due(s *statemachine.Env, window int64) bool {
	wait := u.m.settings.SealAfter()
	if u.allClosed(window) {
		wait /= earlySeal
	}
	end := time.Duration(window+1) * u.m.settings.UsageWindow()
	seenAt, seen := u.overAt[window]
	return s.Wall >= end+wait || seen && s.Now-seenAt >= wait
}

// allClosed: every proxy that is known or was heard lately has closed the window.
// One that is cut off or frozen is waited for, since its counts may still come; one
// that said goodbye is not.
func (u *usage) allClosed(window int64) bool {
	for _, name := range slices.Sorted(maps.Keys(u.m.proxies)) {
		if member, known := u.m.membership.Find(name); known && member.State == message.Left {
			continue
		}
		if u.closings[name].window <= window {
			return false
		}
	}
	for _, member := range u.m.membership.Alive(message.RoleProxy) {
		if u.closings[member.Name].window <= window {
			return false
		}
	}
	return true
}
