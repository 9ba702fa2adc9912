package backend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// ResponseMetadata is what an answer's head says besides its status.
type ResponseMetadata struct {
	OtherRequest     bool          // it answers another request; this one's comes behind it
	Refusal          errcode.Code  // not OK: the upstream did not begin, and why
	Corrupt          bool          // it is not the upstream's own whole answer
	AmbiguousRefusal bool          // its status promises that nothing ran, without the word that says so
	HasLoad          bool          // the upstream told its load
	Load             [3]int64      // running, waiting, slots
	KeepAlive        time.Duration // how long the connection may idle; 0: not told
}

// Protocol is how upstreams speak: what a request tells its upstream, and what an answer's head
// says. NativeProtocol is the product's own; adapters bring others.
type Protocol interface {
	// SetHeaders sets what the mesh tells an upstream, with the time that is left.
	SetHeaders(header http.Header, forward message.Forward, target Target, left time.Duration)

	// Interpret reads the head of an answer that came where the answer to forward is due.
	Interpret(answer *http.Response, forward message.Forward, target Target) ResponseMetadata
}

// RequestNamer is a Protocol in which every answer names the request that it answers. An answer
// without a name is then nobody's.
type RequestNamer interface {
	RequestName(answer *http.Response) string
}

// NativeProtocol is the product's own way for upstreams to speak (docs/operators/requests.md).
type NativeProtocol struct{}

// SetHeaders names tenant, caller, delegation token and request.
func (NativeProtocol) SetHeaders(header http.Header, forward message.Forward, target Target, _ time.Duration) {
	header.Set(TenantHeader, forward.Tenant)
	header.Set(CallerHeader, forward.Caller)
	header.Set(DelegationHeader, target.DelegationToken)
	header.Set(RequestHeader, forward.ID)
}

// Interpret finds nothing more in the head.
func (NativeProtocol) Interpret(*http.Response, message.Forward, Target) ResponseMetadata {
	return ResponseMetadata{}
}
