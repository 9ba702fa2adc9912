package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
)

// Request is a caller's request and the state that the processing steps keep for it.
type Request struct {
	ID        string
	Method    string
	RawPath   string
	RawQuery  string
	HasQuery  bool // tells an empty query from none
	Header    http.Header
	Host      string
	Body      []byte
	ArrivedAt time.Duration // when the first byte was received; 0 if unknown
	Deadline  time.Duration

	// Set at admission.
	Path          string
	AttemptName   string // the caller's name for this attempt; "" for none
	Priority      int64
	Configuration *routeconfig.Configuration
	Route         routeconfig.Route
	Tenant        string
	Caller        string // the calling service
	countedOpen   bool   // included in Frontend.openRequests

	// The state of the attempts.
	Service          string          // picked from the route's traffic split
	Tried            map[string]bool // by upstreamKey
	Attempts         int             // made so far
	UpstreamAttempts int64           // those of Attempts that reached an upstream, or may have
	MayHaveRun       bool            // an attempt ran or may have run; never reset
	Target           message.Registration
	selectedAt       time.Duration // when Target was selected
}

// nested reports whether the upstream of a running request made this request. Refusing it, even if
// it misses its latency target, would waste the work of the running request.
func (r *Request) nested() bool {
	return r.Tenant == "" && r.Configuration != nil && !r.Configuration.Keyless()
}

// startedAt returns the time from which the request's timeout counts: the arrival of its first
// byte, or now if that is unknown.
func (r *Request) startedAt(now time.Duration) time.Duration {
	if r.ArrivedAt > 0 {
		return r.ArrivedAt
	}
	return now
}

// callerTimeout returns the maximum time that a request may take. It applies until the route's
// timeout is known.
func (f *Frontend) callerTimeout(request *Request) time.Duration {
	limit := f.settings.RequestTimeout()
	if timeout := f.protocol.Metadata(request).Timeout; timeout > 0 {
		limit = min(limit, timeout)
	}
	return limit
}

// routeTimeout returns the timeout of the route that the request will have, as far as it is known before the request
// is admitted; maxBodyTime if there is none.
func (f *Frontend) routeTimeout(request *Request) time.Duration {
	snapshot := f.currentSnapshot()
	path, code := f.protocol.RoutingPath(request)
	if snapshot == nil || code != errcode.OK {
		return maxBodyTime
	}
	for _, configuration := range snapshot.Configurations {
		if route, found := configuration.MatchHost(request.Host, request.Method, path); found {
			return route.Timeout
		}
	}
	return maxBodyTime
}

// startupGrace returns how long a request may wait for the first complete snapshot after this proxy
// has started.
func (f *Frontend) startupGrace(request *Request) time.Duration {
	if f.settings.ProofByTarget() {
		return min(f.settings.UpdatesEvery()*4, f.callerTimeout(request)/2)
	}
	return f.settings.UpdatesEvery() * 2
}
