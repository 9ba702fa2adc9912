// Package routeconfig reads, checks and applies configurations: the operators' configuration.
// A configuration is JSON, read and checked by gjson paths; a check lists every fault by its
// path. Matching is by one normalised path: exact routes before prefixes, longer
// prefixes before shorter, never two that could both win. The same code serves the
// store, which refuses bad configurations, and the proxies, which only apply checked ones.
// A route may be bound to a host: it is then found by that host alone, through an
// index, and any method and caller will do unless it names some. A split shares its
// requests among services by weight.
package routeconfig

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
)

// Limits bound a configuration. Lenient ones may hold fields that are not known here,
// which are kept and not read, and are refused only for what would leave in doubt where a
// request goes: not for a time-out above MaxTimeout, a figure of 0 that says "not told", a
// fraction of a millisecond, or a name that stands twice.
type Limits struct {
	MaxBytes   int64
	MaxEntries int64
	MaxTimeout time.Duration
	Lenient    bool
}

// WeightedService is one service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int64
}

// Service is what a configuration says of a service: the path that asks for its health, and
// how many connections an upstream of it takes from all callers; "" and 0 are not told.
type Service struct {
	Name        string
	Health      string
	Connections int64
}

// LowestPriority is the rank of a route or tenant that names none; 0 goes first.
const LowestPriority = 1 << 20

// Route is one rule: where a kind of request may go, who may ask it.
type Route struct {
	Name          string
	Host          string
	Service       string
	Split         []WeightedService
	MaxAttempts   int64         // upstreams to which one request may be sent; 0: as the budget allows
	LatencyTarget time.Duration // within which an answer has its full worth; 0: not told
	Priority      int64         // 0 goes first
	Public        bool          // needs no tenant's key
	Path          string
	Prefix        bool
	Methods       map[string]bool
	Callers       map[string]bool
	Tenants       map[string]bool
	AtMostOnce    bool
	Timeout       time.Duration
	MaxBodyBytes  int64
	Calendar      *Calendar
}

// Configuration is one version of a configuration, ready to apply.
type Configuration struct {
	ConfigName string
	Version    int64
	Routes     []*Route
	keys       map[[sha256.Size]byte]string
	tenants    map[string]bool  // those with a key
	ranks      map[string]int64 // priorities of the tenants that have one
	hosts      map[string]map[string][]int
	kinds      map[string]Service
	texts      map[string]*Route // the routes by their text, for the next version

	CallerLimits CallerLimits
}

// Keyless says that no tenants are told at all: then no request wants a key.
func (l *Configuration) Keyless() bool { return len(l.keys) == 0 }

// Priority orders the requests of a configuration: by their tenants' priorities, and among
// those of one by their routes'. A tenant that names none goes behind those that do; a
// request without a tenant is a running one's, whose work would be lost with it.
func (l *Configuration) Priority(tenant string, route Route) int64 {
	rank, response := l.ranks[tenant]
	if !response && tenant != "" {
		rank = LowestPriority
	}
	return rank*(LowestPriority+1) + min(route.Priority, LowestPriority)
}

// Service gives what the configuration says of a service.
func (l *Configuration) Service(name string) Service { return l.kinds[name] }

// TenantHasKey says that some key of a tenant is honoured.
func (l *Configuration) TenantHasKey(tenant string) bool { return l.tenants[tenant] }

// MatchHost gives the route of a host with the longest prefix that begins a raw path; a
// host without routes of its own has those that are bound to none.
func (l *Configuration) MatchHost(host, method, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	places, known := l.hosts[host]
	if !known {
		return l.Match(method, path)
	}
	for end := len(path); end > 0; end-- {
		if end != len(path) && path[end-1] != '/' && path[end] != '/' {
			continue
		}
		for _, index := range places[path[:end]] {
			if route := l.Routes[index]; len(route.Methods) == 0 || route.Methods[method] {
				return *route, true
			}
		}
	}
	return Route{}, false
}

// PickService chooses the service of a route's request by a number from 0 to below 1.
func (r Route) PickService(chance float64) string {
	total := int64(0)
	for _, share := range r.Split {
		total += share.Weight
	}
	left := chance * float64(total)
	for _, share := range r.Split {
		if left -= float64(share.Weight); left < 0 && share.Weight > 0 {
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

// Tenant finds who a key belongs to.
func (l *Configuration) Tenant(key string) (string, bool) {
	tenant, found := l.keys[sha256.Sum256([]byte(key))]
	return tenant, found
}

// Match finds the one route for a method and normalised path.
func (l *Configuration) Match(method, path string) (Route, bool) {
	for _, route := range l.Routes {
		if route.Host == "" && route.Methods[method] && route.covers(path) {
			return *route, true
		}
	}
	return Route{}, false
}

// RouteNamed finds a route by its name.
func (l *Configuration) RouteNamed(name string) (Route, bool) {
	for _, route := range l.Routes {
		if route.Name == name {
			return *route, true
		}
	}
	return Route{}, false
}

func (r Route) covers(path string) bool {
	if !r.Prefix {
		return path == r.Path
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	return strings.HasSuffix(r.Path, "/") || len(path) == len(r.Path) || path[len(r.Path)] == '/'
}

// Allows checks tenant and caller against the route.
func (r Route) Allows(tenant, caller string) bool {
	tenantFits := len(r.Tenants) == 0 || r.Tenants["*"] || r.Tenants[tenant]
	callerFits := r.Host != "" && len(r.Callers) == 0 || r.Callers["*"] || r.Callers[caller]
	return tenantFits && callerFits
}

// NormalizePath gives the one form of a raw path that routes are matched by: escapes of
// unreserved characters undone, hex digits in capitals. Dot segments, empty segments,
// encoded slashes and backslashes, control bytes and bad escapes are refused.
func NormalizePath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", fmt.Errorf("path must begin with /")
	}
	out := strings.Builder{}
	for index := 0; index < len(raw); index++ {
		letter := raw[index]
		switch {
		case letter == '%':
			if index+2 >= len(raw) {
				return "", fmt.Errorf("bad escape")
			}
			high, low := hexOf(raw[index+1]), hexOf(raw[index+2])
			if high < 0 || low < 0 {
				return "", fmt.Errorf("bad escape")
			}
			value := byte(high<<4 | low)
			switch {
			case value == '/' || value == '\\':
				return "", fmt.Errorf("encoded slash")
			case value < 0x20 || value == 0x7f:
				return "", fmt.Errorf("control byte")
			case unreserved(value):
				out.WriteByte(value)
			default:
				fmt.Fprintf(&out, "%%%02X", value)
			}
			index += 2
		case letter < 0x21 || letter >= 0x7f || letter == '\\':
			return "", fmt.Errorf("byte that wants an escape")
		default:
			out.WriteByte(letter)
		}
	}
	normal := out.String()
	segments := strings.Split(normal[1:], "/")
	for index, segment := range segments {
		if segment == "." || segment == ".." || segment == "" && index != len(segments)-1 {
			return "", fmt.Errorf("dot or empty segment")
		}
	}
	return normal, nil
}

func hexOf(letter byte) int {
	switch {
	case letter >= '0' && letter <= '9':
		return int(letter - '0')
	case letter >= 'a' && letter <= 'f':
		return int(letter-'a') + 10
	case letter >= 'A' && letter <= 'F':
		return int(letter-'A') + 10
	}
	return -1
}

func unreserved(letter byte) bool {
	return letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' || letter >= '0' && letter <= '9' ||
		letter == '-' || letter == '.' || letter == '_' || letter == '~'
}
