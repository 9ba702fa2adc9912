// Package scaletest measures what a fleet's size costs. It runs hollow fleets: the real control
// machines of proxies, registries and configstores, with their connections, datagrams and disks, but
// no requests. Many proxies share a process; a core voter has a process of its own, so that its
// processor time stands alone.
//
// hollow.go is what runs in one process, fleet.go lays a fleet out over processes, measure.go
// measures one size after the other, slopes.go fits how a measure grows, table.go prints.
package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"beaconvane/internal/backend"
	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

// Part is one node of a hollow fleet.
type Part struct {
	Role     string            `json:"role"`
	Settings settings.Settings `json:"config"`
	Service  string            `json:"service"` // of the one upstream beside a proxy
	Tenants  int               `json:"tenants"` // whose requests a proxy counts, each round
}

// Command is what a hollow fleet can be asked to do.
type Command string

// Commands of a hollow fleet.
const (
	CommandRead    Command = "read"    // what was spent and passed
	CommandWeigh   Command = "weigh"   // memory in use, after a collection
	CommandState   Command = "state"   // what the proxies know
	CommandReached Command = "reached" // where each version is in force
	CommandWrite   Command = "write"   // write a configuration, at a registry
	CommandEnd     Command = "end"     // end one node as a kill does
	CommandBegin   Command = "begin"   // start it again
)

// Request is one question to a hollow fleet.
type Request struct {
	Command Command `json:"command"`
	Index   int     `json:"index"` // of the node, for CommandWrite, CommandEnd and CommandBegin
	Version int64   `json:"version"`
	Body    []byte  `json:"body"`
}

// Reading is what a hollow fleet has spent and passed since it began; all but the memory only
// grows.
type Reading struct {
	At        time.Duration     `json:"at"`
	Processor time.Duration     `json:"processor"`
	Resident  int64             `json:"resident"` // bytes
	Live      int64             `json:"live"`     // bytes of heap in use after a collection, and of stacks
	Counts    []transport.Count `json:"counts"`
	Node      map[string]int64  `json:"node"` // sums of the nodes' own counters
}

// State is what the proxies of a hollow fleet know: of counts the least of any proxy.
type State struct {
	Ready     int             `json:"ready"`
	Upstreams int             `json:"upstreams"`
	Proxies   int             `json:"proxies"`
	Depth     int             `json:"depth"` // relays on the longest path of updates
	MeanDepth float64         `json:"mean_depth"`
	Age       int64           `json:"age_ms"`  // of the stalest topic of any proxy
	Moves     int64           `json:"moves"`   // changes of parent, all proxies
	Reached   map[int64]int   `json:"reached"` // proxies by version
	LastAt    map[int64]int64 `json:"last_at"` // unix nanoseconds, by version
}

// Answer is a hollow fleet's response; Fault is empty where all went well.
type Answer struct {
	Reading *Reading `json:"reading,omitempty"`
	State   *State   `json:"state,omitempty"`
	Fault   string   `json:"fault,omitempty"`
}

// hollowNode is one node of a hollow fleet.
type hollowNode struct {
	part       Part
	goroutines *goroutine.Group
	process    *node.Node
	lock       sync.Mutex
	snapshot   *proxy.Snapshot
	version    int64
	gone       map[string]transport.Count // of earlier lives
}

// HollowFleet is the share of a fleet that runs in one process.
type HollowFleet struct {
	nodes     []*hollowNode
	startedAt time.Time
	lock      sync.Mutex
	reached   map[int64]int
	lastAt    map[int64]int64
}

// NewHollowFleet starts the nodes of a process.
func NewHollowFleet(parts []Part) (*HollowFleet, error) {
	t := &HollowFleet{startedAt: time.Now(), reached: map[int64]int{}, lastAt: map[int64]int64{}}
	for _, part := range parts {
		held := &hollowNode{part: part, gone: map[string]transport.Count{}}
		t.nodes = append(t.nodes, held)
		if err := t.begin(held); err != nil {
			t.Close()
			return nil, err
		}
	}
	return t, nil
}

func (t *HollowFleet) begin(held *hollowNode) error {
	members := goroutine.New()
	process := node.New(held.part.Settings, held.part.Role, members)
	process.Log = logr.Discard()
	held.goroutines, held.process = members, process
	self := node.Self(held.part.Settings, held.part.Role)
	if held.part.Role == message.RoleProxy {
		tracker := frontend.New(held.part.Settings, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
		process.OnPublish(func(snapshot any) {
			current, isSnapshot := snapshot.(*proxy.Snapshot)
			if !isSnapshot {
				panic(fmt.Sprintf("scaletest: a proxy published %T", snapshot)) // a programming error
			}
			tracker.UpdateSnapshot(members.Now(), current)
			t.shown(held, current)
		})
		if err := process.Run(proxy.New(held.part.Settings, self), nil); err != nil {
			return err
		}
		members.Go("scaletest.upstream", func(ctx context.Context) { announce(ctx, held.part, process) })
		if held.part.Tenants > 0 {
			members.Go("scaletest.count", func(ctx context.Context) { count(ctx, held.part, process) })
		}
		return nil
	}
	return process.RunFromDisk(func(snapshot []byte, records [][]byte) (node.DiskMachine, error) {
		if held.part.Role == message.RoleRegistry {
			return registry.New(held.part.Settings, self, snapshot, records)
		}
		return configstore.New(held.part.Settings, self, snapshot, records)
	})
}

// ask asks a node's control machine, and returns its answer in the type that this question has.
func ask[T any](ctx context.Context, process *node.Node, question any) (T, error) {
	var none T
	answered, err := process.Request(ctx, question)
	if err != nil {
		return none, err
	}
	answer, isWanted := answered.(T)
	if !isWanted {
		return none, errcode.Wrap("scaletest.ask", errcode.Internal, fmt.Errorf("%T was answered by %T", question, answered))
	}
	return answer, nil
}

// announce stands for the one upstream beside a proxy. Its address is the proxy's own, so that each
// upstream has one of its own and probes are answered.
func announce(ctx context.Context, part Part, process *node.Node) {
	registration := message.Registration{
		Service:     part.Service,
		Instance:    part.Settings.Node,
		Incarnation: time.Now().UnixNano(),
		Address:     part.Settings.Address,
		Zone:        part.Settings.Zone,
		Slots:       16,
		State:       message.StateReady,
	}
	ticker := time.NewTicker(part.Settings.HeartbeatEvery())
	defer ticker.Stop()
	for {
		process.Notify(proxy.Announced{Registration: registration})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// count counts usage as a proxy under load does: some requests in each round.
func count(ctx context.Context, part Part, process *node.Node) {
	ticker := time.NewTicker(part.Settings.CountEvery())
	defer ticker.Stop()
	counts := map[int64]map[string]int64{}
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		asked, cancel := context.WithTimeout(ctx, part.Settings.HeartbeatEvery())
		sealedBelow, err := ask[int64](asked, process, proxy.ReadSealed{})
		cancel()
		if err != nil {
			continue
		}
		current := time.Now().UnixNano() / int64(part.Settings.UsageWindow())
		if counts[current] == nil {
			counts[current] = map[string]int64{}
		}
		counts[current][fmt.Sprintf("tenant-%d", round%part.Tenants)]++
		counted := proxy.UsageCounted{Closed: current}
		for window := range counts {
			if window < sealedBelow || window < current-4 {
				delete(counts, window)
			}
		}
		for window := current - 4; window <= current; window++ {
			if held, open := counts[window]; open {
				copied := map[string]int64{}
				for tenant, number := range held {
					copied[tenant] = number
				}
				counted.Usage = append(counted.Usage, message.UsageCount{
					Window: window,
					Counts: copied,
					Open:   map[string]int64{"tenant-0": 1},
				})
			}
		}
		process.Notify(counted)
	}
}

// shown records when each version first came into force here.
func (t *HollowFleet) shown(held *hollowNode, snapshot *proxy.Snapshot) {
	held.lock.Lock()
	defer held.lock.Unlock()
	held.snapshot = snapshot
	for _, configuration := range snapshot.Configurations {
		t.lock.Lock()
		for ; held.version < configuration.Version; held.version++ {
			t.reached[held.version+1]++
			t.lastAt[held.version+1] = time.Now().UnixNano()
		}
		t.lock.Unlock()
	}
}

// end stops a node as a kill does: nobody is told.
func (t *HollowFleet) end(held *hollowNode) {
	if held.process == nil || held.process.Transport == nil {
		return
	}
	for _, passed := range held.process.Transport.Counts() {
		merge(held.gone, passed)
	}
	held.process.Transport.Close()
	held.goroutines.Stop(held.part.Settings.HolderRest())
	held.lock.Lock()
	held.snapshot, held.process = nil, nil
	held.lock.Unlock()
}

// Close ends all nodes.
func (t *HollowFleet) Close() {
	for _, held := range t.nodes {
		t.end(held)
	}
}

func merge(sums map[string]transport.Count, passed transport.Count) {
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

// Do answers one question.
func (t *HollowFleet) Do(request Request) Answer {
	answer, err := t.do(request)
	if err != nil {
		answer.Fault = err.Error()
	}
	return answer
}

func (t *HollowFleet) do(request Request) (Answer, error) {
	if request.Index < 0 || request.Index >= len(t.nodes) {
		return Answer{}, errcode.Wrap("scaletest.do", errcode.ConfigBadValue, fmt.Errorf("no part %d", request.Index))
	}
	held := t.nodes[request.Index]
	switch request.Command {
	case CommandRead:
		return Answer{Reading: t.read()}, nil
	case CommandWeigh:
		return Answer{Reading: t.weigh()}, nil
	case CommandState:
		return Answer{State: t.state()}, nil
	case CommandReached:
		return Answer{State: t.reachedBy(&State{Reached: map[int64]int{}, LastAt: map[int64]int64{}})}, nil
	case CommandWrite:
		return Answer{}, held.write(request)
	case CommandEnd:
		t.end(held)
		return Answer{}, nil
	case CommandBegin:
		return Answer{}, t.begin(held)
	}
	return Answer{}, errcode.Wrap("scaletest.do", errcode.ConfigBadValue, fmt.Errorf("no command %q", request.Command))
}

// write writes a configuration through this node, a registry.
func (n *hollowNode) write(request Request) error {
	limited, cancel := context.WithTimeout(n.goroutines.Context, n.part.Settings.InForceWait()*2)
	defer cancel()
	write := registry.WriteConfiguration{ConfigName: n.part.Settings.ConfigNames[0], Version: request.Version, Body: request.Body,
		Check: registry.CheckConfiguration(n.part.Settings, request.Body)}
	answer, err := ask[registry.Answer](limited, n.process, write)
	if err != nil {
		return err
	}
	if answer.Code != errcode.OK {
		return errcode.Wrap("scaletest.write", answer.Code, fmt.Errorf("%s", answer.Body))
	}
	return nil
}

func (t *HollowFleet) read() *Reading {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // it knows no fault for these arguments
	reading := &Reading{
		At:        time.Since(t.startedAt),
		Processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		Node:      map[string]int64{},
	}
	sums := map[string]transport.Count{}
	for _, held := range t.nodes {
		for _, passed := range held.gone {
			merge(sums, passed)
		}
		if held.process == nil {
			continue
		}
		for _, passed := range held.process.Transport.Counts() {
			merge(sums, passed)
		}
		for name, number := range held.process.Counters() {
			reading.Node[name] += number
		}
	}
	for _, passed := range sums {
		reading.Counts = append(reading.Counts, passed)
	}
	return reading
}

// weigh collects garbage first, so that what is left is in use.
func (t *HollowFleet) weigh() *Reading {
	debug.FreeOSMemory()
	memory := runtime.MemStats{}
	runtime.ReadMemStats(&memory)
	return &Reading{Resident: resident(), Live: int64(memory.HeapAlloc + memory.StackInuse)}
}

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

func (t *HollowFleet) state() *State {
	state := &State{Reached: map[int64]int{}, LastAt: map[int64]int64{}}
	proxies, depths := 0, 0
	for _, held := range t.nodes {
		if held.part.Role != message.RoleProxy {
			continue
		}
		proxies++
		held.lock.Lock()
		snapshot := held.snapshot
		held.lock.Unlock()
		upstreams, known := 0, 0
		if snapshot != nil {
			for _, list := range snapshot.Upstreams {
				upstreams += len(list)
			}
			known = snapshot.ProxyCount
			if snapshot.Ready(held.goroutines.Now(), held.part.Settings.MaxAgeReady()) {
				state.Ready++
			}
		}
		if proxies == 1 || upstreams < state.Upstreams {
			state.Upstreams = upstreams
		}
		if proxies == 1 || known < state.Proxies {
			state.Proxies = known
		}
		if held.process == nil {
			continue
		}
		limited, cancel := context.WithTimeout(held.goroutines.Context, held.part.Settings.HolderRest())
		status, err := ask[proxy.Status](limited, held.process, proxy.ReadStatus{})
		cancel()
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
	return t.reachedBy(state)
}

func (t *HollowFleet) reachedBy(state *State) *State {
	t.lock.Lock()
	defer t.lock.Unlock()
	for version, number := range t.reached {
		state.Reached[version], state.LastAt[version] = number, t.lastAt[version]
	}
	return state
}

// Serve is the loop of a hollow fleet's process: the first JSON value it reads has the parts, each
// further one is a Request. It returns when its input ends, so that no process outlives the one that
// started it.
func Serve(in io.Reader, out io.Writer) error {
	reader, encoder := bufio.NewReaderSize(in, 1<<20), json.NewEncoder(out)
	decoder := json.NewDecoder(reader)
	parts := []Part{}
	if err := decoder.Decode(&parts); err != nil {
		return errcode.Wrap("scaletest.serve", errcode.ConfigUnreadable, err)
	}
	hollow, err := NewHollowFleet(parts)
	if err != nil {
		_ = encoder.Encode(Answer{Fault: err.Error()}) // the error is returned in any case
		return err
	}
	defer hollow.Close()
	if err := encoder.Encode(Answer{}); err != nil {
		return errcode.Wrap("scaletest.serve", errcode.ConnectionLost, err)
	}
	for {
		request := Request{}
		if err := decoder.Decode(&request); err != nil {
			return nil
		}
		if err := encoder.Encode(hollow.Do(request)); err != nil {
			return nil
		}
	}
}
