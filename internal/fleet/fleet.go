// Package fleet runs a complete deployment on one machine for tests: the three programs as real
// processes on separate loopback addresses, stub upstreams, a stub usage collector, the load generator,
// and faults injected by signals. It signals only processes that it started.
//
// New prepares a fleet and writes its settings files; Play runs one scenario, from the start of the
// processes to the checker's review.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Fleet is a deployment of local processes, with the record of its run.
type Fleet struct {
	Deployment workload.Deployment
	Bin        string    // folder of the programs
	Folder     string    // folder of the settings, logs and data
	Base       time.Time // start of the run, to which the times of the record are relative
	Group      *goroutine.Group

	Processes []*Process
	Upstreams []*stubserver.StubServer

	adjust        func(role string, cfg *settings.Settings)
	collector     net.Listener
	seedAddresses []string // addresses of the registries, at which the other processes join

	lock           sync.Mutex // guards the fields below while the load runs
	reported       []checker.Reported
	writes         []checker.Write
	drainStarts    []checker.DrainStart
	connectedSince map[string]time.Duration // by proxy, for those that were not signalled yet
	connected      []checker.Span           // intervals of proxies from MarkConnected to their first signal
	writeAnswers   map[string]int           // number of answers to writes, by status and error code
	frozen         []checker.Span           // intervals between SIGSTOP and SIGCONT, by HTTP address
	killed         []checker.Span           // kills of processes, by HTTP address, and of upstreams, by instance
	uploads        []checker.CallerRequest  // requests that a scenario sent in addition to the load
}

// New prepares a fleet: it assigns addresses, writes the settings files into a folder and starts the
// stub usage collector. It starts no process; bin is the folder of the programs.
func New(deployment workload.Deployment, bin, folder string) (*Fleet, error) {
	return NewAdjusted(deployment, bin, folder, func(string, *settings.Settings) {})
}

// NewAdjusted prepares a fleet as New does. adjust may change the settings of each process, given its role.
func NewAdjusted(deployment workload.Deployment, bin, folder string, adjust func(role string, cfg *settings.Settings)) (*Fleet, error) {
	f := &Fleet{
		adjust:         adjust,
		Deployment:     deployment,
		Bin:            bin,
		Folder:         folder,
		Base:           time.Now(),
		Group:          goroutine.New(),
		connectedSince: map[string]time.Duration{},
		writeAnswers:   map[string]int{},
	}
	collector, err := net.Listen("tcp", "127.77.3.1:0")
	if err != nil {
		return nil, errcode.Wrap("fleet.collector", errcode.ConnectionLost, err)
	}
	f.collector = collector
	placed := placements(deployment)
	if err := f.assignAddresses(placed); err != nil {
		return nil, err
	}
	for _, target := range placed {
		process, err := f.prepare(target)
		if err != nil {
			return nil, err
		}
		f.Processes = append(f.Processes, process)
	}
	server := &http.Server{Handler: http.HandlerFunc(f.collectUsage)}
	f.Group.Go("fleet.collector", func(context.Context) {
		_ = server.Serve(collector) // returns once StopAll closes the listener
	})
	return f, nil
}

// placement is the role, node, zone and addresses of one process of the deployment.
type placement struct {
	role    string
	node    string
	voter   string
	zone    string
	host    string
	address string // at which the other processes reach it
}

// placements returns the placements of all processes: the core processes on three hosts, a registry and
// a configuration store on each, and every proxy on a separate host.
func placements(deployment workload.Deployment) []*placement {
	placed := []*placement{}
	for index, voter := range workload.Voters {
		zone := deployment.CoreZone(index)
		host := fmt.Sprintf("127.77.1.%d", index+1)
		placed = append(placed,
			&placement{role: message.RoleRegistry, node: voter, voter: voter, zone: zone, host: host},
			&placement{role: message.RoleConfigStore, node: voter, voter: voter, zone: zone, host: host})
	}
	for number := range deployment.Proxies {
		placed = append(placed, &placement{
			role: message.RoleProxy,
			node: fmt.Sprintf("edge-%d", number+1),
			zone: deployment.Zones[number%len(deployment.Zones)],
			host: fmt.Sprintf("127.77.2.%d", number+1),
		})
	}
	return placed
}

// assignAddresses assigns an address to each process. Those of the registries become the seeds.
func (f *Fleet) assignAddresses(placed []*placement) error {
	for _, target := range placed {
		address, err := freeAddress(target.host)
		if err != nil {
			return err
		}
		target.address = address
		if target.role == message.RoleRegistry {
			f.seedAddresses = append(f.seedAddresses, address)
		}
	}
	return nil
}

// prepare writes the settings file of one process.
func (f *Fleet) prepare(placed *placement) (*Process, error) {
	httpAddress := ""
	if placed.role != message.RoleConfigStore {
		address, err := freeAddress(placed.host)
		if err != nil {
			return nil, err
		}
		httpAddress = address
	}
	name := filepath.Join(f.Folder, placed.role+"-"+placed.node)
	cfg := f.Deployment.Settings(placed.role, placed.node, placed.voter, placed.zone, placed.address, httpAddress, f.seedAddresses, name)
	if placed.role == message.RoleRegistry {
		cfg.Collector = "http://" + f.collector.Addr().String() + "/usage"
	}
	f.adjust(placed.role, &cfg)
	body, err := encodeSettings(cfg)
	if err != nil {
		return nil, errcode.Wrap("fleet.settings", errcode.Internal, err)
	}
	if err := os.WriteFile(name+".json", body, 0o600); err != nil {
		return nil, errcode.Wrap("fleet.settings", errcode.DiskFault, err)
	}
	return &Process{
		Role:         placed.role,
		Node:         placed.node,
		HTTPAddress:  httpAddress,
		settingsPath: name + ".json",
		logPath:      name + ".log",
	}, nil
}

// encodeSettings encodes settings without the bounds and limits that have their default, so that a build which does not
// know some of them reads the file too.
func encodeSettings(cfg settings.Settings) ([]byte, error) {
	text, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	defaultText, err := json.Marshal(settings.Default())
	if err != nil {
		return nil, err
	}
	file, defaults := map[string]any{}, map[string]any{}
	if err := errors.Join(json.Unmarshal(text, &file), json.Unmarshal(defaultText, &defaults)); err != nil {
		return nil, err
	}
	for _, section := range []string{"bounds", "limits"} {
		values, _ := file[section].(map[string]any)
		defaultValues, _ := defaults[section].(map[string]any)
		maps.DeleteFunc(values, func(key string, value any) bool { return value == defaultValues[key] })
	}
	return json.MarshalIndent(file, "", "  ")
}

// freeAddress returns an address with a free port of a loopback host. It binds the port to find it and
// releases it again, so that another process can take it in between.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errcode.Wrap("fleet.port", errcode.ConnectionLost, err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// sinceStart returns the time since New, to which the times of the record are relative.
func (f *Fleet) sinceStart() time.Duration { return time.Since(f.Base) }

// Of returns the processes of a role, one of message.RoleProxy, RoleRegistry and RoleConfigStore.
func (f *Fleet) Of(role string) []*Process {
	list := []*Process{}
	for _, process := range f.Processes {
		if process.Role == role {
			list = append(list, process)
		}
	}
	return list
}

// WaitUntil checks a condition every 20 ms and reports whether it was true within the limit.
func (f *Fleet) WaitUntil(limit time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		<-ticker.C
	}
	return false
}
