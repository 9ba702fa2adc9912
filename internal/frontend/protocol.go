package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/routeconfig"
)

// Metadata is the information about the caller that a request carries.
type Metadata struct {
	APIKeys         []string      // of tenants; the first one authenticates the request
	DelegationToken string        // identifies the running request on whose behalf its upstream calls
	CallingService  string        // as named by the caller; "" if not named
	AttemptName     string        // the caller's name for this attempt; "" for none
	Timeout         time.Duration // how long the caller waits; 0 if unknown
}

// Protocol defines how callers identify themselves, the path by which a request is routed, which
// data of a request must not reach an upstream, and the form of the mesh's own answers.
// NativeProtocol is the default; adapters implement others.
type Protocol interface {
	// Metadata reads the caller's information from a request.
	Metadata(request *Request) Metadata

	// RoutingPath returns the path by which the request's route is found.
	RoutingPath(request *Request) (path string, code errcode.Code)

	// PathExposesKey reports whether the path contains a key, which Sanitize can't remove from it.
	PathExposesKey(request *Request, keys []string, configurations []*routeconfig.Configuration) bool

	// Sanitize removes what must not reach an upstream: keys, and headers that the mesh sets.
	Sanitize(request *Request, keys []string, configurations []*routeconfig.Configuration)

	// WriteResponse writes an answer that the mesh generated.
	WriteResponse(out http.ResponseWriter, response *Response)
}
