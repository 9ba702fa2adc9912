package settings

import (
	"fmt"
	"time"
)

// Minimums that the programs need, whatever the bounds say.
const (
	// syncsInLease is how many syncs of a disk a lease has to hold.
	syncsInLease = 4
	// syncsInForce is how many syncs fit in the time for a configuration to be in force.
	syncsInForce = 8
	// shortestLease is the shortest lease that is granted and renewed over links between
	// regions and disks with a full queue, in milliseconds.
	shortestLease = 400
	// shortestInForce keeps the tick, an eightieth of it, at 5 ms or more, in milliseconds.
	shortestInForce = 400
	// The minimums of other bounds, in milliseconds: below them a timer that is a ratio to the bound
	// would be 0.
	shortestWindow    = 400
	shortestRestore   = 1500
	shortestHeartbeat = 300
	shortestCatchUp   = 200
	shortestOther     = 1
	// mostRetryShare is the largest share of further tries that is ever spent.
	mostRetryShare = 0.99
)

// Warning says that a bound is not kept, or what was given up for it.
type Warning struct {
	Path string
	Text string
}

// String returns the line of the log.
func (w Warning) String() string { return w.Path + ": " + w.Text }

// Expected are bounds of the deployment that no timer keeps, but by which a takeover has to be over; 0:
// not given.
type Expected struct {
	Contact   time.Duration // from the end of a fault until normal service is expected
	WriteAcks time.Duration // within which a write is acknowledged in normal service
}

// AdjustBounds returns settings whose bounds pass CheckAdjusted, whatever figures they came with.
// Safety rules are kept in any case: where two bounds cannot both be kept, availability or lateness is
// what is given up, and Warnings lists each case.
func (c Settings) AdjustBounds(expected Expected) Settings {
	c.Warnings = nil
	c.raiseFloors()
	c.Bounds.Sync = min(c.Bounds.Sync, c.Bounds.ConfigurationInForce/syncsInForce)
	// A longer rest between two holders keeps the shorter bound as well.
	c.Bounds.HolderCooldown = max(c.Bounds.HolderCooldown, shortestLease*2)
	c.adjustLease(expected)
	return c
}

// raiseFloors raises bounds to the least that the programs can keep at all.
func (c *Settings) raiseFloors() {
	b := &c.Bounds
	for _, floor := range []struct {
		path  string
		value *int64
		least int64
	}{
		{"bounds.configuration_in_force_ms", &b.ConfigurationInForce, shortestInForce},
		{"bounds.restore_ms", &b.Restore, shortestRestore},
		{"bounds.catch_up_ms", &b.CatchUp, shortestCatchUp},
		{"bounds.usage_window_ms", &b.UsageWindow, shortestWindow},
		{"bounds.heartbeat_ms", &b.Heartbeat, shortestHeartbeat},
		{"bounds.drain_ms", &b.Drain, shortestOther},
		{"bounds.slip_back_ms", &b.RollbackWindow, shortestOther},
		{"bounds.answer_hold_ms", &b.ResponseDelay, shortestOther},
		{"bounds.usage_late_ms", &b.UsageReportDelay, shortestOther},
		{"bounds.retry_window_ms", &b.RetryWindow, shortestOther},
		{"bounds.sync_ms", &b.Sync, shortestOther},
		{"bounds.holder_rest_ms", &b.HolderCooldown, shortestOther},
		{"bounds.retry_allowance", &b.RetryAllowance, 0},
		{"bounds.key_withdrawal_ms", &b.KeyWithdrawal, 0},
	} {
		if *floor.value < floor.least {
			c.warn(floor.path, fmt.Sprintf("%d is below what can be kept, which is %d", *floor.value, floor.least))
			*floor.value = floor.least
		}
	}
	if b.RetryShare < 0 || b.RetryShare > mostRetryShare {
		b.RetryShare = min(max(b.RetryShare, 0), mostRetryShare)
	}
}

// warn adds a warning.
func (c *Settings) warn(path, text string) {
	c.Warnings = append(c.Warnings, Warning{path, text})
}

// takeOverLimit is a bound by which a takeover has to be over.
type takeOverLimit struct {
	path string
	room time.Duration // for the takeover
	cost string        // of a takeover that takes longer
}

// adjustLease sets the longest lease, up to half of the rest between holders, with which a takeover is
// over in time for every bound. Where that is too short it sets the shortest lease, and warns.
func (c *Settings) adjustLease(expected Expected) {
	b := &c.Bounds
	limits := c.takeOverLimits(expected)
	b.Lease = 0
	longest := c.Lease()
	for _, limit := range limits {
		longest = min(longest, (limit.room-ms(b.Sync)*syncsInLease)*9/20)
	}
	if longest < ms(shortestLease) {
		longest = ms(shortestLease)
	}
	if longest < c.Lease() {
		b.Lease = longest.Milliseconds()
	}
	for _, limit := range limits {
		if c.LeaseTakeover() >= limit.room {
			c.warn(limit.path, fmt.Sprintf("a takeover takes up to %v and leaves it no room: %s", c.LeaseTakeover(), limit.cost))
		}
	}
}

// takeOverLimits returns the bounds by which a takeover has to be over.
func (c *Settings) takeOverLimits(expected Expected) []takeOverLimit {
	b := c.Bounds
	limits := []takeOverLimit{
		{"bounds.usage_late_ms", ms(b.UsageReportDelay) - c.SealAfter(), "usage reports may be late after one"},
		{"bounds.restore_ms", ms(b.Restore) / 2, "service may come back late after the loss of all machines"},
	}
	if b.KeyWithdrawal > 0 {
		limits = append(limits, takeOverLimit{"bounds.key_withdrawal_ms", c.MaxAgeAdmit(),
			"requests are refused meanwhile, as keys may have been withdrawn"})
	}
	if calm := expected.Contact + expected.WriteAcks; expected.WriteAcks > 0 {
		limits = append(limits, takeOverLimit{"acknowledgement of writes", calm * 6 / 10, "orders may be acknowledged late after one"})
	}
	return limits
}

// VotersFor returns how many voters a core group has: two for each machine, zone or region that may be
// lost at once and one more, and at least three, so that the stop of one machine interrupts nothing. A
// core with fewer than three machines, as its seeds show, has one voter.
func VotersFor(tolerated Tolerated, seeds int) int64 {
	if seeds < namedVoters {
		return 1
	}
	return min(max(2*max(tolerated.Machines, tolerated.Zones, tolerated.Regions)+1, namedVoters), maxVoters)
}
