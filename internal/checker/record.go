package checker

import (
	"fmt"
	"hash/fnv"
	"time"
)

// CallerRequest is one request as its caller saw it.
type CallerRequest struct {
	ID           string        `json:"id"`
	Proxy        string        `json:"proxy"`
	Route        string        `json:"route"`
	Service      string        `json:"service"`
	Tenant       string        `json:"tenant"`
	Caller       string        `json:"caller"`
	Key          string        `json:"-"`
	Once         bool          `json:"once"`     // must not run twice
	Intended     time.Duration `json:"intended"` // when the load's schedule wanted it sent
	Sent         time.Duration `json:"sent"`
	Done         time.Duration `json:"done"`
	Status       int           `json:"status"`
	Code         int           `json:"code"`             // of the mesh, where the answer is its own; 0: an upstream's answer
	Retry        bool          `json:"retry_after"`      // the answer had a Retry-After header
	Connection   bool          `json:"connection_error"` // no answer at all
	Body         string        `json:"body"`
	ResponseMark string        `json:"mark"` // the header by which an upstream marks its answer
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

// Write is an acknowledged version of a configuration: what it allows from then on.
type Write struct {
	ConfigName string
	Version    int64
	At         time.Duration
	Services   map[string]string // route to service
	Keys       map[string]string // key to tenant
	Digest     string            // of its bytes
}

// Digest returns a short hash by which bytes are compared.
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

// Attempt is one attempt to send a request from a proxy to a serving proxy; Retry says that it was
// not the request's first.
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

// Span is an interval of time of a node or upstream, both ends included.
type Span struct {
	Name      string
	From      time.Duration
	To        time.Duration
	StartedAt time.Duration // when this incarnation of the node began, before From after a cut
}

// Within reports whether a machine has a span that touches the interval from one time to another.
func Within(spans []Span, machine string, from, to time.Duration) bool {
	for _, span := range spans {
		if span.Name == machine && span.From <= to && span.To >= from {
			return true
		}
	}
	return false
}

// Peak is the highest number of requests that an upstream ran at one time, and its slots.
type Peak struct {
	Instance   string
	MaxRunning int
	Slots      int
}

// DrainStart records that an upstream announced that it is draining; Incarnation is its incarnation.
type DrainStart struct {
	Service     string
	Instance    string
	Incarnation int64
	At          time.Duration
}

// Reported is a usage window as the collector got it.
type Reported struct {
	Window int64
	From   string
	Counts map[string]int64
	At     time.Duration
	End    time.Duration // end of the window on the same clock
}

// LeaseTenure records that a voter became the holder of a lease, or, among Record.HolderActions, that it acted as
// the holder. LeaseName is the name of the lease.
type LeaseTenure struct {
	LeaseName string
	Voter     string
	Epoch     int64
	At        time.Duration
}

// Record is all that a run left behind. Times are since the start of the run.
type Record struct {
	Requests         []CallerRequest
	Executions       []Execution
	Writes           []Write
	Activations      []Activation
	Up               []Span // nodes running and connected to the core, by name
	Disconnected     []Span // machines frozen or cut off, by name
	Peaks            []Peak // the most that ran at one time, by upstream
	Crashes          []Span // hard ends of machines and upstreams, by name
	Stopped          []Span // polite stops of proxies, from the signal to the exit
	UsageLosses      []Span // intervals whose usage counts were lost with a proxy that was cut off
	DrainStarts      []DrainStart
	Reported         []Reported
	StoredUsage      []Reported // windows as the voters give them back
	Attempts         []Attempt
	StoredVersions   []StoredVersion
	ReadyAsked       int // how often the platform checked the readiness of a node
	RetainedVersions int // how many versions a voter must keep
	End              time.Duration
	LeaseTenures     []LeaseTenure
	HolderActions    []LeaseTenure // changes made by a holder, with the epoch
	Window           time.Duration // length of a usage window; 0: counts are not checked
	Epoch            time.Duration // time of day at time 0
	Bounds           Bounds
}
