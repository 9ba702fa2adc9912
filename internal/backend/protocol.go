package backend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// ResponseMetadata is the information in a response head besides its status.
type ResponseMetadata struct {
	OtherRequest     bool          // it answers another request; the response to this one may follow
	Refusal          errcode.Code  // reason for which the upstream did not run the request; OK if it did not refuse
	Corrupt          bool          // it is not a complete response of the expected upstream
	AmbiguousRefusal bool          // its status suggests that nothing ran, but no header confirms it
	HasLoad          bool          // the response reports the load
	Load             [3]int64      // running, waiting, slots
	KeepAlive        time.Duration // idle time that the upstream allows; 0 if not sent
}

// Protocol defines the headers exchanged with upstreams: those that the mesh sets in requests, and the
// meaning of a response head. NativeProtocol is the default; adapters implement others.
type Protocol interface {
	// SetHeaders sets the headers of the mesh in a request. remaining is the time until its deadline.
	SetHeaders(header http.Header, forward message.Forward, target Target, remaining time.Duration)

	// Interpret evaluates the head of a response received while the response to forward is awaited.
	Interpret(response *http.Response, forward message.Forward, target Target) ResponseMetadata
}

// RequestNamer is implemented by a Protocol in which every response names the request that it answers.
// A response without a name then belongs to no request.
type RequestNamer interface {
	// RequestName returns the name of the request that a response answers, or "" if it has none.
	RequestName(response *http.Response) string
}

// NativeProtocol is the default protocol towards upstreams (docs/operators/requests.md).
type NativeProtocol struct{}

// SetHeaders sets the tenant, the calling service, the delegation token and the request id.
func (NativeProtocol) SetHeaders(header http.Header, forward message.Forward, target Target, _ time.Duration) {
	header.Set(TenantHeader, forward.Tenant)
	header.Set(CallerHeader, forward.Caller)
	header.Set(DelegationHeader, target.DelegationToken)
	header.Set(RequestHeader, forward.ID)
}

// Interpret returns empty metadata: only the status of a native response has a meaning.
func (NativeProtocol) Interpret(*http.Response, message.Forward, Target) ResponseMetadata {
	return ResponseMetadata{}
}
