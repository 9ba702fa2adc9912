package scaletest

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
)

// Fleet is a running hollow fleet.
type Fleet struct {
	plan       Plan
	goroutines *goroutine.Group
	processes  map[string][]hollowFleet // by role
	version    int64
}

// Start starts the processes of a plan, the core first.
func Start(plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan, goroutines: goroutine.New(), processes: map[string][]hollowFleet{}}
	core, err := newCoreAddresses()
	if err != nil {
		return nil, err
	}
	if err := f.startCore(core); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.startProxies(core.seeds()); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// coreAddresses are the addresses of the core's processes, by voter in the order of voterNames.
type coreAddresses struct{ registries, configStores []string }

func newCoreAddresses() (coreAddresses, error) {
	core := coreAddresses{}
	for index := range voterNames {
		host := fmt.Sprintf("127.88.1.%d", index+1)
		registryAddress, err := freeAddress(host)
		if err != nil {
			return core, err
		}
		configStoreAddress, err := freeAddress(host)
		if err != nil {
			return core, err
		}
		core.registries = append(core.registries, registryAddress)
		core.configStores = append(core.configStores, configStoreAddress)
	}
	return core, nil
}

// seeds returns the addresses at which nodes join.
func (c coreAddresses) seeds() []string { return c.registries }

// startCore starts a process for each core voter of each role.
func (f *Fleet) startCore(core coreAddresses) error {
	for index, voter := range voterNames {
		zone := zoneName(index % f.plan.Zones)
		store := f.plan.Settings(message.RoleConfigStore, voter, voter, zone, core.configStores[index], core.seeds())
		if err := f.add(message.RoleConfigStore, []Part{{Role: message.RoleConfigStore, Settings: store}}); err != nil {
			return err
		}
		registry := f.plan.Settings(message.RoleRegistry, voter, voter, zone, core.registries[index], core.seeds())
		if err := f.add(message.RoleRegistry, []Part{{Role: message.RoleRegistry, Settings: registry}}); err != nil {
			return err
		}
	}
	return nil
}

// startProxies starts the proxies, Plan.Share of them in a process.
func (f *Fleet) startProxies(seeds []string) error {
	parts := []Part{}
	for number := range f.plan.Proxies {
		part, err := f.plan.proxyPart(number, seeds)
		if err != nil {
			return err
		}
		parts = append(parts, part)
		if len(parts) < f.plan.Share && number < f.plan.Proxies-1 {
			continue
		}
		if err := f.add(message.RoleProxy, parts); err != nil {
			return err
		}
		parts = nil
	}
	return nil
}

// add starts a process with some nodes of a role, or starts them in this process.
func (f *Fleet) add(role string, parts []Part) error {
	if f.plan.Program == "" {
		hollow, err := NewHollowFleet(parts)
		if err != nil {
			return err
		}
		f.processes[role] = append(f.processes[role], localFleet{hollow})
		return nil
	}
	started, err := startRemote(f.plan.Program, f.goroutines)
	if err != nil {
		return err
	}
	f.processes[role] = append(f.processes[role], started)
	return started.begin(parts)
}

// Stop ends all processes that were started.
func (f *Fleet) Stop() {
	for _, role := range []string{message.RoleProxy, message.RoleRegistry, message.RoleConfigStore} {
		for _, held := range f.processes[role] {
			held.close()
		}
	}
	f.goroutines.Stop(time.Second)
}

// until checks a condition at a steady interval and reports whether it held within the limit.
func until(limit, interval time.Duration, condition func() bool) bool {
	ticker, end := time.NewTicker(interval), time.NewTimer(limit)
	defer ticker.Stop()
	defer end.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-end.C:
			return false
		case <-ticker.C:
		}
	}
}

// state sums what the proxies know over all processes.
func (f *Fleet) state() State {
	sum := State{Reached: map[int64]int{}, LastAt: map[int64]int64{}}
	for index, held := range f.processes[message.RoleProxy] {
		answer := held.do(Request{Command: CommandState})
		if answer.State == nil {
			return State{}
		}
		state := answer.State
		sum.Ready += state.Ready
		if index == 0 || state.Upstreams < sum.Upstreams {
			sum.Upstreams = state.Upstreams
		}
		if index == 0 || state.Proxies < sum.Proxies {
			sum.Proxies = state.Proxies
		}
		sum.Depth, sum.Age, sum.Moves = max(sum.Depth, state.Depth), max(sum.Age, state.Age), sum.Moves+state.Moves
		sum.MeanDepth += state.MeanDepth * float64(f.size(index)) / float64(f.plan.Proxies)
		for version, number := range state.Reached {
			sum.Reached[version] += number
			sum.LastAt[version] = max(sum.LastAt[version], state.LastAt[version])
		}
	}
	return sum
}

// size returns how many proxies a process has.
func (f *Fleet) size(index int) int { return min(f.plan.Share, f.plan.Proxies-index*f.plan.Share) }

// complete reports whether every proxy is ready and knows all others and all upstreams.
func (f *Fleet) complete() bool {
	state := f.state()
	return state.Ready == f.plan.Proxies && state.Upstreams >= f.plan.Proxies && state.Proxies >= f.plan.Proxies
}

// write writes the next version and returns when it was sent; the configuration is as large as the
// plan's number of services makes it.
func (f *Fleet) write() (time.Time, error) {
	f.version++
	began := time.Now()
	answer := f.processes[message.RoleRegistry][0].do(Request{
		Command: CommandWrite,
		Version: f.version,
		Body:    configurationBody(f.plan.Services, f.plan.Tenants, f.version),
	})
	if answer.Fault != "" {
		return began, errcode.Wrap("scaletest.write", errcode.ConfigurationUnsure, fmt.Errorf("%s", answer.Fault))
	}
	return began, nil
}
