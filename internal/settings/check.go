package settings

import (
	"fmt"
	"slices"

	"beaconvane/internal/message"
)

// Sizes of the core group and of frames.
const (
	// maxVoters is the largest number of voters. It is limited since many messages contain the member list.
	maxVoters = 99
	// staticVoterCount is the number of voters that are named in settings without a voter count. It is also
	// the smallest number of voters that survives the loss of one.
	staticVoterCount = 3
	// staticSeedCount is the number of seeds required with named voters.
	staticSeedCount = 3
	// maxFrameBytes is the largest value of Limits.Frame.
	maxFrameBytes = 256 << 20
	// frameOverheadBytes is reserved in a frame for everything but its body.
	frameOverheadBytes = 64 << 10
)

// Check returns all faults of the settings of a role, including bounds that cannot be kept together.
func (c Settings) Check(role string) Faults {
	faults := c.CheckAdjusted(role)
	if len(faults) == 0 {
		// Values derived from invalid bounds would only add misleading faults.
		c.checkTakeover(&faults)
	}
	return faults
}

// CheckAdjusted is Check for settings returned by AdjustBounds: bounds that cannot be kept together are
// reported in Warnings and not as faults.
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

// checkIdentity checks names, zones, addresses and the data directory.
func (c Settings) checkIdentity(role string, faults *Faults) {
	faults.missingIf(c.Node == "", "node", "missing")
	faults.missingIf(c.Zone == "", "zone", "missing")
	faults.missingIf(len(c.Zones) == 0, "zones", "missing: the names of all zones")
	faults.invalidIf(c.Zone != "" && len(c.Zones) > 0 && !slices.Contains(c.Zones, c.Zone), "zone", "not among zones")
	for _, slice := range c.Slices {
		faults.invalidIf(!slices.Contains(c.Zones, slice), "slices", "not among zones: "+slice)
	}
	faults.checkAddress("address", c.Address)
	if role != message.RoleConfigStore {
		faults.checkAddress("outside", c.HTTPAddress)
	}
	if c.MetricsAddress != "" {
		faults.checkAddress("metrics", c.MetricsAddress)
	}
	for index, address := range c.BeaconAddresses {
		faults.checkAddress(fmt.Sprintf("beacon.%d", index), address)
	}
	faults.missingIf(role != message.RoleProxy && c.DataDirectory == "", "data", "missing: the data folder")
}

// checkSeeds checks the addresses of seeds and anchors.
func (c Settings) checkSeeds(faults *Faults) {
	faults.missingIf(c.VoterCount > 0 && len(c.Seeds) == 0, "seeds", "want at least one address")
	faults.invalidIf(c.VoterCount == 0 && len(c.Seeds) != staticSeedCount, "seeds", "want three addresses")
	for index, seed := range c.Seeds {
		faults.checkAddress(fmt.Sprintf("seeds.%d", index), seed)
	}
	for index, anchor := range c.Anchors {
		faults.checkAddress(fmt.Sprintf("anchors.%d", index), anchor)
	}
}

// checkChoices checks the settings that are one of several words, and that a configuration is named.
func (c Settings) checkChoices(faults *Faults) {
	faults.invalidIf(c.TargetProof != ProofConnection && c.TargetProof != ProofTarget, "proof", "want connection or target")
	faults.invalidIf(c.UnknownFields != FieldsRefuse && c.UnknownFields != FieldsKeep, "fields", "want refuse or keep")
	faults.invalidIf(c.CountedRequests != CountAnswered && c.CountedRequests != CountBegun, "counted", "want answered or begun")
	faults.invalidIf(c.WritePolicy != WritesRising && c.WritePolicy != WritesHighest, "puts", "want rising or highest")
	faults.missingIf(len(c.ConfigNames) == 0, "configurations", "want at least one")
}

// checkVoters checks the voters, the preferred holders of leases and the tolerated loss.
func (c Settings) checkVoters(role string, faults *Faults) {
	voters := c.Voters
	if c.VoterCount != 0 {
		voters = VoterNames(min(c.VoterCount, maxVoters))
		valid := c.VoterCount >= 1 && c.VoterCount <= maxVoters && c.VoterCount%2 == 1
		faults.invalidIf(!valid, "voter_count", fmt.Sprintf("want an odd number from 1 to %d", maxVoters))
		faults.invalidIf(c.Voter != "" || len(c.Voters) > 0, "voter_count", "stands instead of voter and voters, not beside them")
	} else {
		faults.invalidIf(c.Bootstrap, "found", "goes with voter_count only")
	}
	if role != message.RoleProxy && c.VoterCount == 0 {
		faults.invalidIf(len(c.Voters) != staticVoterCount, "voters", "want the names of the three voters")
		faults.missingIf(c.Voter == "" || !slices.Contains(c.Voters, c.Voter), "voter", "want one of voters")
	}
	for tag, voter := range c.PreferredHolders {
		faults.invalidIf(tag != UsageLease && tag != ConfigLogLease && !slices.Contains(c.Zones, tag), "active."+tag, "no such tag")
		faults.invalidIf(role != message.RoleProxy && !slices.Contains(voters, voter), "active."+tag, "no such voter: "+voter)
	}
	tolerated := c.Tolerated
	faults.invalidIf(min(tolerated.Machines, tolerated.Zones, tolerated.Regions) < 0, "tolerated",
		"machines, zones and regions want 0 or more")
}

// checkBounds checks each bound by itself.
func (c Settings) checkBounds(faults *Faults) {
	bounds := c.Bounds
	faults.checkPositive("bounds.", map[string]int64{
		"configuration_in_force_ms": bounds.ConfigurationInForce,
		"drain_ms":                  bounds.Drain,
		"slip_back_ms":              bounds.RollbackWindow,
		"answer_hold_ms":            bounds.ResponseDelay,
		"usage_late_ms":             bounds.UsageReportDelay,
		"usage_window_ms":           bounds.UsageWindow,
		"holder_rest_ms":            bounds.HolderCooldown,
		"catch_up_ms":               bounds.CatchUp,
		"restore_ms":                bounds.Restore,
		"heartbeat_ms":              bounds.Heartbeat,
		"sync_ms":                   bounds.Sync,
		"retry_window_ms":           bounds.RetryWindow,
	})
	faults.invalidIf(bounds.Lease < 0 || bounds.Lease > bounds.HolderCooldown/2, "bounds.lease_ms",
		"want at most half of holder_rest_ms, or 0")
	faults.invalidIf(bounds.Adoption < 0, "bounds.adoption_ms", "wants 0 or more")
	faults.invalidIf(bounds.KeyWithdrawal < 0 || bounds.RetryAllowance < 0 || bounds.RetryShare < 0 || bounds.RetryShare >= 1, "bounds",
		"key_withdrawal_ms and retry_allowance want 0 or more, retry_share 0 to below 1")
}

// checkLimits checks the limits, and that every body, response and configuration fits in a frame.
func (c Settings) checkLimits(faults *Faults) {
	limits := c.Limits
	faults.checkPositive("limits.", map[string]int64{
		"queue":                 limits.Queue,
		"body_bytes":            limits.Body,
		"answer_bytes":          limits.Response,
		"configuration_bytes":   limits.Configuration,
		"configuration_entries": limits.ConfigurationEntries,
		"configuration_values":  limits.ConfigurationValues,
		"configuration_depth":   limits.ConfigurationDepth,
		"kept_configurations":   limits.RetainedVersions,
		"fanout":                limits.Fanout,
		"frame_bytes":           limits.Frame,
		"request_ms":            limits.RequestTimeout,
		"grace_ms":              limits.Grace,
	})
	negative := limits.Linger < 0 || limits.Memory < 0 || limits.LinkBandwidth < 0 || limits.Descriptors < 0
	faults.invalidIf(negative || limits.Linger >= limits.Grace, "limits",
		"linger_ms, memory_mb, link_bytes and descriptors want 0 or more, linger_ms less than grace_ms")
	faults.invalidIf(limits.Frame > maxFrameBytes, "limits.frame_bytes", fmt.Sprintf("want at most %d", maxFrameBytes))
	faults.clashIf(limits.Frame > 0 && limits.Frame < max(limits.Body, limits.Response, limits.Configuration)+frameOverheadBytes,
		"limits.frame_bytes", "must hold a body, an answer or a configuration and 64 KiB more")
	faults.clashIf(limits.Frame < int64(len(c.ConfigNames)+1)*(limits.Configuration+frameOverheadBytes), "limits.frame_bytes",
		"must hold the largest configuration of every configuration and one more")
}

// checkTakeover checks that the bounds which depend on a takeover leave enough time for one, and that leases
// and configurations leave enough time for disk syncs.
func (c Settings) checkTakeover(faults *Faults) {
	bounds := c.Bounds
	faults.clashIf(c.LeaseTakeover() >= milliseconds(bounds.UsageReportDelay)-c.SealAfter(), "bounds.usage_late_ms",
		"a takeover after the seal does not fit in it")
	faults.clashIf(bounds.KeyWithdrawal > 0 && c.LeaseTakeover() >= c.MaxAgeAdmit(), "bounds.key_withdrawal_ms",
		"a takeover would outlast it: lower holder_rest_ms or raise it")
	faults.clashIf(c.LeaseTakeover()*2 > milliseconds(bounds.Restore), "bounds.restore_ms", "two takeovers must fit in it")
	faults.clashIf(milliseconds(bounds.Sync)*minSyncsPerLease > c.Lease(), "bounds.sync_ms", "a lease must hold four syncs")
	faults.clashIf(milliseconds(bounds.Sync)*minSyncsPerInForceBound > milliseconds(bounds.ConfigurationInForce), "bounds.sync_ms",
		"configuration_in_force_ms must hold eight syncs")
}
