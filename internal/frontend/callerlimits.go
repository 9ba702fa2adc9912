package frontend

import (
	"time"

	"beaconvane/internal/locking"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// The limits that apply where the configurations set none.
const (
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 2 * time.Minute
)

// idleGrace is added to the configured idle time, to allow for the callers' clocks and for the
// network delay of a request that is sent just before the idle time ends.
const idleGrace = time.Second

// callerLimits holds the limits on callers' requests and connections: those of the configurations,
// bounded by the process settings. When the idle time is lowered, the previous value stays in force
// for its own duration, since connections that became idle before the change may rely on it.
type callerLimits struct {
	lock             locking.Mutex
	configured       routeconfig.CallerLimits
	loweredIdleTimes []loweredIdleTime
}

// loweredIdleTime is an earlier, longer idle time, and the time until which it stays in force.
type loweredIdleTime struct {
	idleTime time.Duration
	expires  time.Duration
}

// update sets each limit to the widest value among the configurations of a new snapshot.
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
	previous := idleTimeOrDefault(c.configured.IdleTime)
	if previous > idleTimeOrDefault(configured.IdleTime) {
		c.loweredIdleTimes = append(c.loweredIdleTimes, loweredIdleTime{previous, now + previous + idleGrace})
	}
	c.configured = configured
}

// idleTimeOrDefault returns the configured idle time, or the default if none is configured.
func idleTimeOrDefault(configured time.Duration) time.Duration {
	if configured == 0 {
		return defaultIdleTime
	}
	return configured
}

// idleTime returns how long a connection may stay idle, including idleGrace.
func (c *callerLimits) idleTime(now time.Duration) time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	longest, unexpired := idleTimeOrDefault(c.configured.IdleTime), c.loweredIdleTimes[:0]
	for _, lowered := range c.loweredIdleTimes {
		if now < lowered.expires {
			unexpired = append(unexpired, lowered)
			longest = max(longest, lowered.idleTime)
		}
	}
	c.loweredIdleTimes = unexpired
	return longest + idleGrace
}

// headTime returns the maximum time for reading a request's head, counted from its first byte.
func (c *callerLimits) headTime() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.configured.HeadTime == 0 {
		return defaultHeadTime
	}
	return c.configured.HeadTime
}

// headBytes returns the maximum size of a request's head.
func (c *callerLimits) headBytes() int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.configured.HeadBytes == 0 {
		return defaultHeadBytes
	}
	return c.configured.HeadBytes
}

// bodyBytes returns the maximum size of a request's body: the configured limit, but at most the
// limit in the process settings.
func (c *callerLimits) bodyBytes(cfg settings.Settings) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.configured.BodyBytes == 0 {
		return cfg.Limits.Body
	}
	return min(c.configured.BodyBytes, cfg.Limits.Body)
}

// IdleTime returns how long a caller's connection may stay idle.
func (f *Frontend) IdleTime(now time.Duration) time.Duration { return f.callerLimits.idleTime(now) }

// HeadTime returns the maximum time for reading the head of a caller's request.
func (f *Frontend) HeadTime() time.Duration { return f.callerLimits.headTime() }
