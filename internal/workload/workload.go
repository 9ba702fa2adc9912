// Package workload describes the deployments that are tested: machines, zones, upstreams, tenants,
// request rates and configurations. The fleet of real processes and the simulator run the same
// descriptions. The deployments themselves are in deployments.go.
package workload

import (
	"fmt"
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
	Name               string
	Zones              []string
	Proxies            int
	Services           []Service
	Kinds              []loadgen.Kind
	Rate               float64       // requests a second
	KeyWithdrawalBound bool          // how long withdrawn keys may work has a bound
	DiskDelay          time.Duration // of one sync
	Cores              int           // core machines; 0 is three
	VoterCount         int64         // voters that the core processes discover; 0: the settings name them
	Writes             string        // the setting for competing writes of configurations; "": the default
	// CoreZones are the zones of the core machines, in order; none: the zones in turn.
	CoreZones []string
	// CoreLink and ProxyLink are the bytes a second that a machine's link carries each way; 0:
	// not bounded.
	CoreLink, ProxyLink int64
	// Tolerated is the loss that the placement of the voters must tolerate.
	Tolerated settings.Tolerated
}

// Vanish returns how long at the least the address of a machine that disappeared without closing its
// connections stays unused, before another machine gets it.
func (d Deployment) Vanish() time.Duration { return 150 * time.Millisecond }

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

// CallShare is the share of an upstream's runs that make a request to another upstream.
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

// Voters are the voters of a deployment whose settings name them.
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

// CoreZone returns the zone of a core machine, by its index among them.
func (d Deployment) CoreZone(index int) string {
	if index < len(d.CoreZones) {
		return d.CoreZones[index]
	}
	return d.Zones[index%len(d.Zones)]
}

// Settings returns the settings of one process of the deployment. Addresses and seeds are "ip:port":
// address is for the other processes, outside for the HTTP API. The data folder is that of a core
// process.
func (d Deployment) Settings(role, nodeName, voter, zone, address, outside string, seeds []string, data string) settings.Settings {
	cfg := settings.Default()
	cfg.Node, cfg.Voter, cfg.Voters, cfg.Zone, cfg.Zones = nodeName, voter, Voters, zone, d.Zones
	cfg.Address, cfg.HTTPAddress, cfg.Seeds, cfg.DataDirectory = address, outside, seeds, data
	cfg.PreferredHolders = map[string]string{settings.ConfigLogLease: Voters[0], settings.UsageLease: Voters[2]}
	for index, name := range d.Zones {
		cfg.PreferredHolders[name] = Voters[index%len(Voters)]
	}
	if d.VoterCount > 0 {
		cfg.Voter, cfg.Voters, cfg.VoterCount = "", settings.VoterNames(d.VoterCount), d.VoterCount
		cfg.PreferredHolders, cfg.Bootstrap = map[string]string{}, true
	}
	if d.Writes != "" {
		cfg.WritePolicy = d.Writes
	}
	cfg.Tolerated = d.Tolerated
	if d.KeyWithdrawalBound {
		cfg.Bounds.KeyWithdrawal = 5000
	}
	if role == message.RoleProxy {
		cfg.Voter, cfg.DataDirectory = "", ""
	}
	return cfg
}
