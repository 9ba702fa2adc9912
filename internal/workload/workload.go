// Package workload has the two deployments that are tested as data: machines, zones, upstreams,
// tenants, rates and configurations, for the fleet runner and the simulator.
package workload

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// Service is a kind of upstream.
type Service struct {
	Name   string
	Count  int           // instances
	Slots  int64         // of each instance
	Work   time.Duration // of one request
	Load   bool          // its instances announce their load
	Closes bool          // its instances close their connection after each answer
}

// Deployment is a fleet and the traffic on it.
type Deployment struct {
	Name       string
	Zones      []string
	Proxies    int
	Services   []Service
	Kinds      []loadgen.Kind
	Rate       float64       // requests a second
	Withdrawal bool          // withdrawn keys have a bound
	DiskDelay  time.Duration // of one sync
	Cores      int           // core machines; 0 is three
	VoterCount int64         // the processes find their voters; 0: the settings name them
	Writes     string        // how the configuration store takes orders; "": by the default
	// CoreZones are the zones of the core machines, in order; none: the zones in turn.
	CoreZones []string
	// CoreLink and ProxyLink are the bytes a second that a machine's link carries each way; 0:
	// not bounded.
	CoreLink, ProxyLink int64
	// Tolerated is what the voters are placed to outlive.
	Tolerated settings.Tolerated
}

// Umuyoboro is the deployment that sends patient messages in Kigali.
func Umuyoboro() Deployment {
	return Deployment{
		Name:      "umuyoboro",
		Zones:     []string{"gasabo", "kicukiro", "nyarugenge"},
		Proxies:   10,
		Rate:      540,
		DiskDelay: 2 * time.Millisecond,
		Services: []Service{
			{Name: "dispatch", Count: 7, Slots: 24, Work: 25 * time.Millisecond},
			{Name: "registry", Count: 3, Slots: 32, Work: 10 * time.Millisecond, Closes: true},
		},
		Kinds: []loadgen.Kind{
			{
				Route: "send", Service: "dispatch", Method: http.MethodPost, Path: "/messages", Caller: "clinic",
				Once: true, Body: 400, Weight: 5, Calls: "contacts",
			},
			{
				Route: "sent", Service: "dispatch", Method: http.MethodGet, Path: "/messages/state", Caller: "nurse",
				Weight: 3, Calls: "templates",
			},
			{
				Route: "contacts", Service: "registry", Method: http.MethodPost, Path: "/contacts", Caller: "clinic",
				Once: true, Body: 4000, Weight: 1,
			},
			{
				Route: "templates", Service: "registry", Method: http.MethodGet, Path: "/templates/list", Caller: "clinic",
				Weight: 1,
			},
		},
	}
}

// Jendela is the deployment that prices windows in the Klang Valley.
func Jendela() Deployment {
	return Deployment{
		Name:       "jendela",
		Zones:      []string{"klang", "petaling", "shah-alam"},
		Proxies:    11,
		Rate:       510,
		Withdrawal: true,
		DiskDelay:  20 * time.Millisecond,
		Services: []Service{
			{Name: "quoting", Count: 5, Slots: 24, Work: 20 * time.Millisecond, Load: true},
			{Name: "booking", Count: 3, Slots: 24, Work: 25 * time.Millisecond, Load: true, Closes: true},
			{Name: "factory", Count: 3, Slots: 24, Work: 30 * time.Millisecond, Load: true},
		},
		Kinds: []loadgen.Kind{
			{
				Route: "quote", Service: "quoting", Method: http.MethodGet, Path: "/quotes/window", Caller: "showroom",
				Weight: 5, Calls: "catalogue",
			},
			{
				Route: "deposit", Service: "booking", Method: http.MethodPost, Path: "/deposits", Caller: "showroom",
				Once: true, Body: 300, Weight: 2, Calls: "order",
			},
			{
				Route: "order", Service: "factory", Method: http.MethodPost, Path: "/orders", Caller: "showroom",
				Once: true, Body: 600, Weight: 1,
			},
			{
				Route: "catalogue", Service: "factory", Method: http.MethodGet, Path: "/catalogue/frames", Caller: "showroom",
				Weight: 2,
			},
		},
	}
}

// Vanish is how long an address is free at the least after a machine disappeared without closing its
// connections, before another machine is given it.
func (d Deployment) Vanish() time.Duration { return 150 * time.Millisecond }

// Named returns a deployment by name. "small" is Umuyoboro with few machines, for quick runs;
// the ones ending in "-platform" are set up as on the users' platform, "jendela-narrow" with the
// narrow links of their grown site besides;
// "voters-3" and "voters-5" are small ones whose core groups find their voters, "voters-3-4" has a
// core machine more than voters, and "voters-zones" two core machines a zone, for three voters of
// which a lost zone leaves a majority.
func Named(name string) (Deployment, bool) {
	switch name {
	case "umuyoboro":
		return Umuyoboro(), true
	case "jendela":
		return Jendela(), true
	case "umuyoboro-platform":
		return onPlatform(Umuyoboro(), 3), true
	case "jendela-platform":
		return onPlatform(Jendela(), 5), true
	case "jendela-narrow":
		narrow := onPlatform(Jendela(), 5)
		narrow.Name, narrow.CoreLink, narrow.ProxyLink = name, narrowCoreLink, narrowProxyLink
		return narrow, true
	case "small":
		small := Umuyoboro()
		small.Name, small.Proxies, small.Rate = "small", 3, 120
		small.Services[0].Count, small.Services[1].Count = 3, 2
		return small, true
	case "voters-3", "voters-5", "voters-3-4", "voters-zones":
		discovered, _ := Named("small")
		discovered.Name, discovered.Cores, discovered.VoterCount = name, 3, 3
		switch name {
		case "voters-5":
			discovered.Cores, discovered.VoterCount = 5, 5
		case "voters-3-4":
			discovered.Cores = 4
		case "voters-zones":
			discovered.Cores, discovered.Tolerated = 6, settings.Tolerated{Zones: 1}
			for _, zone := range discovered.Zones {
				discovered.CoreZones = append(discovered.CoreZones, zone, zone)
			}
		}
		return discovered, true
	}
	return Deployment{}, false
}

// The links of the users' grown site, in bytes a second: 86 and 2.3 Mbit/s.
const (
	narrowCoreLink  = 86e6 / 8
	narrowProxyLink = 2.3e6 / 8
)

// onPlatform is a deployment with the settings that the users' platform gives: the core
// processes find their voters, and the highest version holds.
func onPlatform(d Deployment, voters int) Deployment {
	d.Name += "-platform"
	d.Cores, d.VoterCount, d.Writes = voters, int64(voters), settings.WritesHighest
	return d
}

// Tenants returns the deployment's eight tenants, each with a key.
func (d Deployment) Tenants() []loadgen.Tenant {
	tenants := []loadgen.Tenant{}
	for number := range 8 {
		tenants = append(tenants, loadgen.Tenant{
			Name: fmt.Sprintf("tenant-%d", number),
			Key:  fmt.Sprintf("key-%s-%d-secret", d.Name, number),
		})
	}
	return tenants
}

// Configuration returns a configuration for some tenants; more is the number of filler routes.
func (d Deployment) Configuration(tenants []loadgen.Tenant, more int) []byte {
	services, routes, listed := []string{}, []map[string]any{}, []map[string]any{}
	for _, service := range d.Services {
		services = append(services, service.Name)
	}
	for _, tenant := range tenants {
		listed = append(listed, map[string]any{"name": tenant.Name, "keys": []string{tenant.Key}})
	}
	for _, kind := range d.Kinds {
		routes = append(routes, map[string]any{
			"name":       kind.Route,
			"service":    kind.Service,
			"path":       kind.Path,
			"methods":    []string{kind.Method},
			"callers":    append(d.callersOf(kind.Route), kind.Caller),
			"once":       kind.Once,
			"timeout_ms": 3000,
		})
	}
	for number := range more {
		routes = append(routes, map[string]any{
			"name":    fmt.Sprintf("more-%d", number),
			"service": services[0],
			"path":    fmt.Sprintf("/more/%d", number),
			"methods": []string{http.MethodGet},
			"callers": []string{"*"},
		})
	}
	body, err := json.Marshal(map[string]any{"services": services, "tenants": listed, "routes": routes})
	if err != nil {
		panic("workload: " + err.Error())
	}
	return body
}

// CallShare is the share of an upstream's runs that make a further request.
const CallShare = 0.3

// Kind returns a kind of request by its route.
func (d Deployment) Kind(route string) (loadgen.Kind, bool) {
	for _, kind := range d.Kinds {
		if kind.Route == route {
			return kind, true
		}
	}
	return loadgen.Kind{}, false
}

// callersOf lists the services whose upstreams call a route.
func (d Deployment) callersOf(route string) []string {
	callers := []string{}
	for _, kind := range d.Kinds {
		if kind.Calls == route {
			callers = append(callers, kind.Service)
		}
	}
	return callers
}

// Voters are the voters of the core.
var Voters = []string{"core-1", "core-2", "core-3"}

// CoreNames returns the names of the core machines.
func (d Deployment) CoreNames() []string {
	if d.Cores == 0 {
		return Voters
	}
	names := []string{}
	for number := range d.Cores {
		names = append(names, fmt.Sprintf("core-%d", number+1))
	}
	return names
}

// CoreZone is the zone of a core machine, by its place among them.
func (d Deployment) CoreZone(index int) string {
	if index < len(d.CoreZones) {
		return d.CoreZones[index]
	}
	return d.Zones[index%len(d.Zones)]
}

// Settings returns the settings of one process of the deployment. Addresses and seeds are "ip:port",
// data is the folder of a core process.
func (d Deployment) Settings(role, nodeName, voter, zone, address, outside string, seeds []string, data string) settings.Settings {
	cfg := settings.Default()
	cfg.Node, cfg.Voter, cfg.Voters, cfg.Zone, cfg.Zones = nodeName, voter, Voters, zone, d.Zones
	cfg.Address, cfg.Outside, cfg.Seeds, cfg.Data = address, outside, seeds, data
	cfg.Active = map[string]string{settings.ConfigLogTag: Voters[0], settings.UsageTag: Voters[2]}
	for index, name := range d.Zones {
		cfg.Active[name] = Voters[index%len(Voters)]
	}
	if d.VoterCount > 0 {
		cfg.Voter, cfg.Voters, cfg.VoterCount = "", settings.VoterNames(d.VoterCount), d.VoterCount
		cfg.Active, cfg.Found = map[string]string{}, true
	}
	if d.Writes != "" {
		cfg.Writes = d.Writes
	}
	cfg.Tolerated = d.Tolerated
	if d.Withdrawal {
		cfg.Bounds.KeyWithdrawal = 5000
	}
	if role == message.RoleProxy {
		cfg.Voter, cfg.Data = "", ""
	}
	return cfg
}
