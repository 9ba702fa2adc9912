package routeconfig

import (
	"strings"
	"time"
)

// LowestPriority is that of a route or tenant without one; 0 goes first.
const LowestPriority = 1 << 20

// wildcard stands for all tenants or callers in a route's list.
const wildcard = "*"

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int64 // in thousandths of the configuration's weight; 0: gets no requests
}

// Route is one rule: which requests it is for, who may send them, and how they are sent on. A route
// is bound to a host and a prefix, or, without a host, to a path, methods and callers.
type Route struct {
	Name string

	Host    string          // in lower case; "": any
	Path    string          // the path, or the prefix
	Prefix  bool            // Path is a prefix, of whole segments
	Methods map[string]bool // none: any, on a route that is bound to a host

	Callers map[string]bool // calling services; anyName: all
	Tenants map[string]bool // none or anyName: all
	Public  bool            // no key is needed

	Service string            // all requests go to it, if there is no split
	Split   []WeightedService // shares the requests among services

	Timeout       time.Duration
	LatencyTarget time.Duration // within which an answer has its full worth; 0: not set
	MaxAttempts   int64         // upstreams that one request may be sent to; 0: as the retry budget allows
	AtMostOnce    bool          // a request that may have run isn't sent again
	MaxBodyBytes  int64         // 0: not set
	Priority      int64         // 0 goes first
	Calendar      *Calendar     // when the route is open; nil: always
}

// PickService chooses the service of a request by a number from 0 to below 1.
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

// RoutesTo says that the route may send a request to a service.
func (r Route) RoutesTo(service string) bool {
	for _, share := range r.Split {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return len(r.Split) == 0 && r.Service == service
}

// Allows says that the route is for a tenant and a calling service.
func (r Route) Allows(tenant, caller string) bool {
	tenantAllowed := len(r.Tenants) == 0 || r.Tenants[wildcard] || r.Tenants[tenant]
	callerAllowed := r.Host != "" && len(r.Callers) == 0 || r.Callers[wildcard] || r.Callers[caller]
	return tenantAllowed && callerAllowed
}

// matchesPath says that the route is for a normalised path.
func (r Route) matchesPath(path string) bool {
	if !r.Prefix {
		return path == r.Path
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	return strings.HasSuffix(r.Path, "/") || len(path) == len(r.Path) || path[len(r.Path)] == '/'
}

// compare orders exact routes before prefixes, and longer paths before shorter ones.
func (r *Route) compare(other *Route) int {
	switch {
	case r.Prefix == other.Prefix:
		return len(other.Path) - len(r.Path)
	case r.Prefix:
		return 1
	}
	return -1
}
