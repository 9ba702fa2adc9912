package settings

// This file checks settings: what is missing or can't be read, and bounds that can't be
// kept together. Every fault is listed with its path.

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sort"

	"github.com/tidwall/gjson"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// Fault is one thing that is wrong with some settings.
type Fault struct {
	Code errcode.Code
	Path string
	Text string
}

// String gives the line that an operator reads.
func (f Fault) String() string { return fmt.Sprintf("%s: %s (%d)", f.Path, f.Text, int(f.Code)) }

// Faults are all that is wrong with some settings.
type Faults []Fault

// Lines gives the faults as sorted text.
func (f Faults) Lines() []string {
	lines := []string{}
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	sort.Strings(lines)
	return lines
}

func (f *Faults) add(code errcode.Code, path, text string) {
	*f = append(*f, Fault{code, path, text})
}

func (f *Faults) bad(wrong bool, path, text string) {
	if wrong {
		f.add(errcode.ConfigBadValue, path, text)
	}
}

func (f *Faults) missing(absent bool, path, text string) {
	if absent {
		f.add(errcode.ConfigMissing, path, text)
	}
}

func (f *Faults) clash(wrong bool, path, text string) {
	if wrong {
		f.add(errcode.ConfigBoundsClash, path, text)
	}
}

// address wants an IP number and a port.
func (f *Faults) address(path, value string) {
	if value == "" {
		f.add(errcode.ConfigMissing, path, "missing")
		return
	}
	host, port, err := net.SplitHostPort(value)
	f.bad(err != nil || net.ParseIP(host) == nil || port == "", path, "want an IP number and a port, have "+value)
}

// positive wants figures above 0.
func (f *Faults) positive(prefix string, figures map[string]int64) {
	for name, value := range figures {
		f.bad(value <= 0, prefix+name, "want more than 0")
	}
}

// unknownKeys lists keys that no setting has, and keys that stand twice.
func unknownKeys(body []byte) Faults {
	known := func(sample any) map[string]bool {
		names := map[string]bool{}
		text, _ := json.Marshal(sample)
		gjson.ParseBytes(text).ForEach(func(key, _ gjson.Result) bool { names[key.String()] = true; return true })
		return names
	}
	faults := Faults{}
	walk := func(path string, value gjson.Result, names map[string]bool) {
		seen := map[string]bool{}
		value.ForEach(func(key, _ gjson.Result) bool {
			if !names[key.String()] {
				faults.add(errcode.ConfigUnknownKey, path+key.String(), "unknown key")
			}
			if seen[key.String()] {
				faults.add(errcode.ConfigBadValue, path+key.String(), "key stands twice")
			}
			seen[key.String()] = true
			return true
		})
	}
	root := gjson.ParseBytes(body)
	walk("", root, known(Default()))
	walk("bounds.", root.Get("bounds"), known(Bounds{}))
	walk("limits.", root.Get("limits"), known(Limits{}))
	walk("tolerated.", root.Get("tolerated"), known(Tolerated{}))
	return faults
}

// sizes of the core group and of frames.
const (
	// maxVoters bounds a group; its member list goes with every telling.
	maxVoters = 99
	// namedVoters is how many voters settings name that don't count them.
	namedVoters = 3
	// namedSeeds is how many seeds go with voters that are named.
	namedSeeds = 3
	// maxFrame is the largest frame that may be allowed, in bytes.
	maxFrame = 256 << 20
	// frameHead is what a frame holds beside its body, in bytes.
	frameHead = 64 << 10
)

// Check lists all that is wrong with the settings of a role, bounds that can't be kept
// together among it.
func (c Settings) Check(role string) Faults {
	faults := c.CheckAdjusted(role)
	if len(faults) == 0 {
		// Ratios of broken bounds would only confuse.
		c.checkTakeOver(&faults)
	}
	return faults
}

// CheckAdjusted is Check for settings that AdjustBounds has made: what their bounds leave no room
// for stands in the warnings and is no fault.
func (c Settings) CheckAdjusted(role string) Faults {
	faults := Faults{}
	c.checkPlace(role, &faults)
	c.checkSeeds(&faults)
	c.checkChoices(&faults)
	c.checkVoters(role, &faults)
	c.checkBounds(&faults)
	c.checkLimits(&faults)
	return faults
}

func (c Settings) checkPlace(role string, faults *Faults) {
	faults.missing(c.Node == "", "node", "missing")
	faults.missing(c.Zone == "", "zone", "missing")
	faults.missing(len(c.Zones) == 0, "zones", "missing: the names of all zones")
	faults.bad(c.Zone != "" && len(c.Zones) > 0 && !slices.Contains(c.Zones, c.Zone), "zone", "not among zones")
	for _, slice := range c.Slices {
		faults.bad(!slices.Contains(c.Zones, slice), "slices", "not among zones: "+slice)
	}
	faults.address("address", c.Address)
	if role != message.RoleConfigStore {
		faults.address("outside", c.Outside)
	}
	if c.Metrics != "" {
		faults.address("metrics", c.Metrics)
	}
	for index, address := range c.Beacon {
		faults.address(fmt.Sprintf("beacon.%d", index), address)
	}
	faults.missing(role != message.RoleProxy && c.Data == "", "data", "missing: the data folder")
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

func (c Settings) checkChoices(faults *Faults) {
	faults.bad(c.Proof != ProofConnection && c.Proof != ProofTarget, "proof", "want connection or target")
	faults.bad(c.Fields != FieldsRefuse && c.Fields != FieldsKeep, "fields", "want refuse or keep")
	faults.bad(c.Counted != CountAnswered && c.Counted != CountBegun, "counted", "want answered or begun")
	faults.bad(c.Writes != WritesRising && c.Writes != WritesHighest, "puts", "want rising or highest")
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
		faults.bad(c.Found, "found", "goes with voter_count only")
	}
	if role != message.RoleProxy && c.VoterCount == 0 {
		faults.bad(len(c.Voters) != namedVoters, "voters", "want the names of the three voters")
		faults.missing(c.Voter == "" || !slices.Contains(c.Voters, c.Voter), "voter", "want one of voters")
	}
	for tag, voter := range c.Active {
		faults.bad(tag != UsageTag && tag != ConfigLogTag && !slices.Contains(c.Zones, tag), "active."+tag, "no such tag")
		faults.bad(role != message.RoleProxy && !slices.Contains(voters, voter), "active."+tag, "no such voter: "+voter)
	}
	tolerated := c.Tolerated
	faults.bad(min(tolerated.Machines, tolerated.Zones, tolerated.Regions) < 0, "tolerated", "machines, zones and regions want 0 or more")
}

func (c Settings) checkBounds(faults *Faults) {
	b := c.Bounds
	faults.positive("bounds.", map[string]int64{
		"configuration_in_force_ms": b.ConfigurationInForce, "drain_ms": b.Drain, "slip_back_ms": b.SlipBack, "answer_hold_ms": b.AnswerHold,
		"usage_late_ms": b.UsageLate, "usage_window_ms": b.UsageWindow, "holder_rest_ms": b.HolderRest, "catch_up_ms": b.CatchUp, "restore_ms": b.Restore,
		"heartbeat_ms": b.Heartbeat, "sync_ms": b.Sync, "retry_window_ms": b.RetryWindow,
	})
	faults.bad(b.Lease < 0 || b.Lease > b.HolderRest/2, "bounds.lease_ms", "want at most half of holder_rest_ms, or 0")
	faults.bad(b.KeyWithdrawal < 0 || b.RetryAllowance < 0 || b.RetryShare < 0 || b.RetryShare >= 1, "bounds",
		"key_withdrawal_ms and retry_allowance want 0 or more, retry_share 0 to below 1")
}

func (c Settings) checkLimits(faults *Faults) {
	l := c.Limits
	faults.positive("limits.", map[string]int64{
		"queue": l.Queue, "body_bytes": l.Body, "answer_bytes": l.Answer, "configuration_bytes": l.Configuration,
		"configuration_entries": l.Entries, "kept_configurations": l.KeptConfigurations, "fanout": l.Fanout,
		"frame_bytes": l.Frame, "request_ms": l.Request, "grace_ms": l.Grace,
	})
	faults.bad(l.Linger < 0 || l.Memory < 0 || l.Link < 0 || l.Descriptors < 0 || l.Linger >= l.Grace, "limits", "linger_ms, memory_mb, link_bytes and descriptors want 0 or more, linger_ms less than grace_ms")
	faults.bad(l.Frame > maxFrame, "limits.frame_bytes", fmt.Sprintf("want at most %d", maxFrame))
	faults.clash(l.Frame > 0 && l.Frame < max(l.Body, l.Answer, l.Configuration)+frameHead, "limits.frame_bytes",
		"must hold a body, an answer or a configuration and 64 KiB more")
	faults.clash(l.Frame < int64(len(c.ConfigNames)+1)*(l.Configuration+frameHead), "limits.frame_bytes",
		"must hold the largest configuration of every configuration and one more")
}

// checkTakeOver: a takeover has to be over before what waits for it is late.
func (c Settings) checkTakeOver(faults *Faults) {
	b := c.Bounds
	faults.clash(c.TakeOver() >= ms(b.UsageLate)-c.SealAfter(), "bounds.usage_late_ms", "a takeover after the seal does not fit in it")
	faults.clash(b.KeyWithdrawal > 0 && c.TakeOver() >= c.MaxAgeAdmit(), "bounds.key_withdrawal_ms", "a takeover would outlast it: lower holder_rest_ms or raise it")
	faults.clash(c.TakeOver()*2 > ms(b.Restore), "bounds.restore_ms", "two takeovers must fit in it")
	faults.clash(ms(b.Sync)*syncsInLease > c.Lease(), "bounds.sync_ms", "a lease must hold four syncs")
	faults.clash(ms(b.Sync)*syncsInForce > ms(b.ConfigurationInForce), "bounds.sync_ms", "configuration_in_force_ms must hold eight syncs")
}
