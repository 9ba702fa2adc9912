// Package fleet runs a whole deployment on one machine for tests: the three programs as real processes
// on loopback addresses of their own, stand-in upstreams, a stand-in usage collector, the load
// generator, and faults by signal. It signals only processes that it started.
//
// New writes the settings, Play runs one scenario from start to the checker's review.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
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
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Fleet is a running deployment and what it recorded.
type Fleet struct {
	Deployment workload.Deployment
	Bin        string
	Folder     string
	Base       time.Time
	Group      *goroutine.Group

	Processes []*Process
	Upstreams []*stubserver.StubServer

	collector net.Listener
	seeds     []string // addresses of the registries

	lock           sync.Mutex // guards the records below while the load runs
	reported       []checker.Reported
	writes         []checker.Write
	leaving        []checker.DrainStart
	connectedSince map[string]time.Duration // of the proxies that no signal has disturbed
	connected      []checker.Span           // of proxies, up to the first signal
	writeAnswers   map[string]int           // by status and code
	frozen         []checker.Span
	killed         []checker.Span
	uploads        []checker.CallerRequest // requests besides the load
}

// New prepares a fleet: settings, addresses and the stand-in collector. It starts no process.
func New(deployment workload.Deployment, bin, folder string) (*Fleet, error) {
	f := &Fleet{
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
	places := placesOf(deployment)
	if err := f.assignAddresses(places); err != nil {
		return nil, err
	}
	for _, at := range places {
		process, err := f.prepare(at)
		if err != nil {
			return nil, err
		}
		f.Processes = append(f.Processes, process)
	}
	server := &http.Server{Handler: http.HandlerFunc(f.collect)}
	f.Group.Go("fleet.collector", func(context.Context) {
		_ = server.Serve(collector) // it ends with the listener, which StopAll closes
	})
	return f, nil
}

// placement is where one process of the deployment runs.
type placement struct {
	role    string
	node    string
	voter   string
	zone    string
	host    string
	address string // for the other processes
}

// placesOf returns the core's processes on three hosts and each proxy on one of its own.
func placesOf(deployment workload.Deployment) []*placement {
	places := []*placement{}
	for index, voter := range workload.Voters {
		zone := deployment.CoreZone(index)
		host := fmt.Sprintf("127.77.1.%d", index+1)
		places = append(places,
			&placement{role: message.RoleRegistry, node: voter, voter: voter, zone: zone, host: host},
			&placement{role: message.RoleConfigStore, node: voter, voter: voter, zone: zone, host: host})
	}
	for number := range deployment.Proxies {
		places = append(places, &placement{
			role: message.RoleProxy,
			node: fmt.Sprintf("edge-%d", number+1),
			zone: deployment.Zones[number%len(deployment.Zones)],
			host: fmt.Sprintf("127.77.2.%d", number+1),
		})
	}
	return places
}

// assignAddresses gives each process an address; those of the registries are the seeds.
func (f *Fleet) assignAddresses(places []*placement) error {
	for _, at := range places {
		address, err := freeAddress(at.host)
		if err != nil {
			return err
		}
		at.address = address
		if at.role == message.RoleRegistry {
			f.seeds = append(f.seeds, address)
		}
	}
	return nil
}

// prepare writes the settings of one process.
func (f *Fleet) prepare(at *placement) (*Process, error) {
	outside := ""
	if at.role != message.RoleConfigStore {
		address, err := freeAddress(at.host)
		if err != nil {
			return nil, err
		}
		outside = address
	}
	name := filepath.Join(f.Folder, at.role+"-"+at.node)
	cfg := f.Deployment.Settings(at.role, at.node, at.voter, at.zone, at.address, outside, f.seeds, name)
	if at.role == message.RoleRegistry {
		cfg.Collector = "http://" + f.collector.Addr().String() + "/usage"
	}
	body, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, errcode.Wrap("fleet.settings", errcode.Internal, err)
	}
	if err := os.WriteFile(name+".json", body, 0o600); err != nil {
		return nil, errcode.Wrap("fleet.settings", errcode.DiskFault, err)
	}
	return &Process{Role: at.role, Node: at.node, HTTPAddress: outside, settings: name + ".json", log: name + ".log"}, nil
}

// freeAddress finds a free port of a loopback host by binding it and letting go.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errcode.Wrap("fleet.port", errcode.ConnectionLost, err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// since returns the time since the fleet was prepared.
func (f *Fleet) since() time.Duration { return time.Since(f.Base) }

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

// Until checks a condition at a steady interval, and reports whether it was met within the limit.
func (f *Fleet) Until(limit time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if condition() {
			return true
		}
		<-ticker.C
	}
	return false
}
