package routeconfig

import (
	"crypto/sha256"
)

// Service holds the settings of a service.
type Service struct {
	Name        string
	Health      string // path of the health check; "": not set
	Connections int64  // that an upstream accepts from all callers together; 0: not set
}

// keyDigest is the SHA-256 digest of a tenant's key.
type keyDigest = [sha256.Size]byte

// routesByPrefix maps each prefix of an authority to the indexes of its routes in Configuration.Routes.
type routesByPrefix = map[string][]int

// Configuration is one parsed version of a configuration. It is immutable and safe for concurrent use.
type Configuration struct {
	ConfigName   string
	Version      int64
	Routes       []*Route // exact routes first, then prefixes; longer paths before shorter ones
	CallerLimits CallerLimits

	hasTenants     bool // the configuration has a list of tenants, which may be empty
	tenantByKey    map[keyDigest]string
	tenantsWithKey map[string]bool
	priorities     map[string]int64 // by tenant, for tenants that have one
	routesByHost   map[Authority]routesByPrefix
	services       map[string]Service
	routesByJSON   map[string]*Route // by their JSON text, for Next
}

// Keyless reports whether the configuration has no list of tenants. Requests to routes that are bound to a host
// then need no key. Where tenants are listed and none of them has a key, no key is valid.
func (c *Configuration) Keyless() bool { return !c.hasTenants }

// Priority returns the priority of a request; the lowest number goes first. Requests are ordered by the
// priority of their tenant, and within a tenant by the priority of their route. Tenants without a priority
// come after those with one. A request without a tenant is made on behalf of another request that is
// already running and whose work would be lost if it failed, so it goes first.
func (c *Configuration) Priority(tenant string, route Route) int64 {
	priority, hasPriority := c.priorities[tenant]
	if !hasPriority && tenant != "" {
		priority = LowestPriority
	}
	return priority*(LowestPriority+1) + min(route.Priority, LowestPriority)
}

// Service returns the settings of a service.
func (c *Configuration) Service(name string) Service { return c.services[name] }

// TenantHasKey reports whether a tenant has a key.
func (c *Configuration) TenantHasKey(tenant string) bool { return c.tenantsWithKey[tenant] }

// Tenant returns the tenant that a key belongs to.
func (c *Configuration) Tenant(key string) (string, bool) {
	tenant, found := c.tenantByKey[sha256.Sum256([]byte(key))]
	return tenant, found
}

// MatchHost finds the route of a host with the longest prefix of a path. The host is compared as an Authority,
// with its port. The path is compared as received, without normalisation. A host without routes of its own uses
// those that are not bound to a host.
func (c *Configuration) MatchHost(host, method, path string) (Route, bool) {
	byPrefix, known := c.routesByHost[ParseAuthority(host)]
	if !known {
		return c.Match(method, path)
	}
	for end := len(path); end > 0; end-- {
		if !isSegmentEnd(path, end) {
			continue
		}
		for _, index := range byPrefix[path[:end]] {
			if route := c.Routes[index]; route.Methods == nil || route.Methods[method] {
				return *route, true
			}
		}
	}
	return Route{}, false
}

// isSegmentEnd reports whether the first end bytes of a path cover complete segments.
func isSegmentEnd(path string, end int) bool {
	return end == len(path) || path[end-1] == '/' || path[end] == '/'
}

// Match finds the route for a method and a normalised path among those that are not bound to a host.
func (c *Configuration) Match(method, path string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Host == "" && route.Methods[method] && route.matchesPath(path) {
			return *route, true
		}
	}
	return Route{}, false
}

// RouteNamed finds a route by its name; the first in order of precedence if several share it.
func (c *Configuration) RouteNamed(name string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Name == name {
			return *route, true
		}
	}
	return Route{}, false
}
