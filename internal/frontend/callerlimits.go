package frontend

import (
	"sync"
	"time"

	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// The limits for callers where the configurations set none.
const (
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 2 * time.Minute
)

// idleGrace is how much longer than configured a connection may idle here: callers go by clocks
// of their own, and what they send is a while on its way.
const idleGrace = time.Second

// callerLimits are the limits in force for callers: those of the configurations, within what the
// machine can hold. A connection may idle as long as any limit says that was in force when it
// began to, so a limit that was lowered counts on for its span.
type callerLimits struct {
	lock       sync.Mutex
	configured routeconfig.CallerLimits
	lowered    []loweredIdleTime
}

// loweredIdleTime is an idle time that was in force before.
type loweredIdleTime struct {
	idleTime time.Duration
	expires  time.Duration
}

// update takes the limits of a new snapshot's configurations: the widest of each.
func (c *callerLimits) update(now time.Duration, configurations []*routeconfig.Configuration) {
	if len(configurations) == 0 {
		return
	}
	configured := configurations[0].CallerLimits
	for _, configuration := range configurations[1:] {
		configured = configured.Widest(configuration.CallerLimits)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	before := idleTimeOrDefault(c.configured.IdleTime)
	if before > idleTimeOrDefault(configured.IdleTime) {
		c.lowered = append(c.lowered, loweredIdleTime{before, now + before + idleGrace})
	}
	c.configured = configured
}

func idleTimeOrDefault(configured time.Duration) time.Duration {
	if configured == 0 {
		return defaultIdleTime
	}
	return configured
}

// idleTime is how long a connection may idle.
func (c *callerLimits) idleTime(now time.Duration) time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	longest, kept := idleTimeOrDefault(c.configured.IdleTime), c.lowered[:0]
	for _, lowered := range c.lowered {
		if now < lowered.expires {
			kept = append(kept, lowered)
			longest = max(longest, lowered.idleTime)
		}
	}
	c.lowered = kept
	return longest + idleGrace
}

// headTime is how long a request's head may take from its first byte.
func (c *callerLimits) headTime() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.configured.HeadTime == 0 {
		return defaultHeadTime
	}
	return c.configured.HeadTime
}

// headBytes is how large a request's head may be.
func (c *callerLimits) headBytes() int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.configured.HeadBytes == 0 {
		return defaultHeadBytes
	}
	return c.configured.HeadBytes
}

// bodyBytes is how large a request's body may be: as configured, within what this machine holds.
func (c *callerLimits) bodyBytes(cfg settings.Settings) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.configured.BodyBytes == 0 {
		return cfg.Limits.Body
	}
	return min(c.configured.BodyBytes, cfg.Limits.Body)
}

// IdleTime is how long a caller's connection may idle now.
func (f *Frontend) IdleTime(now time.Duration) time.Duration { return f.callerLimits.idleTime(now) }

// HeadTime is how long the head of a caller's request may take.
func (f *Frontend) HeadTime() time.Duration { return f.callerLimits.headTime() }
