package routeconfig

import (
	"crypto/sha256"
	"strings"
)

// Service is what a configuration says of a service.
type Service struct {
	Name        string
	Health      string // path of the health check; "": not set
	Connections int64  // that an upstream takes from all callers together; 0: not set
}

// keyDigest is what is kept of a tenant's key.
type keyDigest = [sha256.Size]byte

// routesByPrefix are the indexes of a host's routes in Configuration.Routes, by prefix.
type routesByPrefix = map[string][]int

// Configuration is one version of a configuration, ready to apply. It doesn't change once it is read.
type Configuration struct {
	ConfigName   string
	Version      int64
	Routes       []*Route // exact routes first, then prefixes; longer paths before shorter ones
	CallerLimits CallerLimits

	tenantByKey    map[keyDigest]string
	tenantsWithKey map[string]bool
	priorities     map[string]int64          // of the tenants that have one
	routesByHost   map[string]routesByPrefix // host in lower case
	services       map[string]Service
	routesByJSON   map[string]*Route // by their JSON text, for the next version
}

// Keyless says that no tenant has a key. Then a request to a route that is bound to a host needs none.
func (c *Configuration) Keyless() bool { return len(c.tenantByKey) == 0 }

// Priority orders the requests of a configuration: by their tenants' priorities, and among those of
// one by their routes'; the lowest number goes first. A tenant without a priority goes behind those
// that have one. A request without a tenant is made on behalf of one that runs already and whose
// work would be lost with it, so it goes first.
func (c *Configuration) Priority(tenant string, route Route) int64 {
	priority, hasPriority := c.priorities[tenant]
	if !hasPriority && tenant != "" {
		priority = LowestPriority
	}
	return priority*(LowestPriority+1) + min(route.Priority, LowestPriority)
}

// Service returns what the configuration says of a service.
func (c *Configuration) Service(name string) Service { return c.services[name] }

// TenantHasKey says that a tenant has a key.
func (c *Configuration) TenantHasKey(tenant string) bool { return c.tenantsWithKey[tenant] }

// Tenant returns the tenant that a key belongs to.
func (c *Configuration) Tenant(key string) (string, bool) {
	tenant, found := c.tenantByKey[sha256.Sum256([]byte(key))]
	return tenant, found
}

// MatchHost finds the route of a host with the longest prefix that begins a path as it came. A host
// without routes of its own has those that are bound to none.
func (c *Configuration) MatchHost(host, method, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	byPrefix, known := c.routesByHost[host]
	if !known {
		return c.Match(method, path)
	}
	for end := len(path); end > 0; end-- {
		if !isSegmentEnd(path, end) {
			continue
		}
		for _, index := range byPrefix[path[:end]] {
			if route := c.Routes[index]; len(route.Methods) == 0 || route.Methods[method] {
				return *route, true
			}
		}
	}
	return Route{}, false
}

// isSegmentEnd says that a prefix of a path covers whole segments.
func isSegmentEnd(path string, end int) bool {
	return end == len(path) || path[end-1] == '/' || path[end] == '/'
}

// Match finds the one route, of those that are bound to no host, for a method and a normalised path.
func (c *Configuration) Match(method, path string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Host == "" && route.Methods[method] && route.matchesPath(path) {
			return *route, true
		}
	}
	return Route{}, false
}

// RouteNamed finds a route by its name.
func (c *Configuration) RouteNamed(name string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Name == name {
			return *route, true
		}
	}
	return Route{}, false
}
