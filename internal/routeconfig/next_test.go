package routeconfig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// randomConfiguration draws a configuration with routes of every form, some of them twice.
func randomConfiguration(dice *rand.Rand, version int) []byte {
	routes := []string{}
	for range dice.IntN(12) {
		host := []string{"", "a.example", "B.example"}[dice.IntN(3)]
		kind := []string{"", `,"kind":"repeatable"`, `,"kind":"upload"`, `,"once":true`}[dice.IntN(4)]
		more := []string{
			"",
			`,"methods":["GET"]`,
			`,"methods":["POST","GET"],"callers":["*"]`,
			`,"split":[{"service":"x","weight":0.9},{"service":"y","weight":0.1}]`,
			`,"priority":2,"attempts":3,"aim_ms":7.5`,
		}[dice.IntN(5)]
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","service":"x","host":%q,"path":"/p%d","prefix":"/p%d/","timeout_ms":%d%s%s}`,
			dice.IntN(5), host, dice.IntN(4), dice.IntN(4), dice.IntN(3)*1000, kind, more))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"services":["x",{"name":"y","health":"/h"}],`+
		`"tenants":[{"name":"t","keys":["k%d"],"priority":1}],"routes":[%s]}`,
		version, dice.IntN(3), strings.Join(routes, ",")))
}

// indexes prints what a configuration holds beside its routes.
func indexes(c *Configuration) string {
	return fmt.Sprint(c.tenantByKey, c.tenantsWithKey, c.priorities, c.routesByHost, c.services, c.Version)
}

// Whatever stood before, a version that reuses what did not change is the version read anew.
func TestNextIsParse(t *testing.T) {
	c := qt.New(t)
	limits := Limits{MaxBytes: 1 << 20, MaxEntries: 1 << 10, MaxTimeout: time.Minute, Lenient: true}
	for seed := range uint64(300) {
		dice := rand.New(rand.NewPCG(seed, 1))
		var current *Configuration
		for version := range 6 {
			body := randomConfiguration(dice, version)
			current = current.Next("main", int64(version), body, limits)
			wanted := Parse("main", int64(version), body, limits)
			c.Assert(indexes(current), qt.Equals, indexes(wanted))
			c.Assert(current.Routes, qt.DeepEquals, wanted.Routes, qt.Commentf("seed %d: %s", seed, body))
			for _, host := range []string{"a.example", "b.example", "other"} {
				for number := range 4 {
					path := fmt.Sprintf("/p%d/x", number)
					route, found := current.MatchHost(host, "GET", path)
					same, wantedFound := wanted.MatchHost(host, "GET", path)
					c.Assert(found, qt.Equals, wantedFound)
					c.Assert(route, qt.DeepEquals, same)
				}
			}
		}
	}
}
