// This file is the port towards upstreams' ways of speaking: what a query tells its
// upstream, and what an answer's head says besides its status. House is the product's
// own manner; adapters bring others.
package greenroom

import (
	"net/http"
	"time"

	"beaconvane/internal/notice"
	"beaconvane/internal/script"
)

// Heard is what an answer's head says.
type Heard struct {
	Other  bool          // it answers another query; this one's comes behind it
	Refuse notice.Code   // not OK: the upstream did not begin, and why
	Spoilt bool          // it is not the upstream's own whole answer
	Hides  bool          // its status promises that nothing ran, which was not said
	Loaded bool          // the upstream told its load
	Load   [3]int64      // running, waiting, slots
	Idle   time.Duration // how long the wire may idle; 0: not told
}

// Manner is how upstreams speak.
type Manner interface {
	Dress(header http.Header, carry script.Carry, target Target, left time.Duration)
	Heed(answer *http.Response, carry script.Carry, target Target) Heard
}

// House is the product's own manner.
type House struct{}

// Dress names tenant, caller, pass and query.
func (House) Dress(header http.Header, carry script.Carry, target Target, _ time.Duration) {
	header.Set(TenantHeader, carry.Tenant)
	header.Set(CallerHeader, carry.Caller)
	header.Set(PassHeader, target.Pass)
	header.Set(QueryHeader, carry.ID)
}

// Heed finds nothing more in the head.
func (House) Heed(*http.Response, script.Carry, Target) Heard { return Heard{} }
