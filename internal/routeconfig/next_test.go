package routeconfig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// randomConfiguration returns a random configuration with routes of every form, some of them repeated.
func randomConfiguration(random *rand.Rand, version int) []byte {
	routes := []string{}
	for range random.IntN(12) {
		host := []string{"", "a.example", "B.example"}[random.IntN(3)]
		kind := []string{"", `,"kind":"repeatable"`, `,"kind":"upload"`, `,"once":true`}[random.IntN(4)]
		fields := []string{
			"",
			`,"methods":["GET"]`,
			`,"methods":["POST","GET"],"callers":["*"]`,
			`,"split":[{"service":"x","weight":0.9},{"service":"y","weight":0.1}]`,
			`,"priority":2,"attempts":3,"aim_ms":7.5`,
		}[random.IntN(5)]
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","service":"x","host":%q,"path":"/p%d","prefix":"/p%d/","timeout_ms":%d%s%s}`,
			random.IntN(5), host, random.IntN(4), random.IntN(4), random.IntN(3)*1000, kind, fields))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"services":["x",{"name":"y","health":"/h"}],`+
		`"tenants":[{"name":"t","keys":["k%d"],"priority":1}],"routes":[%s]}`,
		version, random.IntN(3), strings.Join(routes, ",")))
}

// indexText returns the content of a configuration apart from its routes, as text.
func indexText(c *Configuration) string {
	return fmt.Sprint(c.tenantByKey, c.tenantsWithKey, c.priorities, c.routesByHost, c.services, c.Version)
}

// Next, which reuses unchanged routes of any previous version, returns the same configuration as Parse.
func TestNextMatchesParse(t *testing.T) {
	c := qt.New(t)
	limits := Limits{MaxBytes: 1 << 20, MaxEntries: 1 << 10, MaxValues: 1 << 22, MaxDepth: 32, MaxTimeout: time.Minute, Lenient: true}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var current *Configuration
		for version := range 6 {
			body := randomConfiguration(random, version)
			current = current.Next("main", int64(version), body, limits)
			expected := Parse("main", int64(version), body, limits)
			c.Assert(indexText(current), qt.Equals, indexText(expected))
			c.Assert(current.Routes, qt.DeepEquals, expected.Routes, qt.Commentf("seed %d: %s", seed, body))
			for _, host := range []string{"a.example", "b.example", "other"} {
				for number := range 4 {
					path := fmt.Sprintf("/p%d/x", number)
					route, found := current.MatchHost(host, "GET", path)
					expectedRoute, expectedFound := expected.MatchHost(host, "GET", path)
					c.Assert(found, qt.Equals, expectedFound)
					c.Assert(route, qt.DeepEquals, expectedRoute)
				}
			}
		}
	}
}
