// Package settings reads and checks the settings of a process: a JSON file, and command-line flags that
// override it. Everything is checked at start, and every fault is listed with its path, so that an
// operator can correct a file in one pass. The section bounds states the guarantees of the deployment.
// Every timer of the programs is derived from one of these bounds by a fixed ratio (see timers.go).
// AdjustBounds adapts bounds that cannot be kept together.
package settings

import (
	"strconv"
	"time"

	"beaconvane/internal/routeconfig"
)

// Bounds are the guarantees of the deployment, in milliseconds except for RetryShare and RetryAllowance.
type Bounds struct {
	// ConfigurationInForce is the time from the acknowledgement of a configuration until every proxy applies it.
	ConfigurationInForce int64 `json:"configuration_in_force_ms"`
	// KeyWithdrawal is how long a key may still work after its withdrawal was acknowledged; 0: no bound.
	KeyWithdrawal int64 `json:"key_withdrawal_ms"`
	// Drain is how long an upstream that drains may still be given new requests.
	Drain int64 `json:"drain_ms"`
	// RollbackWindow is how long an older version may still be applied after a newer one came into force.
	RollbackWindow int64 `json:"slip_back_ms"`
	// ResponseDelay is how long a proxy may delay a complete response on its way to the caller.
	ResponseDelay int64 `json:"answer_hold_ms"`
	// UsageReportDelay is the time from the end of a usage window until its report is due.
	UsageReportDelay int64 `json:"usage_late_ms"`
	// UsageWindow is the length of a usage window.
	UsageWindow int64 `json:"usage_window_ms"`
	// HolderCooldown is the minimum time before a lease may return to a former holder.
	HolderCooldown int64 `json:"holder_rest_ms"`
	// Lease is how long a voter grants a lease; 0: half of HolderCooldown.
	Lease int64 `json:"lease_ms"`
	// CatchUp is the time within which a new core machine becomes a full voter.
	CatchUp int64 `json:"catch_up_ms"`
	// Restore is the time within which service is restored after the loss of all machines.
	Restore int64 `json:"restore_ms"`
	// Heartbeat is how long an upstream counts as alive after a heartbeat.
	Heartbeat int64 `json:"heartbeat_ms"`
	// Sync is the longest time that a disk is expected to take for a sync.
	Sync int64 `json:"sync_ms"`
	// Adoption is how long after its start a proxy may pass requests to an upstream that has announced itself to an
	// earlier run only; 0: it waits for an announcement. What the earlier run acknowledged may be forgotten.
	Adoption int64 `json:"adoption_ms"`
	// RetryShare is the number of retries allowed for each first attempt within RetryWindow, from 0 to below 1.
	RetryShare float64 `json:"retry_share"`
	// RetryWindow is the period over which retries are counted.
	RetryWindow int64 `json:"retry_window_ms"`
	// RetryAllowance is the number of retries that all proxies together may add to RetryShare within RetryWindow.
	RetryAllowance int64 `json:"retry_allowance"`
}

// Tolerated is the largest simultaneous loss of machines, zones or regions after which a majority of the
// voters must be left.
type Tolerated struct {
	Machines int64 `json:"machines"`
	Zones    int64 `json:"zones"`
	Regions  int64 `json:"regions"`
}

// Limits are the sizes and counts to which a process is limited.
type Limits struct {
	// Queue is the capacity of a queue: requests in flight at a proxy, pending writes of a configuration
	// store, and frames that wait for a peer.
	Queue int64 `json:"queue"`
	// Body is the largest request body, in bytes.
	Body int64 `json:"body_bytes"`
	// Response is the largest response body of an upstream, in bytes.
	Response int64 `json:"answer_bytes"`
	// Configuration is the largest configuration, in bytes.
	Configuration int64 `json:"configuration_bytes"`
	// ConfigurationEntries is the largest number of services, tenants, keys and routes in a configuration.
	ConfigurationEntries int64 `json:"configuration_entries"`
	// ConfigurationValues is the largest number of values and field names at all levels of a configuration.
	ConfigurationValues int64 `json:"configuration_values"`
	// ConfigurationDepth is the deepest nesting of objects and lists in a configuration.
	ConfigurationDepth int64 `json:"configuration_depth"`
	// RetainedVersions is how many versions of each configuration a configuration store keeps.
	RetainedVersions int64 `json:"kept_configurations"`
	// Fanout is the number of children to which a process distributes updates.
	Fanout int64 `json:"fanout"`
	// Frame is the largest frame between processes, in bytes.
	Frame int64 `json:"frame_bytes"`
	// RequestTimeout is the longest time that a request may take, in milliseconds.
	RequestTimeout int64 `json:"request_ms"`
	// Grace is how long a process may take to stop, in milliseconds.
	Grace int64 `json:"grace_ms"`
	// SpillMargin is the relative cost that is added to an upstream in another zone when a proxy selects one.
	SpillMargin float64 `json:"spill_margin"`
	// Linger is how long a process that stops still accepts requests, in milliseconds.
	Linger int64 `json:"linger_ms"`
	// Memory is the memory available to the process, in MiB; 0: not given.
	Memory int64 `json:"memory_mb"`
	// LinkBandwidth is the capacity of the machine's link in each direction, in bytes per second; 0: not given.
	LinkBandwidth int64 `json:"link_bytes"`
	// Descriptors is the number of file descriptors that the process may have open; 0: not given.
	Descriptors int64 `json:"descriptors"`
}

// Values of Settings.TargetProof: how a proxy verifies that a request reaches the intended upstream.
const (
	// ProofConnection sends requests over a connection that has been open since the upstream's announcement.
	ProofConnection = "connection"
	// ProofTarget relies on upstreams that refuse a request which names another target.
	ProofTarget = "target"
)

// Values of Settings.UnknownFields: how unknown fields in configurations are handled.
const (
	FieldsRefuse = "refuse"
	FieldsKeep   = "keep"
)

// Values of Settings.CountedRequests: which requests are counted as usage.
const (
	CountAnswered = "answered"
	CountBegun    = "begun"
)

// Settings are the settings of one process. The JSON tags are the keys of the settings file.
type Settings struct {
	// Node is the name of the process.
	Node string `json:"node"`
	// Voter is the name under which the process votes, one of Voters.
	Voter string `json:"voter"`
	// Voters are the names of all voters.
	Voters []string `json:"voters"`
	// VoterCount is the number of voters. It replaces Voter and Voters: the processes agree on which of them vote.
	VoterCount int64 `json:"voter_count"`
	// Bootstrap allows this start, with an empty disk, to found the group. It is valid with VoterCount only.
	Bootstrap bool `json:"found"`
	// NonVoter excludes this process from voting.
	NonVoter bool `json:"non_voter"`
	// Anchors are addresses of core processes, the same list on all. The first one that may vote is a founder.
	Anchors []string `json:"anchors"`
	// Regions maps each zone to its region; by default all zones are in one region.
	Regions map[string]string `json:"regions"`
	// Tolerated is the loss that the placement of voters must survive.
	Tolerated Tolerated `json:"tolerated"`
	// Zone is the zone of the process, one of Zones.
	Zone string `json:"zone"`
	// Zones are the names of all zones.
	Zones []string `json:"zones"`
	// Address is the ip:port for connections between processes.
	Address string `json:"address"`
	// HTTPAddress is the ip:port for HTTP; a configuration store may have none.
	HTTPAddress string `json:"outside"`
	// MetricsAddress is the ip:port for the metrics of the process; "": none.
	MetricsAddress string `json:"metrics"`
	// Seeds are the addresses that a process without peers contacts to join the mesh.
	Seeds []string `json:"seeds"`
	// DataDirectory is the directory for stored state; proxies need none.
	DataDirectory string `json:"data"`
	// ConfigNames are the names of the configurations.
	ConfigNames []string `json:"configurations"`
	// WritePolicy is WritesRising or WritesHighest.
	WritePolicy string `json:"puts"`
	// Slices are the zones whose upstreams a proxy uses; default: all.
	Slices []string `json:"slices"`
	// Collector is the URL to which usage reports are sent; "": none.
	Collector string `json:"collector"`
	// PreferredHolders maps the tag of a lease to the voter that preferably holds it.
	PreferredHolders map[string]string `json:"active"`
	// LogLevel is the verbosity of the log.
	LogLevel int64 `json:"log_level"`
	// Service is the service that calls a proxy from its machine; "": callers give their own names.
	Service string `json:"service"`
	// BeaconAddresses are a proxy's addresses for its own API. Callers then have HTTPAddress to themselves;
	// by default HTTPAddress serves both.
	BeaconAddresses []string `json:"beacon"`
	// TargetProof is ProofConnection or ProofTarget.
	TargetProof string `json:"proof"`
	// UnknownFields is FieldsRefuse or FieldsKeep.
	UnknownFields string `json:"fields"`
	// CountedRequests is CountAnswered, or CountBegun for requests that an upstream began.
	CountedRequests string `json:"counted"`
	// Bounds are the guarantees of the deployment.
	Bounds Bounds `json:"bounds"`
	// Limits are the sizes and counts to which the process is limited.
	Limits Limits `json:"limits"`

	// Warnings list the bounds that cannot be kept together. They are logged at start.
	Warnings []Warning `json:"-"`
}

// Default returns the settings that apply where the file gives no value.
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
			Sync: 50, Adoption: 2000, RetryShare: 0.2, RetryWindow: 10000, RetryAllowance: 10,
		},
		Limits: Limits{
			Queue: 512, Body: 4 << 20, Response: 8 << 20, Configuration: 4 << 20, ConfigurationEntries: 20000,
			ConfigurationValues: 800000, ConfigurationDepth: 32, RetainedVersions: 16,
			Fanout: 2, Frame: 16 << 20, RequestTimeout: 5000, Grace: 10000, SpillMargin: 0.25,
		},
	}
}

// Tags of leases. Besides these two, each zone has a lease, whose tag is the zone's name.
const (
	UsageLease     = "usage"      // held by the registry that reports usage
	ConfigLogLease = "config-log" // held by the configuration store that commits configurations
)

// Values of Settings.WritePolicy: how a configuration store responds to a write whose version is not above the
// current one.
const (
	WritesRising  = "rising"  // with a conflict
	WritesHighest = "highest" // with an acknowledgement; nothing is changed
)

// VoterNames returns the names of the voters, "1" to count, for settings that give only the count.
func VoterNames(count int64) []string {
	names := []string{}
	for number := range count {
		names = append(names, strconv.FormatInt(number+1, 10))
	}
	return names
}

// Subscribed returns the zones whose slices of the roster a proxy subscribes to.
func (c Settings) Subscribed() []string {
	if len(c.Slices) == 0 {
		return c.Zones
	}
	return c.Slices
}

// ProofByTarget reports whether the proxy relies on upstreams to refuse a request that names another target.
func (c Settings) ProofByTarget() bool { return c.TargetProof == ProofTarget }

// CountsBegun reports whether requests count as usage once an upstream began them, and not once they are answered.
func (c Settings) CountsBegun() bool { return c.CountedRequests == CountBegun }

// ConfigurationLimits returns the limits that apply wherever a configuration is checked or parsed.
func (c Settings) ConfigurationLimits() routeconfig.Limits {
	return routeconfig.Limits{
		MaxBytes:   c.Limits.Configuration,
		MaxEntries: c.Limits.ConfigurationEntries,
		MaxValues:  c.Limits.ConfigurationValues,
		MaxDepth:   c.Limits.ConfigurationDepth,
		MaxTimeout: c.RequestTimeout(),
		Lenient:    c.UnknownFields == FieldsKeep,
	}
}

// milliseconds returns a duration given in milliseconds.
func milliseconds(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
