package routeconfig

import "time"

// Limits are the limits of a configuration. With Lenient set, unknown fields are kept and ignored, and a
// configuration is refused only for faults that make routing ambiguous. It is not refused for a timeout
// above MaxTimeout, a value of 0 that means "not set", a fraction of a millisecond or a repeated name.
type Limits struct {
	MaxBytes   int64
	MaxEntries int64         // services, tenants, keys and routes together
	MaxValues  int64         // values and names of fields at all levels together
	MaxDepth   int64         // of nested objects and lists
	MaxTimeout time.Duration // of a route; also the timeout of a route without one
	Lenient    bool
}
