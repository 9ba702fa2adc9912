package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
)

// Request is one caller's request, with what each step has found out about it.
type Request struct {
	ID        string
	Method    string
	RawPath   string
	RawQuery  string
	Header    http.Header
	Host      string
	Body      []byte
	ArrivedAt time.Duration // when its first byte came; 0: not known
	Deadline  time.Duration

	// Found at admission.
	Path          string
	AttemptName   string // the caller's own name of this try; "" for none
	Priority      int64
	Configuration *routeconfig.Configuration
	Route         routeconfig.Route
	Tenant        string
	Caller        string // the calling service
	countedOpen   bool   // for the usage report

	// The state of its attempts.
	Service          string // the one that the route's split fell on
	Tried            map[string]bool
	Attempts         int   // made so far
	UpstreamAttempts int64 // of these, those that reached an upstream, or may have
	MayHaveRun       bool  // by one of these attempts; never taken back
	Target           message.Registration
	selectedAt       time.Duration // when the target was selected
}

// nested reports whether the upstream of a running request makes this one. Refusing it, even
// where it is too late for its own aim, would waste the work of the running one.
func (r *Request) nested() bool {
	return r.Tenant == "" && r.Configuration != nil && !r.Configuration.Keyless()
}

// startedAt is when the request's time began: with its first byte, where that is known.
func (r *Request) startedAt(now time.Duration) time.Duration {
	if r.ArrivedAt > 0 {
		return r.ArrivedAt
	}
	return now
}

// callerTimeout is how long a caller waits at most, before its route's own deadline is known.
func (f *Frontend) callerTimeout(request *Request) time.Duration {
	limit := f.settings.RequestTimeout()
	if timeout := f.protocol.Metadata(request).Timeout; timeout > 0 {
		limit = min(limit, timeout)
	}
	return limit
}

// startupGrace is how long a request may wait for the first snapshot of a proxy that has only
// just started.
func (f *Frontend) startupGrace(request *Request) time.Duration {
	if f.settings.ProofByTarget() {
		return min(f.settings.UpdatesEvery()*4, f.callerTimeout(request)/2)
	}
	return f.settings.UpdatesEvery() * 2
}
