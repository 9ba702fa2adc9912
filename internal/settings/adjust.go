package settings

import (
	"fmt"
	"time"
)

// Minimums that the programs need, whatever the bounds say.
const (
	// minSyncsPerLease is how many syncs of a disk a lease has to hold.
	minSyncsPerLease = 4
	// minSyncsPerInForceBound is how many syncs fit in the time for a configuration to be in force.
	minSyncsPerInForceBound = 8
	// minLeaseMillis is the shortest lease that is granted and renewed over links between
	// regions and disks with a full queue, in milliseconds.
	minLeaseMillis = 400
	// minInForceMillis keeps the tick, an eightieth of it, at 5 ms or more, in milliseconds.
	minInForceMillis = 400
	// The minimums of other bounds, in milliseconds: below them a timer that is a ratio to the bound
	// would be 0.
	minUsageWindowMillis = 400
	minRestoreMillis     = 1500
	minHeartbeatMillis   = 300
	minCatchUpMillis     = 200
	minNonzeroMillis     = 1
	// maxRetryShare is the largest share of further tries that is ever spent.
	maxRetryShare = 0.99
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
	c.raiseToMinimums()
	c.Bounds.Sync = min(c.Bounds.Sync, c.Bounds.ConfigurationInForce/minSyncsPerInForceBound)
	// A longer rest between two holders keeps the shorter bound as well.
	c.Bounds.HolderCooldown = max(c.Bounds.HolderCooldown, minLeaseMillis*2)
	c.adjustLease(expected)
	return c
}

// raiseToMinimums raises bounds to the least that the programs can keep at all.
func (c *Settings) raiseToMinimums() {
	bounds := &c.Bounds
	for _, bound := range []struct {
		path    string
		value   *int64
		minimum int64
	}{
		{"bounds.configuration_in_force_ms", &bounds.ConfigurationInForce, minInForceMillis},
		{"bounds.restore_ms", &bounds.Restore, minRestoreMillis},
		{"bounds.catch_up_ms", &bounds.CatchUp, minCatchUpMillis},
		{"bounds.usage_window_ms", &bounds.UsageWindow, minUsageWindowMillis},
		{"bounds.heartbeat_ms", &bounds.Heartbeat, minHeartbeatMillis},
		{"bounds.drain_ms", &bounds.Drain, minNonzeroMillis},
		{"bounds.slip_back_ms", &bounds.RollbackWindow, minNonzeroMillis},
		{"bounds.answer_hold_ms", &bounds.ResponseDelay, minNonzeroMillis},
		{"bounds.usage_late_ms", &bounds.UsageReportDelay, minNonzeroMillis},
		{"bounds.retry_window_ms", &bounds.RetryWindow, minNonzeroMillis},
		{"bounds.sync_ms", &bounds.Sync, minNonzeroMillis},
		{"bounds.holder_rest_ms", &bounds.HolderCooldown, minNonzeroMillis},
		{"bounds.retry_allowance", &bounds.RetryAllowance, 0},
		{"bounds.key_withdrawal_ms", &bounds.KeyWithdrawal, 0},
	} {
		if *bound.value < bound.minimum {
			c.warn(bound.path, fmt.Sprintf("%d is below what can be kept, which is %d", *bound.value, bound.minimum))
			*bound.value = bound.minimum
		}
	}
	if bounds.RetryShare < 0 || bounds.RetryShare > maxRetryShare {
		bounds.RetryShare = min(max(bounds.RetryShare, 0), maxRetryShare)
	}
}

// warn adds a warning.
func (c *Settings) warn(path, text string) {
	c.Warnings = append(c.Warnings, Warning{path, text})
}

// takeoverLimit is a bound by which a takeover has to be over.
type takeoverLimit struct {
	path        string
	available   time.Duration // for the takeover
	consequence string        // of a takeover that takes longer
}

// adjustLease sets the longest lease, up to half of the rest between holders, with which a takeover is
// over in time for every bound. Where that is too short it sets the shortest lease, and warns.
func (c *Settings) adjustLease(expected Expected) {
	bounds := &c.Bounds
	limits := c.takeoverLimits(expected)
	bounds.Lease = 0
	longest := c.Lease()
	for _, limit := range limits {
		longest = min(longest, (limit.available-milliseconds(bounds.Sync)*minSyncsPerLease)*9/20)
	}
	if longest < milliseconds(minLeaseMillis) {
		longest = milliseconds(minLeaseMillis)
	}
	if longest < c.Lease() {
		bounds.Lease = longest.Milliseconds()
	}
	for _, limit := range limits {
		if c.LeaseTakeover() >= limit.available {
			c.warn(limit.path, fmt.Sprintf("a takeover takes up to %v and leaves it no room: %s", c.LeaseTakeover(), limit.consequence))
		}
	}
}

// takeoverLimits returns the bounds by which a takeover has to be over.
func (c *Settings) takeoverLimits(expected Expected) []takeoverLimit {
	bounds := c.Bounds
	limits := []takeoverLimit{
		{"bounds.usage_late_ms", milliseconds(bounds.UsageReportDelay) - c.SealAfter(), "usage reports may be late after one"},
		{"bounds.restore_ms", milliseconds(bounds.Restore) / 2, "service may come back late after the loss of all machines"},
	}
	if bounds.KeyWithdrawal > 0 {
		limits = append(limits, takeoverLimit{"bounds.key_withdrawal_ms", c.MaxAgeAdmit(),
			"requests are refused meanwhile, as keys may have been withdrawn"})
	}
	if writeLimit := expected.Contact + expected.WriteAcks; expected.WriteAcks > 0 {
		limits = append(limits, takeoverLimit{"acknowledgement of writes", writeLimit * 6 / 10, "orders may be acknowledged late after one"})
	}
	return limits
}

// VotersFor returns how many voters a core group has: two for each machine, zone or region that may be
// lost at once and one more, and at least three, so that the stop of one machine interrupts nothing. A
// core with fewer than three machines, as its seeds show, has one voter.
func VotersFor(tolerated Tolerated, seeds int) int64 {
	if seeds < staticVoterCount {
		return 1
	}
	return min(max(2*max(tolerated.Machines, tolerated.Zones, tolerated.Regions)+1, staticVoterCount), maxVoters)
}
