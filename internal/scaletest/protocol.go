package scaletest

import (
	"time"

	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

// Part is one node of a hollow fleet.
type Part struct {
	Role     string            `json:"role"`
	Settings settings.Settings `json:"config"`
	Service  string            `json:"service"` // of the one upstream beside a proxy
	Tenants  int               `json:"tenants"` // whose requests a proxy counts, each round
}

// Command is what a hollow fleet can be asked to do.
type Command string

// Commands of a hollow fleet.
const (
	CommandRead    Command = "read"    // what was spent and passed
	CommandWeigh   Command = "weigh"   // memory in use, after a collection
	CommandState   Command = "state"   // what the proxies know
	CommandReached Command = "reached" // where each version is in force
	CommandWrite   Command = "write"   // write a configuration, at a registry
	CommandKill    Command = "end"     // end one node as a kill does
	CommandStart   Command = "begin"   // start it again
)

// Request is one question to a hollow fleet.
type Request struct {
	Command Command `json:"command"`
	Index   int     `json:"index"` // of the node, for CommandWrite, CommandEnd and CommandBegin
	Version int64   `json:"version"`
	Body    []byte  `json:"body"`
}

// Reading is what a hollow fleet has spent and passed since it began; all but the memory only
// grows.
type Reading struct {
	At        time.Duration     `json:"at"`
	Processor time.Duration     `json:"processor"`
	Resident  int64             `json:"resident"` // bytes
	Live      int64             `json:"live"`     // bytes of heap in use after a collection, and of stacks
	Counts    []transport.Count `json:"counts"`
	Node      map[string]int64  `json:"node"` // sums of the nodes' own counters
}

// State is what the proxies of a hollow fleet know: of counts the least of any proxy.
type State struct {
	Ready     int             `json:"ready"`
	Upstreams int             `json:"upstreams"`
	Proxies   int             `json:"proxies"`
	Depth     int             `json:"depth"` // relays on the longest path of updates
	MeanDepth float64         `json:"mean_depth"`
	Age       int64           `json:"age_ms"`  // of the stalest topic of any proxy
	Moves     int64           `json:"moves"`   // changes of parent, all proxies
	Reached   map[int64]int   `json:"reached"` // proxies by version
	LastAt    map[int64]int64 `json:"last_at"` // unix nanoseconds, by version
}

// Answer is a hollow fleet's response; Fault is empty where all went well.
type Answer struct {
	Reading *Reading `json:"reading,omitempty"`
	State   *State   `json:"state,omitempty"`
	Fault   string   `json:"fault,omitempty"`
}
