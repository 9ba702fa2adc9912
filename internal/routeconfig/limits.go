package routeconfig

import "time"

// Limits bound a configuration. Lenient ones may hold fields that are not known here, which are
// kept and not read, and are refused only for what would leave in doubt where a request goes: not
// for a time-out above MaxTimeout, a figure of 0 that says "not set", a fraction of a millisecond,
// or a name that stands twice.
type Limits struct {
	MaxBytes   int64
	MaxEntries int64         // services, tenants, keys and routes together
	MaxTimeout time.Duration // of a route, and what one without a time-out gets
	Lenient    bool
}
