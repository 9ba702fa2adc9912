// Package fleet runs a whole fleet on one machine for tests: the three programs as real processes on
// loopback addresses of their own, stand-in upstreams, a stand-in collector, the load generator, and
// faults by signal. It ends only what it started.
//
// fleet.go prepares a fleet, process.go runs its processes, upstreams.go its upstreams, client.go
// talks to it over HTTP, record.go gathers what the checker needs; scenarios.go has what is done while
// the load runs, play.go a whole run.
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

	lock      sync.Mutex
	reported  []checker.Reported
	writes    []checker.Write
	leaving   []checker.Leaving
	collector net.Listener
	seeds     []string
	watched   map[string]time.Duration
	spans     []checker.Span
	answers   map[string]int
	held      []checker.Span
	hurt      []checker.Span
	uploads   []checker.Asked // asked besides the load
}

// New prepares a fleet: folders, settings, addresses and the stand-in collector. Nothing is started.
func New(deployment workload.Deployment, bin, folder string) (*Fleet, error) {
	f := &Fleet{
		Deployment: deployment,
		Bin:        bin,
		Folder:     folder,
		Base:       time.Now(),
		Group:      goroutine.New(),
		watched:    map[string]time.Duration{},
		answers:    map[string]int{},
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

// place is where one process of the deployment runs.
type place struct {
	role    string
	node    string
	voter   string
	zone    string
	host    string
	address string // for the other processes
}

// placesOf returns the core's processes on three hosts and each proxy on one of its own.
func placesOf(deployment workload.Deployment) []*place {
	places := []*place{}
	for index, voter := range workload.Voters {
		zone := deployment.CoreZone(index)
		host := fmt.Sprintf("127.77.1.%d", index+1)
		places = append(places,
			&place{role: message.RoleRegistry, node: voter, voter: voter, zone: zone, host: host},
			&place{role: message.RoleConfigStore, node: voter, voter: voter, zone: zone, host: host})
	}
	for number := range deployment.Proxies {
		places = append(places, &place{
			role: message.RoleProxy,
			node: fmt.Sprintf("edge-%d", number+1),
			zone: deployment.Zones[number%len(deployment.Zones)],
			host: fmt.Sprintf("127.77.2.%d", number+1),
		})
	}
	return places
}

// assignAddresses gives each process an address; those of the registries are the seeds.
func (f *Fleet) assignAddresses(places []*place) error {
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
func (f *Fleet) prepare(at *place) (*Process, error) {
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
	return &Process{Role: at.role, Node: at.node, Outside: outside, settings: name + ".json", log: name + ".log"}, nil
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

func (f *Fleet) since() time.Duration { return time.Since(f.Base) }

// Of returns the processes of a role.
func (f *Fleet) Of(role string) []*Process {
	list := []*Process{}
	for _, process := range f.Processes {
		if process.Role == role {
			list = append(list, process)
		}
	}
	return list
}

// Until waits for a condition, checked at a steady interval, and reports whether it held within
// the limit.
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
