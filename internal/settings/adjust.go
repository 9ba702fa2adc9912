package settings

import (
	"fmt"
	"time"
)

// Minimums that the programs need, independent of the bounds in the settings.
const (
	// minSyncsPerLease is the number of disk syncs that must fit in a lease.
	minSyncsPerLease = 4
	// minSyncsPerInForceBound is the number of disk syncs that must fit in Bounds.ConfigurationInForce.
	minSyncsPerInForceBound = 8
	// minLeaseMillis is the shortest lease that can be granted and renewed over links between regions
	// and with disks whose queue is full.
	minLeaseMillis = 400
	// minInForceMillis keeps the tick interval, an eightieth of it, at 5 ms or more.
	minInForceMillis = 400
	// The minimums of the other bounds: below them a timer derived from the bound would be 0.
	minUsageWindowMillis = 400
	minRestoreMillis     = 1500
	minHeartbeatMillis   = 300
	minCatchUpMillis     = 200
	minNonzeroMillis     = 1
	// maxRetryShare is the largest Bounds.RetryShare, since a share of 1 is invalid.
	maxRetryShare = 0.99
)

// Warning reports a bound that cannot be kept, or that was raised to its minimum.
type Warning struct {
	Path string // of the setting, or the name of the expectation
	Text string
}

// String returns the warning as one line of text.
func (w Warning) String() string { return w.Path + ": " + w.Text }

// Expected are times that the deployment expects but from which no timer is derived. A takeover has to be over
// within them. 0: not given.
type Expected struct {
	Contact   time.Duration // from the end of a fault until service is normal
	WriteAcks time.Duration // within which a write is acknowledged in normal service
}

// AdjustBounds returns settings whose bounds pass CheckAdjusted, whatever their values were before.
// Safety rules are kept in any case. Where two bounds cannot both be kept, availability or timeliness is
// sacrificed, and Warnings lists each case.
func (c Settings) AdjustBounds(expected Expected) Settings {
	c.Warnings = nil
	c.raiseToMinimums()
	c.Bounds.Sync = min(c.Bounds.Sync, c.Bounds.ConfigurationInForce/minSyncsPerInForceBound)
	// A longer cooldown satisfies the shorter bound as well.
	c.Bounds.HolderCooldown = max(c.Bounds.HolderCooldown, minLeaseMillis*2)
	c.adjustLease(expected)
	return c
}

// raiseToMinimums raises each bound to the minimum that the programs can keep, and adds a warning for each bound
// that it raises. It also clamps the retry share to its range.
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
			c.warn(bound.path, fmt.Sprintf("%d is below the minimum and is raised to %d", *bound.value, bound.minimum))
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

// takeoverLimit is a bound within which a takeover has to be over.
type takeoverLimit struct {
	path        string
	available   time.Duration // for the takeover
	consequence string        // of a takeover that takes longer
}

// adjustLease sets the longest lease, up to half of HolderCooldown, with which a takeover ends within every
// limit. If that is shorter than minLeaseMillis, it sets minLeaseMillis and adds a warning for each
// limit that is exceeded.
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
			c.warn(limit.path, fmt.Sprintf("a takeover may take %v and exceeds the %v available: %s",
				c.LeaseTakeover(), limit.available, limit.consequence))
		}
	}
}

// takeoverLimits returns the bounds within which a takeover has to be over.
func (c *Settings) takeoverLimits(expected Expected) []takeoverLimit {
	bounds := c.Bounds
	limits := []takeoverLimit{
		{"bounds.usage_late_ms", milliseconds(bounds.UsageReportDelay) - c.SealAfter(), "usage reports may be late after a takeover"},
		{"bounds.restore_ms", milliseconds(bounds.Restore) / 2, "service may be restored late after the loss of all machines"},
	}
	if bounds.KeyWithdrawal > 0 {
		limits = append(limits, takeoverLimit{"bounds.key_withdrawal_ms", c.MaxAgeAdmit(),
			"requests are refused during a takeover, since keys may have been withdrawn"})
	}
	if writeLimit := expected.Contact + expected.WriteAcks; expected.WriteAcks > 0 {
		limits = append(limits, takeoverLimit{"acknowledgement of writes", writeLimit * 6 / 10,
			"writes may be acknowledged late after a takeover"})
	}
	return limits
}

// VotersFor returns the number of voters of a core group: two for each machine, zone or region that may be
// lost at once and one more, and at least three, so that the group survives the stop of one machine. A
// core with fewer than three machines, judged by its number of seeds, has one voter.
func VotersFor(tolerated Tolerated, seeds int) int64 {
	if seeds < staticVoterCount {
		return 1
	}
	return min(max(2*max(tolerated.Machines, tolerated.Zones, tolerated.Regions)+1, staticVoterCount), maxVoters)
}
