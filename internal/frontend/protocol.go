package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/routeconfig"
)

// Metadata is what a request says of its caller.
type Metadata struct {
	APIKeys         []string      // of tenants; the first one counts
	DelegationToken string        // of a running request, on whose behalf its upstream asks
	CallingService  string        // where callers name theirs
	AttemptName     string        // the caller's own name of this try; "" for none
	Timeout         time.Duration // how long the caller waits; 0: not told
}

// Protocol is how callers speak: where a request says who asks, by which path it is routed, what
// of it must not reach an upstream, and how the mesh's own answers are written. NativeProtocol is
// the product's own; adapters bring others.
type Protocol interface {
	// Metadata reads what a request says of its caller.
	Metadata(request *Request) Metadata

	// RoutingPath returns the path by which the request's route is found.
	RoutingPath(request *Request) (path string, code errcode.Code)

	// PathExposesKey reports whether the path shows a key, which can't be taken out of it.
	PathExposesKey(request *Request, keys []string, configurations []*routeconfig.Configuration) bool

	// Sanitize removes what must not reach an upstream: keys, and what the mesh sets itself.
	Sanitize(request *Request, keys []string, configurations []*routeconfig.Configuration)

	// WriteResponse writes an answer of the mesh's own.
	WriteResponse(out http.ResponseWriter, response *Response)
}
