package message

// HeaderLine is one header field.
type HeaderLine struct {
	Name  string
	Value string
}

// Forward carries a caller's request from its proxy to the serving proxy, the one beside the upstream.
// Each attempt of a request is a Forward of its own.
type Forward struct {
	ID                     string // of this attempt
	Proxy                  string
	ServingProxyStartTime  int64 // names the run of the serving proxy that is meant
	ConfigName             string
	Version                int64
	Route                  string
	Service                string
	Instance               string
	Incarnation            int64
	Tenant                 string
	Caller                 string
	Method                 string
	Path                   string
	RawQuery               string
	Headers                []HeaderLine
	Body                   []byte
	Remaining              int64 // nanoseconds until the deadline
	MaxResponseBytes       int64 // of the response's body
	Host                   string
	AttemptName            string // the caller's own name of this attempt
	Priority               int64  // 0 goes first
	LatencyTargetRemaining int64  // nanoseconds left of the route's latency target; 0: not told
	AtMostOnce             bool   // must not run twice
	Retried                bool   // an upstream was offered the request before
}

// Outcome answers a Forward or an OutcomeRequest.
type Outcome struct {
	ID              string
	Kind            int64 // NotStarted, Completed, OutcomeUnknown or StillRunning
	Code            int64 // errcode.Code
	Status          int64 // HTTP status of the upstream's answer
	Headers         []HeaderLine
	Body            []byte
	Outstanding     int64   // requests at the upstream
	Slots           int64   // of the upstream
	Load            float64 // that the upstream announced
	RetryAfter      int64   // nanoseconds
	ResponseAge     int64   // nanoseconds since the response was complete at the serving proxy
	ServiceTime     int64   // nanoseconds from the start at the upstream to its complete response
	ReachedUpstream bool    // an upstream has seen the request, though it may have refused it
}

// OutcomeRequest asks again for the outcome of an attempt whose connection was lost.
type OutcomeRequest struct {
	ID                    string
	ServingProxyStartTime int64
}

// Cancel tells the serving proxy that nobody waits for an attempt any more.
type Cancel struct {
	ID string
}

// Kinds of outcome, as Outcome.Kind carries them.
const (
	// NotStarted means that the upstream has not begun with the request, which may be tried elsewhere.
	NotStarted int64 = 1
	// Completed means that the upstream's complete response is here.
	Completed int64 = 2
	// OutcomeUnknown means that the upstream may have run the request and there is no complete response.
	OutcomeUnknown int64 = 3
	// StillRunning means that the upstream has not responded yet.
	StillRunning int64 = 4
)
