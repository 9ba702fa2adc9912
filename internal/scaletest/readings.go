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

// read reads what the process has spent and its nodes have passed.
func (h *HollowFleet) read() *Reading {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // it knows no fault for these arguments
	reading := &Reading{
		At:        time.Since(h.startedAt),
		Processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		Node:      map[string]int64{},
	}
	sums := map[string]transport.Count{}
	for _, member := range h.nodes {
		for _, passed := range member.pastCounts {
			addCount(sums, passed)
		}
		if member.process == nil {
			continue
		}
		for _, passed := range member.process.Transport.Counts() {
			addCount(sums, passed)
		}
		for name, number := range member.process.Counters() {
			reading.Node[name] += number
		}
	}
	for _, passed := range sums {
		reading.Counts = append(reading.Counts, passed)
	}
	return reading
}

// weigh reads the memory in use; it collects garbage first.
func (h *HollowFleet) weigh() *Reading {
	debug.FreeOSMemory()
	memory := runtime.MemStats{}
	runtime.ReadMemStats(&memory)
	return &Reading{Resident: resident(), Live: int64(memory.HeapAlloc + memory.StackInuse)}
}

// resident returns the bytes of memory that the process has.
func resident() int64 {
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

// addCount adds a count to the sum of its protocol, direction and kind of message.
func addCount(sums map[string]transport.Count, passed transport.Count) {
	key := fmt.Sprintf("%s %t %s", passed.Protocol, passed.Outbound, passed.Kind)
	sum := sums[key]
	sums[key] = transport.Count{
		Protocol: passed.Protocol,
		Outbound: passed.Outbound,
		Kind:     passed.Kind,
		Messages: sum.Messages + passed.Messages,
		Bytes:    sum.Bytes + passed.Bytes,
	}
}

// newState returns an empty state.
func newState() *State { return &State{Reached: map[int64]int{}, LastAt: map[int64]int64{}} }

// state asks the proxies what they know.
func (h *HollowFleet) state() *State {
	state := newState()
	proxies, depths := 0, 0
	for _, member := range h.nodes {
		if member.part.Role != message.RoleProxy {
			continue
		}
		proxies++
		member.addKnown(state, proxies == 1)
		status, err := member.status()
		if err != nil {
			continue
		}
		state.Depth, depths = max(state.Depth, len(status.Path)), depths+len(status.Path)
		state.Moves += status.Moves
		for _, age := range status.AgesMS {
			state.Age = max(state.Age, age)
		}
	}
	if proxies > 0 {
		state.MeanDepth = float64(depths) / float64(proxies)
	}
	h.arrivals.addTo(state)
	return state
}

// addKnown adds what this proxy knows of the fleet: of counts the state has the least of any proxy.
func (n *hollowNode) addKnown(state *State, first bool) {
	n.lock.Lock()
	snapshot := n.snapshot
	n.lock.Unlock()
	upstreams, proxies := 0, 0
	if snapshot != nil {
		for _, list := range snapshot.Upstreams {
			upstreams += len(list)
		}
		proxies = snapshot.ProxyCount
		if snapshot.Ready(n.goroutines.Now(), n.part.Settings.MaxAgeReady()) {
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

// status asks a proxy's control machine for its status.
func (n *hollowNode) status() (proxy.Status, error) {
	if n.process == nil {
		return proxy.Status{}, errNodeDown
	}
	limited, cancel := context.WithTimeout(n.goroutines.Context, n.part.Settings.HolderCooldown())
	defer cancel()
	return ask[proxy.Status](limited, n.process, proxy.ReadStatus{})
}

// errNodeDown says that a node was killed and not started again.
var errNodeDown = errors.New("the node is down")
