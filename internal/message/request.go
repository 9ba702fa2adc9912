package message

import "strings"

// HeaderLine is one header field.
type HeaderLine struct {
	Name  string
	Value string
}

// Forward carries one attempt of a caller's request from the caller's proxy to the serving proxy, which
// runs beside the upstream. Each attempt of a request has its own Forward.
type Forward struct {
	ID                     string // identifies the attempt
	Proxy                  string // member name of the sending proxy
	ServingProxyStartTime  int64  // start time of the serving proxy's run to which the attempt is addressed
	ConfigName             string
	Version                int64 // version of the configuration by which the sender routed the request
	Route                  string
	Service                string
	Instance               string
	Incarnation            int64
	Tenant                 string
	Caller                 string
	Method                 string
	Path                   string // with a "?" at its end if the query is empty but present
	RawQuery               string
	Headers                []HeaderLine
	Body                   []byte
	Remaining              int64 // nanoseconds until the deadline
	MaxResponseBytes       int64 // limit of the response body
	Host                   string
	AttemptName            string // name that the caller gave this attempt; may be empty
	Priority               int64  // 0 is the highest priority
	LatencyTargetRemaining int64  // nanoseconds until the route's latency target is exceeded; 0 if there is none
	AtMostOnce             bool   // the request must not be executed twice
	Retried                bool   // an earlier attempt of the request reached an upstream or may have reached one
}

// emptyQuery stands at the end of Forward.Path for a query that is empty but present.
const emptyQuery = "?"

// SetTarget sets the path and the query. hasQuery tells an empty query from none.
func (f *Forward) SetTarget(path, rawQuery string, hasQuery bool) {
	f.Path, f.RawQuery = path, rawQuery
	if hasQuery && rawQuery == "" {
		f.Path += emptyQuery
	}
}

// RoutingPath returns the path without its query.
func (f Forward) RoutingPath() string { return strings.TrimSuffix(f.Path, emptyQuery) }

// Target returns the path and the query as they stand in the first line of the request.
func (f Forward) Target() string {
	if f.RawQuery == "" {
		return f.Path
	}
	return f.Path + emptyQuery + f.RawQuery
}

// Outcome answers a Forward or an OutcomeRequest.
type Outcome struct {
	ID              string
	Kind            int64 // NotStarted, Completed, OutcomeUnknown or StillRunning
	Code            int64 // errcode.Code
	Status          int64 // HTTP status of the upstream's response
	Headers         []HeaderLine
	Body            []byte
	Outstanding     int64   // running and queued requests of the upstream at the serving proxy
	Slots           int64   // number of requests that the upstream runs concurrently
	Load            float64 // load that the upstream reported
	RetryAfter      int64   // unused; kept for the frame format
	ResponseAge     int64   // unused; kept for the frame format
	ServiceTime     int64   // nanoseconds from the start at the upstream to its complete response
	ReachedUpstream bool    // the request reached an upstream, which may have refused it
}

// OutcomeRequest asks for the outcome of an attempt after the connection that carried it was lost.
type OutcomeRequest struct {
	ID                    string
	ServingProxyStartTime int64
}

// Cancel notifies the serving proxy that the result of an attempt is no longer needed.
type Cancel struct {
	ID string
}

// Kinds of outcome, as sent in Outcome.Kind.
const (
	// NotStarted means that the upstream has not started the request, so that another upstream may be tried.
	NotStarted int64 = 1
	// Completed means that the outcome holds the upstream's complete response.
	Completed int64 = 2
	// OutcomeUnknown means that the upstream may have executed the request and that there is no complete response.
	OutcomeUnknown int64 = 3
	// StillRunning means that the upstream has not responded yet.
	StillRunning int64 = 4
)
