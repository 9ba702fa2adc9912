package scaletest

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
)

// Fleet is a running hollow fleet, usually spread over several processes.
type Fleet struct {
	plan       Plan
	goroutines *goroutine.Group
	processes  map[string][]hollowFleet // by role
	version    int64
}

// Start starts the processes of a plan, first those of the core. On an error it stops those that were
// started.
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

// coreAddresses holds the addresses of the core processes, in the order of voterNames.
type coreAddresses struct{ registries, configStores []string }

// newCoreAddresses returns free addresses for the core processes. The two processes of a voter share a
// loopback host.
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

// seeds returns the addresses at which nodes join the fleet.
func (c coreAddresses) seeds() []string { return c.registries }

// startCore starts a configuration store and a registry for each voter, each in a separate process.
func (f *Fleet) startCore(core coreAddresses) error {
	for index, voter := range voterNames {
		zone := zoneName(index % f.plan.Zones)
		store := f.plan.Settings(message.RoleConfigStore, voter, voter, zone, core.configStores[index], core.seeds())
		if err := f.add(message.RoleConfigStore, []NodeSpec{{Role: message.RoleConfigStore, Settings: store}}); err != nil {
			return err
		}
		registry := f.plan.Settings(message.RoleRegistry, voter, voter, zone, core.registries[index], core.seeds())
		if err := f.add(message.RoleRegistry, []NodeSpec{{Role: message.RoleRegistry, Settings: registry}}); err != nil {
			return err
		}
	}
	return nil
}

// startProxies starts the proxies, Plan.Share of them in each process.
func (f *Fleet) startProxies(seeds []string) error {
	specs := []NodeSpec{}
	for number := range f.plan.Proxies {
		spec, err := f.plan.proxySpec(number, seeds)
		if err != nil {
			return err
		}
		specs = append(specs, spec)
		if len(specs) < f.plan.Share && number < f.plan.Proxies-1 {
			continue
		}
		if err := f.add(message.RoleProxy, specs); err != nil {
			return err
		}
		specs = nil
	}
	return nil
}

// add starts nodes of a role in a new process, or in this process if the plan names no program.
func (f *Fleet) add(role string, specs []NodeSpec) error {
	if f.plan.Program == "" {
		hollow, err := NewHollowFleet(specs)
		if err != nil {
			return err
		}
		f.processes[role] = append(f.processes[role], localFleet{hollow})
		return nil
	}
	process, err := startRemote(f.plan.Program, f.goroutines)
	if err != nil {
		return err
	}
	f.processes[role] = append(f.processes[role], process)
	return process.startNodes(specs)
}

// Stop stops all processes of the fleet.
func (f *Fleet) Stop() {
	for _, role := range []string{message.RoleProxy, message.RoleRegistry, message.RoleConfigStore} {
		for _, process := range f.processes[role] {
			process.close()
		}
	}
	f.goroutines.Stop(time.Second)
}

// until checks a condition at an interval and reports whether it was true within the limit.
func until(limit, interval time.Duration, condition func() bool) bool {
	ticker, timer := time.NewTicker(interval), time.NewTimer(limit)
	defer ticker.Stop()
	defer timer.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-timer.C:
			return false
		case <-ticker.C:
		}
	}
}

// state combines the states of all processes. It returns an empty state if a process doesn't answer.
func (f *Fleet) state() State {
	sum := State{ProxyCounts: map[int64]int{}, LastArrivals: map[int64]int64{}}
	for index, process := range f.processes[message.RoleProxy] {
		answer := process.do(Request{Command: CommandState})
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
		sum.Depth, sum.MaxAgeMS = max(sum.Depth, state.Depth), max(sum.MaxAgeMS, state.MaxAgeMS)
		sum.ParentChanges += state.ParentChanges
		sum.MeanDepth += state.MeanDepth * float64(f.size(index)) / float64(f.plan.Proxies)
		for version, number := range state.ProxyCounts {
			sum.ProxyCounts[version] += number
			sum.LastArrivals[version] = max(sum.LastArrivals[version], state.LastArrivals[version])
		}
	}
	return sum
}

// size returns the number of proxies in a process, by the process's index.
func (f *Fleet) size(index int) int { return min(f.plan.Share, f.plan.Proxies-index*f.plan.Share) }

// complete reports whether every proxy is ready and has all proxies and all upstreams in its snapshot.
func (f *Fleet) complete() bool {
	state := f.state()
	return state.Ready == f.plan.Proxies && state.Upstreams >= f.plan.Proxies && state.Proxies >= f.plan.Proxies
}

// write writes the next version of the configuration through the first registry and returns when it was
// sent. The size of the configuration follows from the plan's number of services.
func (f *Fleet) write() (time.Time, error) {
	f.version++
	sentAt := time.Now()
	answer := f.processes[message.RoleRegistry][0].do(Request{
		Command: CommandWrite,
		Version: f.version,
		Body:    configurationBody(f.plan.Services, f.plan.Tenants, f.version),
	})
	if answer.Fault != "" {
		return sentAt, errcode.Wrap("scaletest.write", errcode.ConfigurationUnsure, fmt.Errorf("%s", answer.Fault))
	}
	return sentAt, nil
}
