package scaletest

import (
	"time"

	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

// NodeSpec is the specification of one node of a hollow fleet.
type NodeSpec struct {
	Role     string            `json:"role"`
	Settings settings.Settings `json:"config"`
	Service  string            `json:"service"` // service of the upstream that a proxy announces
	Tenants  int               `json:"tenants"` // number of tenants in a proxy's usage reports; 0: it reports no usage
}

// Command is the operation of a Request.
type Command string

// Commands.
const (
	CommandRead     Command = "read"    // return processor time and the counts of messages
	CommandMemory   Command = "weigh"   // return the memory in use after a garbage collection
	CommandState    Command = "state"   // return the state of the proxies
	CommandArrivals Command = "reached" // return on how many proxies each version is in force
	CommandWrite    Command = "write"   // write a configuration through a registry
	CommandKill     Command = "end"     // stop one node without a shutdown, as SIGKILL would
	CommandStart    Command = "begin"   // restart a killed node
)

// Request is one request to a hollow fleet.
type Request struct {
	Command Command `json:"command"`
	Index   int     `json:"index"` // index of the node, for CommandWrite, CommandKill and CommandStart
	Version int64   `json:"version"`
	Body    []byte  `json:"body"`
}

// Reading holds the resource usage and the counters of a hollow fleet since its start. All values but
// those of the memory are cumulative.
type Reading struct {
	At        time.Duration     `json:"at"`
	Processor time.Duration     `json:"processor"`
	Resident  int64             `json:"resident"` // bytes
	Live      int64             `json:"live"`     // bytes of heap in use after a garbage collection, and of stacks
	Counts    []transport.Count `json:"counts"`
	Node      map[string]int64  `json:"node"` // sums of the nodes' counters, by name
}

// State is the combined state of the proxies of a hollow fleet. Upstreams and Proxies are the lowest
// numbers that any proxy has in its snapshot.
type State struct {
	Ready         int             `json:"ready"` // number of proxies that are ready
	Upstreams     int             `json:"upstreams"`
	Proxies       int             `json:"proxies"`
	Depth         int             `json:"depth"` // relays on the longest distribution path
	MeanDepth     float64         `json:"mean_depth"`
	MaxAgeMS      int64           `json:"age_ms"`  // highest age of a topic at any proxy
	ParentChanges int64           `json:"moves"`   // changes of parent, summed over all proxies
	ProxyCounts   map[int64]int   `json:"reached"` // number of proxies on which a version is in force, by version
	LastArrivals  map[int64]int64 `json:"last_at"` // when a version last came into force on a proxy, in Unix nanoseconds, by version
}

// Answer is the response to a Request. Fault is the error text, empty on success.
type Answer struct {
	Reading *Reading `json:"reading,omitempty"`
	State   *State   `json:"state,omitempty"`
	Fault   string   `json:"fault,omitempty"`
}
