package checker

import (
	"fmt"
	"hash/fnv"
	"time"
)

// CallerRequest is one request and its outcome as observed by the caller.
type CallerRequest struct {
	ID           string        `json:"id"`
	Proxy        string        `json:"proxy"`
	Route        string        `json:"route"`
	Service      string        `json:"service"`
	Tenant       string        `json:"tenant"`
	Caller       string        `json:"caller"`
	Key          string        `json:"-"`
	Once         bool          `json:"once"`     // must run at most once
	Intended     time.Duration `json:"intended"` // when the load's schedule had it sent
	Sent         time.Duration `json:"sent"`
	Done         time.Duration `json:"done"`
	Status       int           `json:"status"`
	Code         int           `json:"code"`             // error code of an answer that the mesh itself gave; 0: an upstream's answer
	Retry        bool          `json:"retry_after"`      // the answer had a Retry-After header
	Connection   bool          `json:"connection_error"` // no complete answer was received
	Body         string        `json:"body"`
	ResponseMark string        `json:"mark"` // value of the header that identifies the run that answered
}

// Execution is one run of a request at an upstream.
type Execution struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Instance     string        `json:"instance"`
	Address      string        `json:"address"`
	Path         string        `json:"path"`
	Tenant       string        `json:"tenant"`
	Caller       string        `json:"caller"`
	KeySeen      bool          `json:"key_seen"`
	At           time.Duration `json:"at"`
	ResponseSent time.Duration `json:"whole"` // when the answer was sent completely; 0: never
	Answer       string        `json:"answer"`
	Status       int           `json:"status"`
	ResponseMark string        `json:"mark"`
	Incarnation  int64         `json:"incarnation"`
	ServingProxy string        `json:"serving_proxy"` // machine of the serving proxy, where known
}

// Write is an acknowledged version of a configuration, with the routes and keys that it allows. At is
// the time of the acknowledgement.
type Write struct {
	ConfigName string
	Version    int64
	At         time.Duration
	Services   map[string]string // route to service
	Keys       map[string]string // key to tenant
	Digest     string            // of its bytes
}

// Digest returns a short, non-cryptographic hash of a configuration's bytes.
func Digest(body []byte) string {
	hash := fnv.New64a()
	_, _ = hash.Write(body) // a hash never fails
	return fmt.Sprintf("%x", hash.Sum64())
}

// StoredVersion is a version of a configuration as a voter returns it at the end of the run.
type StoredVersion struct {
	Voter      string
	ConfigName string
	Version    int64
	Digest     string
}

// Attempt is one attempt to send a request from a proxy to a serving proxy. Retry is true for every
// attempt but the request's first.
type Attempt struct {
	Service string
	At      time.Duration
	Retry   bool
}

// Activation records that a version of a configuration came into force on a node.
type Activation struct {
	Node       string
	ConfigName string
	Version    int64
	At         time.Duration
}

// Span is a closed interval of time that applies to the node or upstream of that name.
type Span struct {
	Name      string
	From      time.Duration
	To        time.Duration
	StartedAt time.Duration // start of this incarnation of the node; earlier than From if the span begins with a reconnection
}

// Within reports whether one of the machine's spans overlaps the closed interval between two times.
func Within(spans []Span, machine string, from, to time.Duration) bool {
	for _, span := range spans {
		if span.Name == machine && span.From <= to && span.To >= from {
			return true
		}
	}
	return false
}

// Peak is the highest number of requests that an upstream ran concurrently, and its number of slots.
type Peak struct {
	Instance   string
	MaxRunning int
	Slots      int
}

// DrainStart records when an incarnation of an upstream announced that it is draining.
type DrainStart struct {
	Service     string
	Instance    string
	Incarnation int64
	At          time.Duration
}

// Reported is the report of a usage window as the collector received it, or, among Record.StoredUsage,
// as a voter returned it. From is the voter.
type Reported struct {
	Window int64
	From   string
	Counts map[string]int64
	At     time.Duration
	End    time.Duration // end of the window, also since the start of the run
}

// LeaseTenure records that a voter became the holder of a lease, or, among Record.HolderActions, that
// it acted as the holder.
type LeaseTenure struct {
	LeaseName string
	Voter     string
	Epoch     int64
	At        time.Duration
}

// Record is everything observed during a run. Times are relative to the start of the run.
type Record struct {
	Requests         []CallerRequest
	Executions       []Execution
	Writes           []Write
	Activations      []Activation
	Up               []Span // intervals during which a node was running and connected to the core
	Disconnected     []Span // intervals during which a machine was frozen or disconnected
	Peaks            []Peak // highest concurrency of each upstream
	Crashes          []Span // kills of machines and upstreams, which end without a shutdown
	Stopped          []Span // graceful stops of proxies, from the signal to the exit
	UsageLosses      []Span // intervals whose usage counts were lost with a disconnected proxy
	DrainStarts      []DrainStart
	Reported         []Reported
	StoredUsage      []Reported // windows as the voters return them at the end of the run
	Attempts         []Attempt
	StoredVersions   []StoredVersion
	ReadyAsked       int // how often the platform queried the readiness of a node
	RetainedVersions int // number of versions that a voter must retain
	End              time.Duration
	LeaseTenures     []LeaseTenure
	HolderActions    []LeaseTenure // changes made by a holder, with the epoch of its lease
	Window           time.Duration // length of a usage window; 0: usage counts are not checked
	Epoch            time.Duration // Unix time of the start of the run
	Bounds           Bounds
}
