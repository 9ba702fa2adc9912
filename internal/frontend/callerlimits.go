// This file holds the limits for callers that are in force: those of the configurations,
// within what the machine can hold, and where they don't say, the product's own.

package frontend

import (
	"sync"
	"time"

	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// The product's own limits, where the configurations tell none.
const (
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 2 * time.Minute
)

// idleSlack is how much longer than told a connection may rest here: callers go by clocks
// of their own, and what they send is a while on its way.
const idleSlack = time.Second

// callerLimits are the limits in force. A connection may rest as long as any figure says
// that was in force when it began to; so a figure that was lowered counts on for its span.
type callerLimits struct {
	lock    sync.Mutex
	told    routeconfig.CallerLimits
	lowered []loweredIdle
}

type loweredIdle struct {
	figure time.Duration
	until  time.Duration
}

// take takes the limits of a new snapshot's configurations.
func (c *callerLimits) take(now time.Duration, configurations []*routeconfig.Configuration) {
	if len(configurations) == 0 {
		return
	}
	told := configurations[0].CallerLimits
	for _, configuration := range configurations[1:] {
		told = told.Widest(configuration.CallerLimits)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if before := idleOr(c.told.IdleTime); before > idleOr(told.IdleTime) {
		c.lowered = append(c.lowered, loweredIdle{before, now + before + idleSlack})
	}
	c.told = told
}

func idleOr(told time.Duration) time.Duration {
	if told == 0 {
		return defaultIdleTime
	}
	return told
}

// idle is how long a connection may rest.
func (c *callerLimits) idle(now time.Duration) time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	longest, kept := idleOr(c.told.IdleTime), c.lowered[:0]
	for _, lowered := range c.lowered {
		if now < lowered.until {
			kept = append(kept, lowered)
			longest = max(longest, lowered.figure)
		}
	}
	c.lowered = kept
	return longest + idleSlack
}

// headTime is how long a request's head may take from its first byte.
func (c *callerLimits) headTime() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.told.HeadTime == 0 {
		return defaultHeadTime
	}
	return c.told.HeadTime
}

// headBytes is how large a request's head may be.
func (c *callerLimits) headBytes() int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.told.HeadBytes == 0 {
		return defaultHeadBytes
	}
	return c.told.HeadBytes
}

// bodyBytes is how large a request's body may be: as told, within what this machine holds.
func (c *callerLimits) bodyBytes(cfg settings.Settings) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.told.BodyBytes == 0 {
		return cfg.Limits.Body
	}
	return min(c.told.BodyBytes, cfg.Limits.Body)
}

// IdleTime is how long a caller's connection may rest now.
func (f *Frontend) IdleTime(now time.Duration) time.Duration { return f.limits.idle(now) }

// HeadTime is how long a caller's head may take.
func (f *Frontend) HeadTime() time.Duration { return f.limits.headTime() }
