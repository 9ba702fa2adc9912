// Package settings reads and checks the settings. A file is JSON; flags go over it.
// Everything is checked whole at start and every fault is listed with its path, so
// that an operator mends a file once and not fault by fault. The bounds section
// states what must hold; every timer in the programs is a ratio to one of them, and
// those ratios stand here, in one place.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
)

// Bounds are the promises, in milliseconds unless named otherwise.
type Bounds struct {
	ConfigurationInForce int64   `json:"configuration_in_force_ms"`
	KeyWithdrawal        int64   `json:"key_withdrawal_ms"`
	Drain                int64   `json:"drain_ms"`
	SlipBack             int64   `json:"slip_back_ms"`
	AnswerHold           int64   `json:"answer_hold_ms"`
	UsageLate            int64   `json:"usage_late_ms"`
	UsageWindow          int64   `json:"usage_window_ms"`
	HolderRest           int64   `json:"holder_rest_ms"`
	Lease                int64   `json:"lease_ms"`    // 0: half of holder_rest_ms
	CatchUp              int64   `json:"catch_up_ms"` // within which a new core machine is a full voter
	Restore              int64   `json:"restore_ms"`
	Heartbeat            int64   `json:"heartbeat_ms"`
	Sync                 int64   `json:"sync_ms"`
	RetryShare           float64 `json:"retry_share"`
	RetryWindow          int64   `json:"retry_window_ms"`
	RetryAllowance       int64   `json:"retry_allowance"`
}

// Limits are sizes and counts.
type Limits struct {
	Queue              int64   `json:"queue"`
	Body               int64   `json:"body_bytes"`
	Answer             int64   `json:"answer_bytes"`
	Configuration      int64   `json:"configuration_bytes"`
	Entries            int64   `json:"configuration_entries"`
	KeptConfigurations int64   `json:"kept_configurations"`
	Fanout             int64   `json:"fanout"`
	Frame              int64   `json:"frame_bytes"`
	Request            int64   `json:"request_ms"`
	Grace              int64   `json:"grace_ms"`
	SpillMargin        float64 `json:"spill_margin"`
	Linger             int64   `json:"linger_ms"` // a polite stop takes requests for so long yet
	Memory             int64   `json:"memory_mb"` // of the process; 0: not told
}

// Proofs of whom a request reaches, and what becomes of unknown fields in configurations.
const (
	ProofConnection = "connection"
	ProofTarget     = "target"
	FieldsRefuse    = "refuse"
	FieldsKeep      = "keep"

	CountAnswered = "answered"
	CountBegun    = "begun"
)

// Settings is the settings of one process.
type Settings struct {
	Node        string            `json:"node"`
	Voter       string            `json:"voter"`
	Voters      []string          `json:"voters"`
	VoterCount  int64             `json:"voter_count"` // instead of voter and voters: how many, found by the processes themselves
	Found       bool              `json:"found"`       // this start, with an empty disk, may found the group
	Zone        string            `json:"zone"`
	Zones       []string          `json:"zones"`
	Address     string            `json:"address"`
	Outside     string            `json:"outside"`
	Seeds       []string          `json:"seeds"`
	Data        string            `json:"data"`
	ConfigNames []string          `json:"configurations"`
	Writes      string            `json:"puts"`   // rising: a lower number is a conflict; highest: it is acknowledged and alters nothing
	Slices      []string          `json:"slices"` // a proxy's: zones it takes upstreams from; default all
	Collector   string            `json:"collector"`
	Active      map[string]string `json:"active"`
	LogLevel    int64             `json:"log_level"`
	Service     string            `json:"service"` // a proxy's: the service that calls from its machine; "": callers name theirs
	Beacon      []string          `json:"beacon"`  // a proxy's: addresses of its own calls, apart from the callers'; default none apart
	Proof       string            `json:"proof"`   // of whom a request reaches: "connection" or "target"
	Fields      string            `json:"fields"`  // configurations' fields that are not known: "refuse" or "keep"
	Counted     string            `json:"counted"` // for usage: requests "answered", or "begun" by an upstream
	Bounds      Bounds            `json:"bounds"`
	Limits      Limits            `json:"limits"`
}

// Default gives the values that stand when the file is silent.
func Default() Settings {
	return Settings{
		ConfigNames: []string{"main"},
		Writes:      WritesRising,
		Active:      map[string]string{},
		Proof:       ProofConnection,
		Fields:      FieldsRefuse, Counted: CountAnswered,
		Bounds: Bounds{
			ConfigurationInForce: 2000, KeyWithdrawal: 0, Drain: 2000, SlipBack: 250, AnswerHold: 200,
			UsageLate: 10000, UsageWindow: 5000, HolderRest: 3000, CatchUp: 4000, Restore: 15000, Heartbeat: 3000,
			Sync: 50, RetryShare: 0.2, RetryWindow: 10000, RetryAllowance: 10,
		},
		Limits: Limits{
			Queue: 512, Body: 4 << 20, Answer: 8 << 20, Configuration: 4 << 20, Entries: 20000, KeptConfigurations: 16,
			Fanout: 2, Frame: 16 << 20, Request: 5000, Grace: 10000, SpillMargin: 0.25,
		},
	}
}

// UsageTag is the tag of the usage reports; ConfigLogTag that of the configstores.
const (
	UsageTag     = "usage"
	ConfigLogTag = "config-log"
)

// maxVoters bounds a group; its member list goes with every telling.
const maxVoters = 99

// How puts are taken.
const (
	WritesRising  = "rising"
	WritesHighest = "highest"
)

// VoterNames gives the names of voters that the settings only count.
func VoterNames(count int64) []string {
	names := []string{}
	for number := range count {
		names = append(names, strconv.FormatInt(number+1, 10))
	}
	return names
}

// Read takes a file's bytes over the defaults and lists every fault. Pairs of a
// flag's name and value go over the file before the check.
func Read(role string, body []byte, flags map[string]string) (Settings, []string) {
	cfg := Default()
	faults := []string{}
	if len(body) > 0 {
		if !gjson.ValidBytes(body) {
			return cfg, []string{fault(errcode.ConfigUnreadable, "$", "not JSON")}
		}
		faults = append(faults, unknownKeys(body)...)
		if err := json.Unmarshal(body, &cfg); err != nil {
			return cfg, append(faults, fault(errcode.ConfigBadValue, "$", err.Error()))
		}
	}
	for name, value := range flags {
		switch name {
		case "node":
			cfg.Node = value
		case "voter":
			cfg.Voter = value
		case "found":
			cfg.Found = value == "true"
		case "zone":
			cfg.Zone = value
		case "address":
			cfg.Address = value
		case "outside":
			cfg.Outside = value
		case "data":
			cfg.Data = value
		case "collector":
			cfg.Collector = value
		case "seeds":
			cfg.Seeds = strings.Split(value, ",")
		}
	}
	faults = append(faults, cfg.check(role)...)
	if cfg.VoterCount > 0 {
		cfg.Voters = VoterNames(cfg.VoterCount)
	}
	sort.Strings(faults)
	return cfg, faults
}

// Load is Read from a path.
func Load(role, path string, flags map[string]string) (Settings, error) {
	body := []byte{}
	if path != "" {
		read, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, errcode.Wrap("settings.load", errcode.ConfigUnreadable, err)
		}
		body = read
	}
	cfg, faults := Read(role, body, flags)
	if len(faults) > 0 {
		return cfg, errcode.Wrap("settings.load", errcode.ConfigBadValue, fmt.Errorf("%d faults:\n  %s", len(faults), strings.Join(faults, "\n  ")))
	}
	return cfg, nil
}

func fault(code errcode.Code, path, text string) string {
	return fmt.Sprintf("%s: %s (%d)", path, text, int(code))
}

func unknownKeys(body []byte) []string {
	known := func(sample any) map[string]bool {
		names := map[string]bool{}
		text, _ := json.Marshal(sample)
		gjson.ParseBytes(text).ForEach(func(key, _ gjson.Result) bool { names[key.String()] = true; return true })
		return names
	}
	faults := []string{}
	walk := func(path string, value gjson.Result, names map[string]bool) {
		seen := map[string]bool{}
		value.ForEach(func(key, _ gjson.Result) bool {
			if !names[key.String()] {
				faults = append(faults, fault(errcode.ConfigUnknownKey, path+key.String(), "unknown key"))
			}
			if seen[key.String()] {
				faults = append(faults, fault(errcode.ConfigBadValue, path+key.String(), "key stands twice"))
			}
			seen[key.String()] = true
			return true
		})
	}
	root := gjson.ParseBytes(body)
	walk("", root, known(Default()))
	walk("bounds.", root.Get("bounds"), known(Bounds{}))
	walk("limits.", root.Get("limits"), known(Limits{}))
	return faults
}

func (c Settings) check(role string) []string {
	faults := []string{}
	add := func(code errcode.Code, path, text string) { faults = append(faults, fault(code, path, text)) }
	needAddress := func(path, value string) {
		if value == "" {
			add(errcode.ConfigMissing, path, "missing")
			return
		}
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			add(errcode.ConfigBadValue, path, "want an IP number and a port, have "+value)
		}
	}
	if c.Node == "" {
		add(errcode.ConfigMissing, "node", "missing")
	}
	if c.Zone == "" {
		add(errcode.ConfigMissing, "zone", "missing")
	}
	needAddress("address", c.Address)
	if role != message.RoleConfigStore {
		needAddress("outside", c.Outside)
	}
	switch {
	case c.VoterCount > 0 && len(c.Seeds) == 0:
		add(errcode.ConfigMissing, "seeds", "want at least one address")
	case c.VoterCount == 0 && len(c.Seeds) != 3:
		add(errcode.ConfigBadValue, "seeds", "want three addresses")
	}
	for index, address := range c.Beacon {
		needAddress(fmt.Sprintf("beacon.%d", index), address)
	}
	if c.Proof != ProofConnection && c.Proof != ProofTarget {
		add(errcode.ConfigBadValue, "proof", "want connection or target")
	}
	if c.Fields != FieldsRefuse && c.Fields != FieldsKeep {
		add(errcode.ConfigBadValue, "fields", "want refuse or keep")
	}
	if c.Counted != CountAnswered && c.Counted != CountBegun {
		add(errcode.ConfigBadValue, "counted", "want answered or begun")
	}
	if c.Limits.Linger < 0 || c.Limits.Memory < 0 || c.Limits.Linger >= c.Limits.Grace {
		add(errcode.ConfigBadValue, "limits", "linger_ms and memory_mb want 0 or more, linger_ms less than grace_ms")
	}
	for index, seed := range c.Seeds {
		needAddress(fmt.Sprintf("seeds.%d", index), seed)
	}
	if len(c.Zones) == 0 {
		add(errcode.ConfigMissing, "zones", "missing: the names of all zones")
	}
	if c.Zone != "" && len(c.Zones) > 0 && !slices.Contains(c.Zones, c.Zone) {
		add(errcode.ConfigBadValue, "zone", "not among zones")
	}
	for _, slice := range c.Slices {
		if !slices.Contains(c.Zones, slice) {
			add(errcode.ConfigBadValue, "slices", "not among zones: "+slice)
		}
	}
	if len(c.ConfigNames) == 0 {
		add(errcode.ConfigMissing, "configurations", "want at least one")
	}
	if c.Writes != WritesRising && c.Writes != WritesHighest {
		add(errcode.ConfigBadValue, "puts", "want rising or highest")
	}
	voters := c.Voters
	if c.VoterCount != 0 {
		voters = VoterNames(min(c.VoterCount, maxVoters))
		if c.VoterCount < 1 || c.VoterCount > maxVoters || c.VoterCount%2 == 0 {
			add(errcode.ConfigBadValue, "voter_count", fmt.Sprintf("want an odd number from 1 to %d", maxVoters))
		}
		if c.Voter != "" || len(c.Voters) > 0 {
			add(errcode.ConfigBadValue, "voter_count", "stands instead of voter and voters, not beside them")
		}
	} else if c.Found {
		add(errcode.ConfigBadValue, "found", "goes with voter_count only")
	}
	if role != message.RoleProxy {
		if c.VoterCount == 0 && len(c.Voters) != 3 {
			add(errcode.ConfigBadValue, "voters", "want the names of the three voters")
		}
		if c.VoterCount == 0 && (c.Voter == "" || !slices.Contains(c.Voters, c.Voter)) {
			add(errcode.ConfigMissing, "voter", "want one of voters")
		}
		if c.Data == "" {
			add(errcode.ConfigMissing, "data", "missing: the data folder")
		}
	}
	for tag, voter := range c.Active {
		if tag != UsageTag && tag != ConfigLogTag && !slices.Contains(c.Zones, tag) {
			add(errcode.ConfigBadValue, "active."+tag, "no such tag")
		}
		if role != message.RoleProxy && !slices.Contains(voters, voter) {
			add(errcode.ConfigBadValue, "active."+tag, "no such voter: "+voter)
		}
	}
	b := c.Bounds
	for path, value := range map[string]int64{
		"configuration_in_force_ms": b.ConfigurationInForce, "drain_ms": b.Drain, "slip_back_ms": b.SlipBack, "answer_hold_ms": b.AnswerHold,
		"usage_late_ms": b.UsageLate, "usage_window_ms": b.UsageWindow, "holder_rest_ms": b.HolderRest, "catch_up_ms": b.CatchUp, "restore_ms": b.Restore,
		"heartbeat_ms": b.Heartbeat, "sync_ms": b.Sync, "retry_window_ms": b.RetryWindow,
	} {
		if value <= 0 {
			add(errcode.ConfigBadValue, "bounds."+path, "want more than 0")
		}
	}
	if b.Lease < 0 || b.Lease > b.HolderRest/2 {
		add(errcode.ConfigBadValue, "bounds.lease_ms", "want at most half of holder_rest_ms, or 0")
	}
	if b.KeyWithdrawal < 0 || b.RetryAllowance < 0 || b.RetryShare < 0 || b.RetryShare >= 1 {
		add(errcode.ConfigBadValue, "bounds", "key_withdrawal_ms and retry_allowance want 0 or more, retry_share 0 to below 1")
	}
	for path, value := range map[string]int64{
		"queue": c.Limits.Queue, "body_bytes": c.Limits.Body, "answer_bytes": c.Limits.Answer, "configuration_bytes": c.Limits.Configuration,
		"configuration_entries": c.Limits.Entries, "kept_configurations": c.Limits.KeptConfigurations, "fanout": c.Limits.Fanout,
		"frame_bytes": c.Limits.Frame, "request_ms": c.Limits.Request, "grace_ms": c.Limits.Grace,
	} {
		if value <= 0 {
			add(errcode.ConfigBadValue, "limits."+path, "want more than 0")
		}
	}
	if c.Limits.Frame > 256<<20 {
		add(errcode.ConfigBadValue, "limits.frame_bytes", "want at most 268435456")
	}
	if c.Limits.Frame > 0 && (c.Limits.Frame < c.Limits.Body+65536 || c.Limits.Frame < c.Limits.Answer+65536 || c.Limits.Frame < c.Limits.Configuration+65536) {
		add(errcode.ConfigBoundsClash, "limits.frame_bytes", "must hold a body, an answer or a configuration and 64 KiB more")
	}
	if c.Limits.Frame < int64(len(c.ConfigNames)+1)*(c.Limits.Configuration+65536) {
		add(errcode.ConfigBoundsClash, "limits.frame_bytes", "must hold the largest configuration of every configuration and one more")
	}
	sound := len(faults) == 0 // ratios of broken bounds would only confuse
	clash := func(wrong bool, path, text string) {
		if wrong && sound {
			add(errcode.ConfigBoundsClash, path, text)
		}
	}
	clash(c.TakeOver() >= ms(b.UsageLate)-c.SealAfter(), "bounds.usage_late_ms", "a takeover after the seal does not fit in it")
	clash(b.KeyWithdrawal > 0 && c.TakeOver() >= c.StaleAdmit(), "bounds.key_withdrawal_ms", "a takeover would outlast it: lower holder_rest_ms or raise it")
	clash(c.TakeOver()*2 > ms(b.Restore), "bounds.restore_ms", "two takeovers must fit in it")
	clash(ms(b.Sync)*4 > c.Lease(), "bounds.sync_ms", "a lease must hold four syncs")
	clash(ms(b.Sync)*8 > ms(b.ConfigurationInForce), "bounds.sync_ms", "configuration_in_force_ms must hold eight syncs")
	return faults
}

// Subscribed lists the zones whose slices a proxy follows.
func (c Settings) Subscribed() []string {
	if len(c.Slices) == 0 {
		return c.Zones
	}
	return c.Slices
}

// ByTarget says that upstreams themselves refuse a request that names another.
func (c Settings) ByTarget() bool { return c.Proof == ProofTarget }

// CountsBegun says that usage is of requests that upstreams began.
func (c Settings) CountsBegun() bool { return c.Counted == CountBegun }

// ConfigurationLimits are what every reader of configurations goes by.
func (c Settings) ConfigurationLimits() routeconfig.Limits {
	return routeconfig.Limits{Bytes: c.Limits.Configuration, Entries: c.Limits.Entries, Request: c.RequestLimit(), Lenient: c.Fields == FieldsKeep}
}

func ms(value int64) time.Duration { return time.Duration(value) * time.Millisecond }

// The ratios. Each timer of the system is one of these.

func (c Settings) TickEvery() time.Duration    { return ms(c.Bounds.ConfigurationInForce) / 80 }
func (c Settings) UpdatesEvery() time.Duration { return ms(c.Bounds.ConfigurationInForce) / 10 }
func (c Settings) ParentLimit() time.Duration  { return ms(c.Bounds.ConfigurationInForce) / 4 }
func (c Settings) Reparent() time.Duration     { return ms(c.Bounds.ConfigurationInForce) * 3 / 4 }

// StaleReady is the age of configuration or roster past which a proxy is unready.
func (c Settings) StaleReady() time.Duration {
	if c.Bounds.KeyWithdrawal > 0 {
		return ms(c.Bounds.KeyWithdrawal) * 8 / 10
	}
	return ms(c.Bounds.Restore) * 4 / 10
}

// StaleAdmit is the age of configuration past which a proxy refuses; 0 is never.
func (c Settings) StaleAdmit() time.Duration {
	return ms(c.Bounds.KeyWithdrawal) * 9 / 10
}

func (c Settings) Lease() time.Duration {
	if c.Bounds.Lease > 0 {
		return ms(c.Bounds.Lease)
	}
	return ms(c.Bounds.HolderRest) / 2
}
func (c Settings) LeaseHeld() time.Duration      { return c.Lease() * 9 / 10 }
func (c Settings) RenewEvery() time.Duration     { return c.Lease() / 5 }
func (c Settings) HolderRest() time.Duration     { return ms(c.Bounds.HolderRest) }
func (c Settings) MoveBack() time.Duration       { return ms(c.Bounds.HolderRest) * 4 }
func (c Settings) TakeOver() time.Duration       { return c.Lease()*2 + ms(c.Bounds.Sync)*4 }
func (c Settings) HeartbeatBound() time.Duration { return ms(c.Bounds.Heartbeat) }
func (c Settings) HeartbeatEvery() time.Duration { return ms(c.Bounds.Heartbeat) / 10 }

// ServingProxyBound is how long a serving proxy gives an upstream work without hearing from it: it may
// have said elsewhere that it leaves. DialFresh is how long a sign of life proves who
// is at an address.
func (c Settings) ServingProxyBound() time.Duration {
	if c.ByTarget() {
		// Heartbeats come to the serving proxy alone, and a target proves itself.
		return c.HeartbeatBound()
	}
	return min(c.HeartbeatBound(), ms(c.Bounds.Drain)*4/5)
}
func (c Settings) DialFresh() time.Duration      { return c.HeartbeatBound() / 30 }
func (c Settings) ConnectionIdle() time.Duration { return c.HeartbeatBound() * 2 / 3 }
func (c Settings) LookAgain() time.Duration      { return ms(c.Bounds.Restore) / 6 }

// A lost voter is found, suspected and replaced within the time that a new core machine
// has to catch up.
func (c Settings) ProbeEvery() time.Duration {
	return min(ms(c.Bounds.Restore)/60, ms(c.Bounds.CatchUp)/16)
}
func (c Settings) ProbeLimit() time.Duration { return c.ProbeEvery() * 2 / 5 }
func (c Settings) SuspectFor() time.Duration { return c.ProbeEvery() * 5 }

// ClaimAfter is how long a voter has to be free before a newcomer claims it.
func (c Settings) ClaimAfter() time.Duration { return ms(c.Bounds.CatchUp) / 10 }

// HandOverLimit is how long a leaving voter waits for its successor.
func (c Settings) HandOverLimit() time.Duration { return c.Grace() / 4 }
func (c Settings) ForgetAfter() time.Duration   { return ms(c.Bounds.Restore) * 4 }
func (c Settings) JoinEvery() time.Duration     { return ms(c.Bounds.Restore) / 30 }
func (c Settings) SealAfter() time.Duration     { return ms(c.Bounds.UsageLate) * 6 / 10 }
func (c Settings) UsageLate() time.Duration     { return ms(c.Bounds.UsageLate) }
func (c Settings) UsageWindow() time.Duration   { return ms(c.Bounds.UsageWindow) }
func (c Settings) SaveEvery() time.Duration     { return ms(c.Bounds.Sync) / 5 }
func (c Settings) SlowSync() time.Duration      { return ms(c.Bounds.Sync) }

// CountEvery: counts begun at serving proxies are told once a fortieth of their window; a serving proxy's
// death loses no more.
func (c Settings) CountEvery() time.Duration {
	if c.CountsBegun() {
		return c.UsageWindow() / 40
	}
	return ms(c.Bounds.Sync) / 2
}
func (c Settings) ReportEvery() time.Duration    { return ms(c.Bounds.UsageLate) / 20 }
func (c Settings) DigestEvery() time.Duration    { return ms(c.Bounds.ConfigurationInForce) / 10 }
func (c Settings) WriteLimit() time.Duration     { return ms(c.Bounds.ConfigurationInForce) * 2 }
func (c Settings) ConnectionDial() time.Duration { return ms(c.Bounds.Restore) / 60 }
func (c Settings) OutcomeKept() time.Duration {
	return min(ms(c.Limits.Request)*2, ms(c.Bounds.Restore)*8)
}

// AnswerKept is how long a serving proxy keeps whole answers for proxies that lost their connection and
// ask again.
func (c Settings) AnswerKept() time.Duration { return min(c.OutcomeKept(), c.UpdatesEvery()*10) }

func (c Settings) RequestLimit() time.Duration { return ms(c.Limits.Request) }
func (c Settings) WarmSpan() time.Duration     { return ms(c.Bounds.Heartbeat) * 2 / 3 }
func (c Settings) Linger() time.Duration       { return ms(c.Limits.Linger) }
func (c Settings) Grace() time.Duration        { return ms(c.Limits.Grace) }
func (c Settings) RetryWindow() time.Duration  { return ms(c.Bounds.RetryWindow) }
