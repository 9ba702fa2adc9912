package proxy

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// largeRouteCount is the approximate number of routes in the configuration of a large site.
const largeRouteCount = 1400

// routeFormat formats one route of a configuration, with a trailing comma.
const routeFormat = `{"name":"r-%d","host":"host%d.example","prefix":"/path%d/","kind":"repeatable","service":"quoter",` +
	`"timeout_ms":%d},`

// largeConfiguration returns a configuration of largeRouteCount routes. Each version changes the timeout
// of one route.
func largeConfiguration(version int) []byte {
	text := strings.Builder{}
	fmt.Fprintf(&text, `{"version":%d,"services":["quoter"],"routes":[`, version)
	for number := range largeRouteCount {
		timeout := 1200
		if number == version%largeRouteCount {
			timeout += version
		}
		fmt.Fprintf(&text, routeFormat, number, number%9, number, timeout)
	}
	return []byte(strings.TrimSuffix(text.String(), ",") + "]}")
}

// A change of one route must not cause the other routes to be parsed again. Otherwise the control
// goroutine falls behind with heartbeats and probes when hundreds of changes arrive.
func TestAChangeOfOneRouteIsNoWholeParse(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.Zones = []string{"north"}
	cfg.Seeds = []string{"10.0.0.1:1"}
	const configName = "main"
	machine := New(cfg, message.Member{Name: "proxy/p", Role: message.RoleProxy, Zone: "north", Address: "10.0.0.9:1", StartTime: 1})
	env := statemachine.NewEnv(1)
	version := 1
	applyChange := func() {
		version++
		machine.distribution.WriteConfiguration(env, configName, int64(version), largeConfiguration(version))
		machine.sendDue(env)
		env.Drain()
	}
	applyChange()
	encodingAllocations := testing.AllocsPerRun(20, func() { largeConfiguration(version) })
	allocations := testing.AllocsPerRun(20, applyChange) - encodingAllocations
	comment := qt.Commentf("%.0f allocations for one changed route of %d", allocations, largeRouteCount)
	c.Assert(allocations < largeRouteCount, qt.IsTrue, comment)
	c.Assert(machine.configurations[configName].latest.Version, qt.Equals, int64(version))
}
