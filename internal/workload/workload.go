// Package workload describes the deployments under test: machines, zones, upstreams, tenants, request
// rates and configurations. The fleet of real processes and the simulator use the same descriptions.
// The deployments are defined in deployments.go.
package workload

import (
	"fmt"
	"time"

	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// Service describes the upstreams of one service.
type Service struct {
	Name   string
	Count  int           // number of instances
	Slots  int64         // slots of each instance
	Work   time.Duration // duration of one request
	Load   bool          // its instances announce their load
	Closes bool          // its instances close their connection after each answer
}

// Deployment describes a fleet and its traffic.
type Deployment struct {
	Name               string
	Zones              []string
	Proxies            int
	Services           []Service
	Kinds              []loadgen.Kind
	Rate               float64       // requests a second
	KeyWithdrawalBound bool          // Bounds.KeyWithdrawal is set, so that withdrawn keys are rejected in time
	DiskDelay          time.Duration // duration of one disk sync
	Cores              int           // number of core machines; 0: the three of Voters
	VoterCount         int64         // number of voters that the core processes discover; 0: the settings name the voters
	Writes             string        // policy for competing writes of a configuration; "": the default
	// CoreZones are the zones of the core machines, by index; machines without an entry are distributed
	// over Zones round robin.
	CoreZones []string
	// CoreLink and ProxyLink are the bandwidths of a machine's link in each direction, in bytes a
	// second; 0: unlimited.
	CoreLink, ProxyLink int64
	// Tolerated is the loss of machines or zones that the placement of the voters must tolerate.
	Tolerated settings.Tolerated
}

// Vanish returns the minimum time for which the address of a machine that disappeared without closing
// its connections stays unused before another machine gets it.
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

// CallShare is the share of runs that make a request to another upstream, among the kinds of request
// with Calls set.
const CallShare = 0.3

// Kind returns the kind of request with a route, and whether there is one.
func (d Deployment) Kind(route string) (loadgen.Kind, bool) {
	for _, kind := range d.Kinds {
		if kind.Route == route {
			return kind, true
		}
	}
	return loadgen.Kind{}, false
}

// callersOf returns the services whose upstreams call a route.
func (d Deployment) callersOf(route string) []string {
	callers := []string{}
	for _, kind := range d.Kinds {
		if kind.Calls == route {
			callers = append(callers, kind.Service)
		}
	}
	return callers
}

// Voters are the names of the voters of a deployment whose settings list them.
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

// CoreZone returns the zone of a core machine by its index.
func (d Deployment) CoreZone(index int) string {
	if index < len(d.CoreZones) {
		return d.CoreZones[index]
	}
	return d.Zones[index%len(d.Zones)]
}

// Settings returns the settings of one process of the deployment. Addresses and seeds have the form
// "ip:port": address is the one for the other processes, httpAddress that of the HTTP API. data is the
// data directory, which only core processes use.
func (d Deployment) Settings(role, nodeName, voter, zone, address, httpAddress string, seeds []string, data string) settings.Settings {
	cfg := settings.Default()
	cfg.Node, cfg.Voter, cfg.Voters, cfg.Zone, cfg.Zones = nodeName, voter, Voters, zone, d.Zones
	cfg.Address, cfg.HTTPAddress, cfg.Seeds, cfg.DataDirectory = address, httpAddress, seeds, data
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
