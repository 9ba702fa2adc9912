package scaletest

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// Plan describes a hollow fleet.
type Plan struct {
	Proxies  int           `json:"proxies"`
	Zones    int           `json:"zones"`
	Services int           `json:"services"`
	Tenants  int           `json:"tenants"` // tenants of the usage reports; 0: no usage is reported
	Fanout   int64         `json:"fanout"`
	InForce  time.Duration `json:"in_force"` // Bounds.ConfigurationInForce, from which most timers are derived
	Share    int           `json:"share"`    // proxies in each process
	Folder   string        `json:"-"`
	Program  string        `json:"-"` // executable of the processes; empty: run all nodes in this process
}

// Settings returns the settings of one node of the plan.
func (p Plan) Settings(role, nodeName, voter, zone, address string, seeds []string) settings.Settings {
	cfg := settings.Default()
	cfg.Node, cfg.Voter, cfg.Zone, cfg.Address, cfg.Seeds = nodeName, voter, zone, address, seeds
	cfg.Voters = voterNames
	cfg.Zones = nil
	cfg.PreferredHolders = map[string]string{settings.ConfigLogLease: voterNames[0], settings.UsageLease: voterNames[2]}
	for number := range p.Zones {
		name := zoneName(number)
		cfg.Zones = append(cfg.Zones, name)
		cfg.PreferredHolders[name] = voterNames[number%len(voterNames)]
	}
	cfg.Limits.Fanout = p.Fanout
	if p.InForce > 0 {
		cfg.Bounds.ConfigurationInForce = p.InForce.Milliseconds()
	}
	if role != message.RoleConfigStore {
		cfg.HTTPAddress = address // announced to other nodes, but not bound: hollow nodes serve no HTTP
	}
	if role != message.RoleProxy {
		cfg.DataDirectory = filepath.Join(p.Folder, role+"-"+nodeName)
	}
	return cfg
}

// voterNames are the names of the voters, and of the nodes on which they run.
var voterNames = []string{"core-1", "core-2", "core-3"}

// zoneName returns the name of a zone by its index.
func zoneName(number int) string { return fmt.Sprintf("zone-%02d", number+1) }

// serviceName returns the name of a service by its index.
func serviceName(number int) string { return fmt.Sprintf("service-%03d", number+1) }

// proxyPart returns the specification of one proxy of the plan.
func (p Plan) proxySpec(number int, seeds []string) (NodeSpec, error) {
	address, err := freeAddress(fmt.Sprintf("127.88.%d.%d", 2+number/250, 1+number%250))
	if err != nil {
		return NodeSpec{}, err
	}
	name := fmt.Sprintf("edge-%05d", number+1)
	return NodeSpec{
		Role:     message.RoleProxy,
		Settings: p.Settings(message.RoleProxy, name, "", zoneName(number%p.Zones), address, seeds),
		Service:  serviceName(number % p.Services),
		Tenants:  p.Tenants,
	}, nil
}

// freeAddress returns an address with a free port of a loopback host. It binds the port to find it and
// releases it again, so that another process can take it in between.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errcode.Wrap("scaletest.address", errcode.ConnectionLost, err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// configurationBody returns a configuration with one route for each service. The version makes its
// content unique.
func configurationBody(services, tenants int, version int64) []byte {
	configuration := workload.Configuration{
		Note:     fmt.Sprintf("version %d", version),
		Routes:   []workload.Route{},
		Services: []string{},
		Tenants:  []workload.Tenant{},
	}
	for number := range services {
		name := serviceName(number)
		callers := []string{serviceName((number + 1) % services), serviceName((number + 7) % services)}
		configuration.Services = append(configuration.Services, name)
		configuration.Routes = append(configuration.Routes, workload.Route{
			Name:      "route-" + name,
			Service:   name,
			Path:      "/" + name,
			Match:     "prefix",
			Methods:   []string{http.MethodGet, http.MethodPost},
			Callers:   slices.Compact(callers),
			TimeoutMS: 3000,
		})
	}
	for number := range max(tenants, 1) {
		configuration.Tenants = append(configuration.Tenants, workload.Tenant{
			Name: fmt.Sprintf("tenant-%d", number),
			Keys: []string{fmt.Sprintf("key-%d-secret", number)},
		})
	}
	return configuration.JSON()
}
