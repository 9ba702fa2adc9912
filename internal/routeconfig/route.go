package routeconfig

import (
	"strings"
	"time"
)

// LowestPriority is the priority of a route or tenant that gives none. The highest priority is 0.
const LowestPriority = 1 << 20

// wildcard means all tenants or callers in a route's list.
const wildcard = "*"

// WeightedService is a service of a split, with its share of the route's requests.
type WeightedService struct {
	Service string
	Weight  int64 // the configured weight times weightScale; 0: the service gets no requests
}

// Route defines which requests it matches, who may send them, and how they are forwarded. A route matches
// by host and prefix or, without a host, by path and method.
type Route struct {
	Name string

	Host    Authority       // "": any
	Path    string          // the path, or the prefix
	Prefix  bool            // Path is a prefix, of whole segments
	Methods map[string]bool // nil on a route that is bound to a host: any

	Callers map[string]bool // calling services; wildcard, or nil on a route that is bound to a host: all
	Tenants map[string]bool // nil or wildcard: all
	Public  bool            // no key is needed

	Service string            // receives all requests if there is no split
	Split   []WeightedService // services among which the requests are distributed

	Timeout       time.Duration
	LatencyTarget time.Duration // within which a response has its full value; 0: not set
	MaxAttempts   int64         // upstreams to which one request may be sent; 0: limited by the retry budget only
	AtMostOnce    bool          // a request that may have run is not retried
	MaxBodyBytes  int64         // 0: not set
	Priority      int64         // the lowest number goes first
	Calendar      *Calendar     // when the route is open; nil: always
}

// PickService returns the service for a request. The fraction, from 0 to below 1, selects it from the split.
func (r Route) PickService(fraction float64) string {
	total := int64(0)
	for _, share := range r.Split {
		total += share.Weight
	}
	remaining := fraction * float64(total)
	for _, share := range r.Split {
		if remaining -= float64(share.Weight); remaining < 0 && share.Weight > 0 {
			return share.Service
		}
	}
	return r.Service
}

// RoutesTo reports whether the route may send requests to a service.
func (r Route) RoutesTo(service string) bool {
	for _, share := range r.Split {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return len(r.Split) == 0 && r.Service == service
}

// Allows reports whether a tenant and a calling service may use the route. A list without names allows none.
func (r Route) Allows(tenant, caller string) bool {
	tenantAllowed := r.Tenants == nil || r.Tenants[wildcard] || r.Tenants[tenant]
	callerAllowed := r.Host != "" && r.Callers == nil || r.Callers[wildcard] || r.Callers[caller]
	return tenantAllowed && callerAllowed
}

// matchesPath reports whether a normalised path matches the route.
func (r Route) matchesPath(path string) bool {
	if !r.Prefix {
		return path == r.Path
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	return strings.HasSuffix(r.Path, "/") || len(path) == len(r.Path) || path[len(r.Path)] == '/'
}

// compare orders routes by precedence: exact routes before prefixes, and longer paths before shorter ones.
func (r *Route) compare(other *Route) int {
	switch {
	case r.Prefix == other.Prefix:
		return len(other.Path) - len(r.Path)
	case r.Prefix:
		return 1
	}
	return -1
}
