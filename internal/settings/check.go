package settings

import (
	"fmt"
	"slices"

	"beaconvane/internal/message"
)

// Sizes of the core group and of frames.
const (
	// maxVoters bounds a group, whose member list is part of many messages.
	maxVoters = 99
	// namedVoters is how many voters the settings name where they give no count.
	namedVoters = 3
	// namedSeeds is how many seeds go with voters that are named.
	namedSeeds = 3
	// maxFrame is the largest frame that may be allowed, in bytes.
	maxFrame = 256 << 20
	// frameHead is the room in a frame for all but its body, in bytes.
	frameHead = 64 << 10
)

// Check lists all that is wrong with the settings of a role, also bounds that cannot be kept
// together.
func (c Settings) Check(role string) Faults {
	faults := c.CheckAdjusted(role)
	if len(faults) == 0 {
		// Ratios of broken bounds would only confuse.
		c.checkTakeOver(&faults)
	}
	return faults
}

// CheckAdjusted is Check for settings that AdjustBounds has returned: bounds that cannot be kept
// together are in their Warnings and are no faults.
func (c Settings) CheckAdjusted(role string) Faults {
	faults := Faults{}
	c.checkIdentity(role, &faults)
	c.checkSeeds(&faults)
	c.checkChoices(&faults)
	c.checkVoters(role, &faults)
	c.checkBounds(&faults)
	c.checkLimits(&faults)
	return faults
}

// checkIdentity checks names, zones, addresses and the data folder.
func (c Settings) checkIdentity(role string, faults *Faults) {
	faults.missing(c.Node == "", "node", "missing")
	faults.missing(c.Zone == "", "zone", "missing")
	faults.missing(len(c.Zones) == 0, "zones", "missing: the names of all zones")
	faults.bad(c.Zone != "" && len(c.Zones) > 0 && !slices.Contains(c.Zones, c.Zone), "zone", "not among zones")
	for _, slice := range c.Slices {
		faults.bad(!slices.Contains(c.Zones, slice), "slices", "not among zones: "+slice)
	}
	faults.address("address", c.Address)
	if role != message.RoleConfigStore {
		faults.address("outside", c.HTTPAddress)
	}
	if c.MetricsAddress != "" {
		faults.address("metrics", c.MetricsAddress)
	}
	for index, address := range c.BeaconAddresses {
		faults.address(fmt.Sprintf("beacon.%d", index), address)
	}
	faults.missing(role != message.RoleProxy && c.DataDirectory == "", "data", "missing: the data folder")
}

func (c Settings) checkSeeds(faults *Faults) {
	faults.missing(c.VoterCount > 0 && len(c.Seeds) == 0, "seeds", "want at least one address")
	faults.bad(c.VoterCount == 0 && len(c.Seeds) != namedSeeds, "seeds", "want three addresses")
	for index, seed := range c.Seeds {
		faults.address(fmt.Sprintf("seeds.%d", index), seed)
	}
	for index, anchor := range c.Anchors {
		faults.address(fmt.Sprintf("anchors.%d", index), anchor)
	}
}

// checkChoices checks settings that are one of several words.
func (c Settings) checkChoices(faults *Faults) {
	faults.bad(c.TargetProof != ProofConnection && c.TargetProof != ProofTarget, "proof", "want connection or target")
	faults.bad(c.UnknownFields != FieldsRefuse && c.UnknownFields != FieldsKeep, "fields", "want refuse or keep")
	faults.bad(c.CountedRequests != CountAnswered && c.CountedRequests != CountBegun, "counted", "want answered or begun")
	faults.bad(c.WritePolicy != WritesRising && c.WritePolicy != WritesHighest, "puts", "want rising or highest")
	faults.missing(len(c.ConfigNames) == 0, "configurations", "want at least one")
}

func (c Settings) checkVoters(role string, faults *Faults) {
	voters := c.Voters
	if c.VoterCount != 0 {
		voters = VoterNames(min(c.VoterCount, maxVoters))
		odd := c.VoterCount >= 1 && c.VoterCount <= maxVoters && c.VoterCount%2 == 1
		faults.bad(!odd, "voter_count", fmt.Sprintf("want an odd number from 1 to %d", maxVoters))
		faults.bad(c.Voter != "" || len(c.Voters) > 0, "voter_count", "stands instead of voter and voters, not beside them")
	} else {
		faults.bad(c.Bootstrap, "found", "goes with voter_count only")
	}
	if role != message.RoleProxy && c.VoterCount == 0 {
		faults.bad(len(c.Voters) != namedVoters, "voters", "want the names of the three voters")
		faults.missing(c.Voter == "" || !slices.Contains(c.Voters, c.Voter), "voter", "want one of voters")
	}
	for tag, voter := range c.PreferredHolders {
		faults.bad(tag != UsageLease && tag != ConfigLogLease && !slices.Contains(c.Zones, tag), "active."+tag, "no such tag")
		faults.bad(role != message.RoleProxy && !slices.Contains(voters, voter), "active."+tag, "no such voter: "+voter)
	}
	tolerated := c.Tolerated
	faults.bad(min(tolerated.Machines, tolerated.Zones, tolerated.Regions) < 0, "tolerated", "machines, zones and regions want 0 or more")
}

func (c Settings) checkBounds(faults *Faults) {
	b := c.Bounds
	faults.positive("bounds.", map[string]int64{
		"configuration_in_force_ms": b.ConfigurationInForce,
		"drain_ms":                  b.Drain,
		"slip_back_ms":              b.RollbackWindow,
		"answer_hold_ms":            b.ResponseDelay,
		"usage_late_ms":             b.UsageReportDelay,
		"usage_window_ms":           b.UsageWindow,
		"holder_rest_ms":            b.HolderCooldown,
		"catch_up_ms":               b.CatchUp,
		"restore_ms":                b.Restore,
		"heartbeat_ms":              b.Heartbeat,
		"sync_ms":                   b.Sync,
		"retry_window_ms":           b.RetryWindow,
	})
	faults.bad(b.Lease < 0 || b.Lease > b.HolderCooldown/2, "bounds.lease_ms", "want at most half of holder_rest_ms, or 0")
	faults.bad(b.KeyWithdrawal < 0 || b.RetryAllowance < 0 || b.RetryShare < 0 || b.RetryShare >= 1, "bounds",
		"key_withdrawal_ms and retry_allowance want 0 or more, retry_share 0 to below 1")
}

func (c Settings) checkLimits(faults *Faults) {
	l := c.Limits
	faults.positive("limits.", map[string]int64{
		"queue":                 l.Queue,
		"body_bytes":            l.Body,
		"answer_bytes":          l.Response,
		"configuration_bytes":   l.Configuration,
		"configuration_entries": l.ConfigurationEntries,
		"kept_configurations":   l.RetainedVersions,
		"fanout":                l.Fanout,
		"frame_bytes":           l.Frame,
		"request_ms":            l.RequestTimeout,
		"grace_ms":              l.Grace,
	})
	negative := l.Linger < 0 || l.Memory < 0 || l.LinkBandwidth < 0 || l.Descriptors < 0
	faults.bad(negative || l.Linger >= l.Grace, "limits",
		"linger_ms, memory_mb, link_bytes and descriptors want 0 or more, linger_ms less than grace_ms")
	faults.bad(l.Frame > maxFrame, "limits.frame_bytes", fmt.Sprintf("want at most %d", maxFrame))
	faults.clash(l.Frame > 0 && l.Frame < max(l.Body, l.Response, l.Configuration)+frameHead, "limits.frame_bytes",
		"must hold a body, an answer or a configuration and 64 KiB more")
	faults.clash(l.Frame < int64(len(c.ConfigNames)+1)*(l.Configuration+frameHead), "limits.frame_bytes",
		"must hold the largest configuration of every configuration and one more")
}

// checkTakeOver checks that a takeover ends before the bound of whatever waits for it.
func (c Settings) checkTakeOver(faults *Faults) {
	b := c.Bounds
	faults.clash(c.LeaseTakeover() >= ms(b.UsageReportDelay)-c.SealAfter(), "bounds.usage_late_ms",
		"a takeover after the seal does not fit in it")
	faults.clash(b.KeyWithdrawal > 0 && c.LeaseTakeover() >= c.MaxAgeAdmit(), "bounds.key_withdrawal_ms",
		"a takeover would outlast it: lower holder_rest_ms or raise it")
	faults.clash(c.LeaseTakeover()*2 > ms(b.Restore), "bounds.restore_ms", "two takeovers must fit in it")
	faults.clash(ms(b.Sync)*syncsInLease > c.Lease(), "bounds.sync_ms", "a lease must hold four syncs")
	faults.clash(ms(b.Sync)*syncsInForce > ms(b.ConfigurationInForce), "bounds.sync_ms", "configuration_in_force_ms must hold eight syncs")
}
