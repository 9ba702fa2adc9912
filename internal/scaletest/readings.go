package scaletest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/transport"
)

// read returns the processor time of the process and the counters of its nodes.
func (h *HollowFleet) read() *Reading {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // can't fail with these arguments
	reading := &Reading{
		At:        time.Since(h.startedAt),
		Processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		Node:      map[string]int64{},
	}
	sums := map[string]transport.Count{}
	for _, hollow := range h.nodes {
		for _, count := range hollow.pastCounts {
			addCount(sums, count)
		}
		if hollow.process == nil {
			continue
		}
		for _, count := range hollow.process.Transport.Counts() {
			addCount(sums, count)
		}
		for name, number := range hollow.process.Counters() {
			reading.Node[name] += number
		}
	}
	for _, count := range sums {
		reading.Counts = append(reading.Counts, count)
	}
	return reading
}

// readMemory returns the memory in use after a garbage collection.
func (h *HollowFleet) readMemory() *Reading {
	debug.FreeOSMemory()
	memory := runtime.MemStats{}
	runtime.ReadMemStats(&memory)
	return &Reading{Resident: residentBytes(), Live: int64(memory.HeapAlloc + memory.StackInuse)}
}

// residentBytes returns the resident memory of this process, or 0 if it can't be read.
func residentBytes() int64 {
	body, err := os.ReadFile(filepath.Join("/proc", "self", "statm"))
	if err != nil {
		return 0
	}
	size, pages := int64(0), int64(0)
	if _, err := fmt.Sscan(strings.TrimSpace(string(body)), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// addCount adds a count to the sum of the same protocol, direction and type of message.
func addCount(sums map[string]transport.Count, count transport.Count) {
	key := fmt.Sprintf("%s %t %s", count.Protocol, count.Outbound, count.Kind)
	sum := sums[key]
	sums[key] = transport.Count{
		Protocol: count.Protocol,
		Outbound: count.Outbound,
		Kind:     count.Kind,
		Messages: sum.Messages + count.Messages,
		Bytes:    sum.Bytes + count.Bytes,
	}
}

// newState returns an empty state.
func newState() *State { return &State{ProxyCounts: map[int64]int{}, LastArrivals: map[int64]int64{}} }

// state returns the combined state of the proxies of this process.
func (h *HollowFleet) state() *State {
	state := newState()
	proxies, depths := 0, 0
	for _, hollow := range h.nodes {
		if hollow.spec.Role != message.RoleProxy {
			continue
		}
		proxies++
		hollow.addMembershipView(state, proxies == 1)
		status, err := hollow.status()
		if err != nil {
			continue
		}
		state.Depth, depths = max(state.Depth, len(status.Path)), depths+len(status.Path)
		state.ParentChanges += status.Moves
		for _, age := range status.AgesMS {
			state.MaxAgeMS = max(state.MaxAgeMS, age)
		}
	}
	if proxies > 0 {
		state.MeanDepth = float64(depths) / float64(proxies)
	}
	h.arrivals.addTo(state)
	return state
}

// addMembershipView adds the content of this proxy's snapshot to a state: its readiness, and the numbers
// of upstreams and proxies if they are the lowest so far. first is true for the first proxy of a state.
func (n *hollowNode) addMembershipView(state *State, first bool) {
	n.lock.Lock()
	snapshot := n.snapshot
	n.lock.Unlock()
	upstreams, proxies := 0, 0
	if snapshot != nil {
		for _, list := range snapshot.Upstreams {
			upstreams += len(list)
		}
		proxies = snapshot.ProxyCount
		if snapshot.Ready(n.goroutines.Now(), n.spec.Settings.MaxAgeReady()) {
			state.Ready++
		}
	}
	if first || upstreams < state.Upstreams {
		state.Upstreams = upstreams
	}
	if first || proxies < state.Proxies {
		state.Proxies = proxies
	}
}

// status queries the status of a proxy's control machine.
func (n *hollowNode) status() (proxy.Status, error) {
	if n.process == nil {
		return proxy.Status{}, errNodeDown
	}
	requestContext, cancel := context.WithTimeout(n.goroutines.Context, n.spec.Settings.HolderCooldown())
	defer cancel()
	return queryControl[proxy.Status](requestContext, n.process, proxy.ReadStatus{})
}

// errNodeDown is returned for a node that was killed and not restarted.
var errNodeDown = errors.New("the node is down: it was killed and not restarted")
