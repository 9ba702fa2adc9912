// Package settings reads and checks the settings of a process: a JSON file, and flags that override
// it. Everything is checked at start and every fault is listed with its path, so that an operator
// mends a file once and not fault by fault. The section bounds states what the deployment must keep;
// every timer of the programs is a ratio to one of these bounds, and the ratios are in timers.go.
// AdjustBounds fits bounds that leave each other too little room.
package settings

import (
	"strconv"
	"time"

	"beaconvane/internal/routeconfig"
)

// Bounds are what the deployment must keep, in milliseconds unless the name says otherwise.
type Bounds struct {
	ConfigurationInForce int64   `json:"configuration_in_force_ms"`
	KeyWithdrawal        int64   `json:"key_withdrawal_ms"`
	Drain                int64   `json:"drain_ms"`
	RollbackWindow       int64   `json:"slip_back_ms"`
	ResponseDelay        int64   `json:"answer_hold_ms"`
	UsageReportDelay     int64   `json:"usage_late_ms"`
	UsageWindow          int64   `json:"usage_window_ms"`
	HolderCooldown       int64   `json:"holder_rest_ms"`
	Lease                int64   `json:"lease_ms"`    // 0: half of holder_rest_ms
	CatchUp              int64   `json:"catch_up_ms"` // within which a new core machine is a full voter
	Restore              int64   `json:"restore_ms"`
	Heartbeat            int64   `json:"heartbeat_ms"`
	Sync                 int64   `json:"sync_ms"`
	RetryShare           float64 `json:"retry_share"`
	RetryWindow          int64   `json:"retry_window_ms"`
	RetryAllowance       int64   `json:"retry_allowance"`
}

// Tolerated is the loss that leaves a majority of the voters: so many machines, or zones, or regions
// at once.
type Tolerated struct {
	Machines int64 `json:"machines"`
	Zones    int64 `json:"zones"`
	Regions  int64 `json:"regions"`
}

// Limits are the sizes and counts that a process keeps to.
type Limits struct {
	Queue                int64   `json:"queue"`
	Body                 int64   `json:"body_bytes"`
	Response             int64   `json:"answer_bytes"`
	Configuration        int64   `json:"configuration_bytes"`
	ConfigurationEntries int64   `json:"configuration_entries"`
	RetainedVersions     int64   `json:"kept_configurations"`
	Fanout               int64   `json:"fanout"`
	Frame                int64   `json:"frame_bytes"`
	RequestTimeout       int64   `json:"request_ms"`
	Grace                int64   `json:"grace_ms"`
	SpillMargin          float64 `json:"spill_margin"`
	Linger               int64   `json:"linger_ms"`   // how long a process that stops still accepts requests
	Memory               int64   `json:"memory_mb"`   // of the process; 0: not given
	LinkBandwidth        int64   `json:"link_bytes"`  // capacity of the machine's link each way in a second; 0: not given
	Descriptors          int64   `json:"descriptors"` // that the process may have open; 0: not given
}

// How a proxy knows that a request reaches the upstream that it is meant for.
const (
	// ProofConnection: by a connection to the upstream that has been open since its announcement.
	ProofConnection = "connection"
	// ProofTarget: the upstream refuses a request that names another target.
	ProofTarget = "target"
)

// What becomes of unknown fields in configurations.
const (
	FieldsRefuse = "refuse"
	FieldsKeep   = "keep"
)

// Which requests usage counts.
const (
	CountAnswered = "answered"
	CountBegun    = "begun"
)

// Settings are the settings of one process. The JSON keys are the names in the file.
type Settings struct {
	Node             string            `json:"node"`
	Voter            string            `json:"voter"`
	Voters           []string          `json:"voters"`
	VoterCount       int64             `json:"voter_count"` // instead of voter and voters: how many; the processes agree on who they are
	Bootstrap        bool              `json:"found"`       // this start, with an empty disk, may found the group
	NonVoter         bool              `json:"non_voter"`   // this process never holds a voter
	Anchors          []string          `json:"anchors"`     // core addresses, alike on all; the first that may vote is among the founders
	Regions          map[string]string `json:"regions"`     // the region of each zone; default: one for all
	Tolerated        Tolerated         `json:"tolerated"`   // what voters are placed to outlive
	Zone             string            `json:"zone"`
	Zones            []string          `json:"zones"`
	Address          string            `json:"address"`
	HTTPAddress      string            `json:"outside"`
	MetricsAddress   string            `json:"metrics"` // ip:port of the page of the process's own figures; "": none
	Seeds            []string          `json:"seeds"`
	DataDirectory    string            `json:"data"`
	ConfigNames      []string          `json:"configurations"`
	WritePolicy      string            `json:"puts"`   // rising: a lower number is a conflict; highest: it is acknowledged, no change
	Slices           []string          `json:"slices"` // a proxy's: zones whose upstreams it uses; default all
	Collector        string            `json:"collector"`
	PreferredHolders map[string]string `json:"active"`
	LogLevel         int64             `json:"log_level"`
	Service          string            `json:"service"` // a proxy's: the service that calls from its machine; "": callers name theirs
	BeaconAddresses  []string          `json:"beacon"`  // a proxy's: addresses of its own calls, apart from the callers'; default none apart
	TargetProof      string            `json:"proof"`   // of whom a request reaches: "connection" or "target"
	UnknownFields    string            `json:"fields"`  // configurations' fields that are not known: "refuse" or "keep"
	CountedRequests  string            `json:"counted"` // for usage: requests "answered", or "begun" by an upstream
	Bounds           Bounds            `json:"bounds"`
	Limits           Limits            `json:"limits"`

	// Warnings say which bounds the settings leave no room to keep together; they are
	// logged at start.
	Warnings []Warning `json:"-"`
}

// Default returns the values of settings that the file does not give.
func Default() Settings {
	return Settings{
		ConfigNames:      []string{"main"},
		WritePolicy:      WritesRising,
		PreferredHolders: map[string]string{},
		Anchors:          []string{},
		Regions:          map[string]string{},
		TargetProof:      ProofConnection,
		UnknownFields:    FieldsRefuse, CountedRequests: CountAnswered,
		Bounds: Bounds{
			ConfigurationInForce: 2000, KeyWithdrawal: 0, Drain: 2000, RollbackWindow: 250, ResponseDelay: 200,
			UsageReportDelay: 10000, UsageWindow: 5000, HolderCooldown: 3000, CatchUp: 4000, Restore: 15000, Heartbeat: 3000,
			Sync: 50, RetryShare: 0.2, RetryWindow: 10000, RetryAllowance: 10,
		},
		Limits: Limits{
			Queue: 512, Body: 4 << 20, Response: 8 << 20, Configuration: 4 << 20, ConfigurationEntries: 20000, RetainedVersions: 16,
			Fanout: 2, Frame: 16 << 20, RequestTimeout: 5000, Grace: 10000, SpillMargin: 0.25,
		},
	}
}

// Leases are named by tags: one for each zone, and these two.
const (
	UsageLease     = "usage"      // of the registry that reports usage
	ConfigLogLease = "config-log" // of the configuration store that commits configurations
)

// What a configuration store answers to a write whose version is not above the current one.
const (
	WritesRising  = "rising"  // a conflict
	WritesHighest = "highest" // an acknowledgement that changes nothing
)

// VoterNames returns the names of voters where the settings give only their count.
func VoterNames(count int64) []string {
	names := []string{}
	for number := range count {
		names = append(names, strconv.FormatInt(number+1, 10))
	}
	return names
}

// Subscribed returns the zones whose slices of the roster a proxy follows.
func (c Settings) Subscribed() []string {
	if len(c.Slices) == 0 {
		return c.Zones
	}
	return c.Slices
}

// ProofByTarget reports whether upstreams themselves refuse a request that names another target.
func (c Settings) ProofByTarget() bool { return c.TargetProof == ProofTarget }

// CountsBegun reports whether usage counts requests that upstreams began, instead of answered ones.
func (c Settings) CountsBegun() bool { return c.CountedRequests == CountBegun }

// ConfigurationLimits returns the limits that every reader of configurations applies.
func (c Settings) ConfigurationLimits() routeconfig.Limits {
	return routeconfig.Limits{
		MaxBytes:   c.Limits.Configuration,
		MaxEntries: c.Limits.ConfigurationEntries,
		MaxTimeout: c.RequestTimeout(),
		Lenient:    c.UnknownFields == FieldsKeep,
	}
}

func ms(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
