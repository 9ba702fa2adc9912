// Tests of lenient limits with generated configurations: Check refuses exactly what the platform page (docs/platform.md)
// calls invalid.
package routeconfig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	generatedCount = 300
	generatorSeed  = 17
)

var lenientLimits = Limits{
	MaxBytes: 4 << 20, MaxEntries: 20000, MaxValues: 1 << 22, MaxDepth: 32, MaxTimeout: 10 * time.Minute, Lenient: true,
}

// pick returns a random one of some values.
func pick[T any](random *rand.Rand, from ...T) T { return from[random.IntN(len(from))] }

// generate returns a random configuration that the platform page allows.
func generate(random *rand.Rand) map[string]any {
	services, serviceNames := []any{}, []string{}
	for number := range 1 + random.IntN(4) {
		name := fmt.Sprintf("service-%d", number)
		serviceNames = append(serviceNames, name)
		connections := pick(random, 0, 1, 130, 100000)
		services = append(services, map[string]any{"name": name, "health": "/health", "connections": connections,
			"protocol": "h1", "tls": false})
	}
	tenants := []any{}
	for number := range random.IntN(4) {
		keys := []string{}
		for key := range random.IntN(3) {
			keys = append(keys, fmt.Sprintf("key-%d-%d", number, key))
		}
		if len(keys) > 0 && random.IntN(4) == 0 {
			keys = append(keys, keys[0])
		}
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", number), "keys": keys, "priority": random.IntN(5)})
	}
	routes := []any{}
	for number := range random.IntN(pick(random, 5, 400)) {
		route := map[string]any{
			"name":       pick(random, fmt.Sprintf("route-%d", number), "same"),
			"host":       fmt.Sprintf("host-%d.example", number%7),
			"prefix":     fmt.Sprintf("/p%d/", number),
			"kind":       pick(random, "repeatable", "once", "upload"),
			"timeout_ms": pick(random, 0.5, 1, 1234.5, 59999, 60001, 600001, 1e8, 1e14),
			"aim_ms":     pick(random, 0, 0.25, 500, 1e8),
			"attempts":   pick(random, 0, 1, 2, 100),
			"priority":   random.IntN(5),
			"open":       random.IntN(2) == 0,
		}
		if random.IntN(2) == 0 {
			route["service"] = pick(random, serviceNames...)
		} else {
			route["split"] = []any{map[string]any{"service": serviceNames[0], "weight": pick(random, 1, 0.25, 90)},
				map[string]any{"service": pick(random, serviceNames...), "weight": pick(random, 0, 0.75, 10)}}
		}
		routes = append(routes, route)
	}
	configuration := map[string]any{"version": 1 + random.IntN(1000), "services": services, "routes": routes,
		"limits": map[string]any{"head_bytes": 16384, "body_bytes": 1 << 30, "head_ms": 2500.5, "idle_ms": 15000}}
	if random.IntN(3) > 0 {
		configuration["tenants"] = tenants
	}
	if random.IntN(20) == 0 {
		configuration["services"], configuration["routes"] = []any{}, []any{}
	}
	return configuration
}

func TestEveryAllowedConfigurationIsAccepted(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(generatorSeed, generatorSeed))
	for range generatedCount {
		body, err := json.Marshal(generate(random))
		c.Assert(err, qt.IsNil)
		faults, tooLarge := Check(body, lenientLimits)
		c.Assert(faults, qt.HasLen, 0, qt.Commentf("%s", body))
		c.Assert(tooLarge, qt.IsFalse)
		for _, route := range Parse("main", 1, body, lenientLimits).Routes {
			bounded := route.Timeout > 0 && route.Timeout <= lenientLimits.MaxTimeout
			c.Assert(bounded, qt.IsTrue, qt.Commentf("%s: %v", route.Name, route.Timeout))
			c.Assert(route.LatencyTarget >= 0, qt.IsTrue)
			c.Assert(route.RoutesTo(route.PickService(0.3)), qt.IsTrue)
		}
	}
}

// Each change makes a valid configuration invalid in one way. The changes are those that the platform page calls
// invalid, and those to the content that the action bad_config of internal/tools/days makes. Check refuses them all,
// and also truncated configurations.
func TestEveryInvalidConfigurationIsRefused(t *testing.T) {
	c := qt.New(t)
	invalidations := map[string]func(configuration, route map[string]any){
		"unknown service": func(_, route map[string]any) { delete(route, "split"); route["service"] = "nobody" },
		"unknown service of a split": func(_, route map[string]any) {
			route["split"] = []any{map[string]any{"service": "nobody", "weight": 1}}
		},
		"no service":           func(_, route map[string]any) { delete(route, "split"); delete(route, "service") },
		"deadline of 0":        func(_, route map[string]any) { route["timeout_ms"] = 0 },
		"deadline below 0":     func(_, route map[string]any) { route["timeout_ms"] = -0.5 },
		"no deadline":          func(_, route map[string]any) { delete(route, "timeout_ms") },
		"prefix without slash": func(_, route map[string]any) { route["prefix"] = "p/" },
		"empty host":           func(_, route map[string]any) { route["host"] = "" },
		"key of two tenants": func(configuration, _ map[string]any) {
			configuration["tenants"] = []any{
				map[string]any{"name": "a", "keys": []string{"k"}},
				map[string]any{"name": "b", "keys": []string{"k"}},
			}
		},
		"two routes with one match": func(configuration, route map[string]any) {
			twin := map[string]any{"name": "twin", "host": route["host"], "prefix": route["prefix"],
				"service": "service-0", "timeout_ms": 1}
			configuration["routes"] = append(configuration["routes"].([]any), twin)
		},
		"no weight": func(_, route map[string]any) {
			route["split"] = []any{map[string]any{"service": "service-0", "weight": 0}}
		},
	}
	random := rand.New(rand.NewPCG(generatorSeed+1, generatorSeed))
	for name, invalidate := range invalidations {
		for checked := 0; checked < 50; {
			configuration := generate(random)
			routes := configuration["routes"].([]any)
			if len(routes) == 0 {
				continue
			}
			checked++
			invalidate(configuration, routes[random.IntN(len(routes))].(map[string]any))
			body, err := json.Marshal(configuration)
			c.Assert(err, qt.IsNil)
			faults, _ := Check(body, lenientLimits)
			c.Check(faults, qt.Not(qt.HasLen), 0, qt.Commentf("%s: %s", name, body))
		}
	}
	body, err := json.Marshal(generate(random))
	c.Assert(err, qt.IsNil)
	for cut := 1; cut < len(body); cut += 1 + len(body)/200 {
		faults, _ := Check(body[:cut], lenientLimits)
		c.Assert(faults, qt.Not(qt.HasLen), 0)
	}
}
