// Tests of configurations whose routes are bound to hosts: matching, splits, priorities and refused configurations.
package routeconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const hostConfiguration = `{"version":7,"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000},
"tenants":[{"name":"first","keys":["k1","k2"],"priority":1},{"name":"silent","keys":["k3"]}],
"services":[{"name":"a","health":"/health","connections":130,"protocol":"h1","tls":false},{"name":"b"},"c"],
"routes":[{"name":"short","host":"One.example","prefix":"/x/","service":"a","kind":"repeatable",
"timeout_ms":1200,"attempts":2,"aim_ms":500,"priority":2},
{"name":"long","host":"one.example","prefix":"/x/y/","split":[{"service":"a","weight":90},{"service":"b","weight":10},
{"service":"c","weight":0}],"kind":"once","timeout_ms":1500},
{"name":"big","host":"one.example","prefix":"/big/","service":"c","kind":"upload","timeout_ms":4000,"open":true},
{"name":"half","host":"half.example","prefix":"/half","service":"b","timeout_ms":1000},
{"name":"silent","host":"two.example","prefix":"/","service":"b","timeout_ms":1000},
{"name":"unbound","path":"/x","match":"prefix","service":"c","methods":["GET"],"callers":["*"]}]}`

// mustParse parses a configuration in which Check must find no faults.
func mustParse(c *qt.C, body string) *Configuration {
	faults, _ := Check([]byte(body), limits)
	c.Assert(faults, qt.HasLen, 0)
	return Parse("main", 7, []byte(body), limits)
}

// A request matches the longest prefix of its host. A host that has routes does not use those without a host.
func TestHostsAndLongestPrefixes(t *testing.T) {
	c := qt.New(t)
	configuration := mustParse(c, hostConfiguration)
	for request, expected := range map[string]string{
		"one.example /x/1": "short", "one.example /x/": "short", "one.example /x": "", "one.example /xy/1": "",
		"ONE.example /x/z/y/": "short", "ONE.example:8080 /x/z/y/": "unbound",
		"one.example /x/y/1": "long", "one.example /x/y/": "long", "one.example /x/y": "short", "one.example /x/yy/1": "short",
		"one.example /x//y/1": "short", "one.example /x/%79/1": "short", "one.example /big/1/2/3": "big", "one.example /": "",
		"half.example /half": "half", "half.example /half/1": "half", "half.example /halfway": "", "half.example /hal": "",
		"two.example /x/1": "silent", "two.example /": "silent",
		"three.example /x/1": "unbound", " /x/1": "unbound", "three.example /big/1": "",
	} {
		host, path, _ := strings.Cut(request, " ")
		route, found := configuration.MatchHost(host, "GET", path)
		c.Check(route.Name, qt.Equals, expected, qt.Commentf(request))
		c.Check(found, qt.Equals, expected != "")
	}
	_, found := configuration.MatchHost("three.example", "POST", "/x/1")
	c.Assert(found, qt.IsFalse)
	_, found = configuration.MatchHost("one.example", "PROPFIND", "/x/1")
	c.Assert(found, qt.IsTrue)
}

// The services of a split get requests in proportion to their weights; a weight of 0 gets none.
func TestSplitsFallByWeight(t *testing.T) {
	c := qt.New(t)
	configuration := mustParse(c, hostConfiguration)
	long, _ := configuration.RouteNamed("long")
	requests := map[string]int{}
	for number := range 1000 {
		requests[long.PickService((float64(number)+0.5)/1000)]++
	}
	c.Assert(requests, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	c.Assert(long.PickService(0), qt.Equals, "a")
	for service, expected := range map[string]bool{"a": true, "b": true, "c": false, "": false} {
		c.Check(long.RoutesTo(service), qt.Equals, expected)
	}
	short, _ := configuration.RouteNamed("short")
	c.Assert(short.PickService(0.99), qt.Equals, "a")
	c.Assert(short.RoutesTo("a"), qt.IsTrue)
	c.Assert(short.RoutesTo("b"), qt.IsFalse)
}

// A route's kind determines whether requests may be repeated; without a kind only safe methods may.
func TestAtMostOnceFollowsKind(t *testing.T) {
	c := qt.New(t)
	configuration := mustParse(c, hostConfiguration)
	for name, once := range map[string]bool{"short": false, "long": true, "big": true, "silent": true, "unbound": false} {
		route, _ := configuration.RouteNamed(name)
		c.Check(route.AtMostOnce, qt.Equals, once, qt.Commentf(name))
	}
	short, _ := configuration.RouteNamed("short")
	c.Assert(short.MaxAttempts, qt.Equals, int64(2))
	c.Assert(short.LatencyTarget, qt.Equals, 500*time.Millisecond)
	c.Assert(short.Timeout, qt.Equals, 1200*time.Millisecond)
	c.Assert(short.Public, qt.IsFalse)
	c.Assert(configuration.Service("a"), qt.Equals, Service{Name: "a", Health: "/health", Connections: 130})
	c.Assert(configuration.Service("c"), qt.Equals, Service{Name: "c"})
}

// A public route needs no key, and neither does a route with a host in a configuration without keys.
func TestPublicRoutesAndKeylessConfigurations(t *testing.T) {
	c := qt.New(t)
	configuration := mustParse(c, hostConfiguration)
	big, _ := configuration.RouteNamed("big")
	c.Assert(big.Public, qt.IsTrue)
	c.Assert(configuration.Keyless(), qt.IsFalse)
	for key, expected := range map[string]string{"k1": "first", "k2": "first", "k3": "silent", "k": "", "": ""} {
		tenant, known := configuration.Tenant(key)
		c.Check(tenant, qt.Equals, expected)
		c.Check(known, qt.Equals, expected != "")
	}
	c.Assert(configuration.TenantHasKey("first"), qt.IsTrue)
	c.Assert(configuration.TenantHasKey(""), qt.IsFalse)
	keyless := mustParse(c, `{"services":["a"],"routes":[{"name":"r","host":"h","prefix":"/","service":"a","timeout_ms":1}]}`)
	c.Assert(keyless.Keyless(), qt.IsTrue)
	route, _ := keyless.RouteNamed("r")
	c.Assert(route.Allows("", "anyone"), qt.IsTrue)
}

// Requests are ordered by the tenant's priority and then by the route's. Tenants without a priority come last, and
// requests without a tenant, which running requests make, come before those of a tenant.
func TestPriorities(t *testing.T) {
	c := qt.New(t)
	silent := `{"name":"silent","keys":["k3"]}`
	best := `{"name":"best","keys":["k4"],"priority":0}`
	configuration := mustParse(c, strings.Replace(hostConfiguration, silent, silent+","+best, 1))
	last := int64(-1)
	for _, pair := range []string{"best short", "best long", "first short", "first long", "silent short", "silent long"} {
		tenant, name, _ := strings.Cut(pair, " ")
		route, _ := configuration.RouteNamed(name)
		rank := configuration.Priority(tenant, route)
		c.Check(rank > last, qt.IsTrue, qt.Commentf(pair))
		last = rank
	}
	long, _ := configuration.RouteNamed("long")
	c.Assert(configuration.Priority("", long) < configuration.Priority("first", long), qt.IsTrue)
}

// Each of these faults is found both with strict and with lenient limits.
func TestConfigurationsThatAreRefused(t *testing.T) {
	c := qt.New(t)
	lenient := limits
	lenient.Lenient = true
	replaced := func(old, replacement string) string {
		c.Assert(strings.Contains(hostConfiguration, old), qt.IsTrue, qt.Commentf(old))
		return strings.Replace(hostConfiguration, old, replacement, 1)
	}
	withoutWeight := strings.Replace(replaced(`"weight":90`, `"weight":0`), `"weight":10`, `"weight":0`, 1)
	bodies := map[string]string{
		replaced(`"service":"a","kind"`, `"service":"z","kind"`):       "routes.0.service: unknown service z",
		replaced(`{"service":"b","weight"`, `{"service":"z","weight"`): "routes.1.split.1.service: unknown service z",
		replaced(`"timeout_ms":1200`, `"timeout_ms":0`):                "routes.0.timeout_ms: want a whole number above 0",
		replaced(`"timeout_ms":1200`, `"timeout_ms":-1`):               "routes.0.timeout_ms: want a whole number above 0",
		replaced(`"timeout_ms":1200,`, ``):                             "routes.0.timeout_ms: missing",
		replaced(`"prefix":"/x/y/"`, `"prefix":"x/y/"`):                "routes.1.prefix: must begin with /",
		replaced(`"prefix":"/x/y/"`, `"prefix":""`):                    "routes.1.prefix: want a text",
		replaced(`"host":"One.example"`, `"host":""`):                  "routes.0.host: want a text",
		replaced(`"k3"`, `"k1"`):                                       "key stands already at tenants.0.keys.0",
		replaced(`"prefix":"/x/y/"`, `"prefix":"/x/"`):                 "routes.1: stands at the place of routes.0",
		replaced(`"kind":"once"`, `"kind":"twice"`):                    "routes.1.kind: want repeatable",
		replaced(`"weight":90`, `"weight":-90`):                        "routes.1.split.0.weight: want a whole number",
		withoutWeight:                                                  "routes.1.split: want a weight above 0",
		replaced(`"priority":1}`, `"priority":"high"}`):                "tenants.0.priority: want a whole number",
		replaced(`"services":[`, `"services":5,"was":[`):               "services: want a list",
	}
	for _, length := range []int{1, len(hostConfiguration) / 3, len(hostConfiguration) / 2, len(hostConfiguration) - 1} {
		bodies[hostConfiguration[:length]] = "$: not JSON"
	}
	for body, expected := range bodies {
		for _, checked := range []Limits{limits, lenient} {
			faults, _ := Check([]byte(body), checked)
			c.Check(strings.Join(faults, "\n"), qt.Contains, expected, qt.Commentf("lenient %t", checked.Lenient))
		}
	}
}

// Unknown fields are refused with strict limits and ignored with lenient ones, at every level of a configuration.
func TestFieldsThatAreNotKnown(t *testing.T) {
	c := qt.New(t)
	lenient := limits
	lenient.Lenient = true
	for old, replacement := range map[string]string{
		`{"version":7`:    `{"colour":1,"version":7`,
		`{"head_bytes"`:   `{"colour":1,"head_bytes"`,
		`{"name":"first"`: `{"colour":1,"name":"first"`,
		`{"name":"b"`:     `{"colour":1,"name":"b"`,
		`{"name":"short"`: `{"colour":{"deep":[1]},"name":"short"`,
	} {
		body := strings.Replace(hostConfiguration, old, replacement, 1)
		faults, _ := Check([]byte(body), limits)
		c.Check(strings.Join(faults, "\n"), qt.Contains, "colour: unknown field", qt.Commentf(old))
		faults, _ = Check([]byte(body), lenient)
		c.Check(faults, qt.HasLen, 0, qt.Commentf(old))
		route, found := Parse("main", 7, []byte(body), lenient).MatchHost("one.example", "GET", "/x/y/1")
		c.Check(found, qt.IsTrue)
		c.Check(route.Name, qt.Equals, "long")
	}
	// A repeated field is refused also with lenient limits, since either value could be read.
	faults, _ := Check([]byte(strings.Replace(hostConfiguration, `"kind":"once"`, `"kind":"once","kind":"repeatable"`, 1)), lenient)
	c.Assert(fmt.Sprint(faults), qt.Contains, "key stands twice")
}
