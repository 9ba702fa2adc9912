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

// manyRoutes is about what a large site's configuration holds.
const manyRoutes = 1400

// routeFormat is a route of a configuration, and the comma behind it.
const routeFormat = `{"name":"r-%d","host":"host%d.example","prefix":"/path%d/","kind":"repeatable","service":"quoter",` +
	`"timeout_ms":%d},`

func largeConfiguration(version int) []byte {
	text := strings.Builder{}
	fmt.Fprintf(&text, `{"version":%d,"services":["quoter"],"routes":[`, version)
	for number := range manyRoutes {
		timeout := 1200
		if number == version%manyRoutes {
			timeout += version
		}
		fmt.Fprintf(&text, routeFormat, number, number%9, number, timeout)
	}
	return []byte(strings.TrimSuffix(text.String(), ",") + "]}")
}

// A proxy that follows changes of one route each does not parse the other routes again: when hundreds
// of changes come, its control goroutine still has to send heartbeats and answer probes.
func TestAChangeOfOneRouteIsNoWholeParse(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.Zones = []string{"north"}
	cfg.Seeds = []string{"10.0.0.1:1"}
	const configName = "main"
	m := New(cfg, message.Member{Name: "proxy/p", Role: message.RoleProxy, Zone: "north", Address: "10.0.0.9:1", StartTime: 1})
	env := statemachine.NewEnv(1)
	version := 1
	changes := func() {
		version++
		m.distribution.WriteConfiguration(env, configName, int64(version), largeConfiguration(version))
		m.sendDue(env)
		env.Drain()
	}
	changes()
	writing := testing.AllocsPerRun(20, func() { largeConfiguration(version) })
	allocations := testing.AllocsPerRun(20, changes) - writing
	c.Assert(allocations < manyRoutes, qt.IsTrue, qt.Commentf("%.0f allocations for one changed route of %d", allocations, manyRoutes))
	c.Assert(m.configurations[configName].latest.Version, qt.Equals, int64(version))
}
