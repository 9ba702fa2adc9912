package simulation

import (
	"math/rand/v2"
	"strings"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// The cutoff scenario partitions one core machine from the others, in both directions or in one, while
// operators write and read on both sides and processes restart on both sides.
const (
	partitionDuration      = 20 * time.Second
	partitionWriteInterval = 900 * time.Millisecond
	partitionReadInterval  = 400 * time.Millisecond
	leaseHolderTarget      = "holder" // target of a step: the holder of the configuration log's lease
)

// partitionPlan draws the plan of the cutoff scenario.
func partitionPlan(d workload.Deployment, random *rand.Rand) []Step {
	kind := []string{"sever", "sever-out", "sever-in"}[random.IntN(3)]
	target := randomCoreMachine(d, random)
	if random.IntN(2) == 0 {
		target = leaseHolderTarget
	}
	start := between(random, 10, 11)
	plan := []Step{{At: start, Do: kind, Target: target, For: partitionDuration},
		{At: start - time.Second, Do: "order-at-all-sides", For: partitionDuration + 4*time.Second}}
	for _, restart := range []string{"restart-severed", "restart-other", "restart-with-severed-seed"} {
		if random.IntN(2) == 0 {
			plan = append(plan, Step{At: start + between(random, 2, 17), Do: restart, For: between(random, 0.2, 1.5)})
		}
	}
	return plan
}

// partitionSteps returns the steps of the cutoff scenario, by the name that plans use.
func partitionSteps() map[string]fault {
	return map[string]fault{
		"sever":                     (*World).partitionCoreMachine,
		"sever-out":                 (*World).partitionCoreMachine,
		"sever-in":                  (*World).partitionCoreMachine,
		"order-at-all-sides":        (*World).operateOnBothSides,
		"restart-severed":           (*World).restartPartitioned,
		"restart-other":             (*World).restartConnected,
		"restart-with-severed-seed": func(w *World, step Step) { w.restartWithPartitionedSeed(step.For) },
	}
}

// operateOnBothSides has operators write and read on both sides of the partition.
func (w *World) operateOnBothSides(step Step) {
	until := w.now + step.For
	w.writeOnBothSides(until)
	w.readOnBothSides(until)
}

// restartPartitioned restarts the partitioned core machines.
func (w *World) restartPartitioned(step Step) {
	for _, machine := range w.partitionedMachines() {
		w.restart(w.machineNodes(machine), false, step.For)
		w.dangers["restarts on the cut-off side"]++
	}
}

// restartConnected restarts a random core machine on the other side of the partition.
func (w *World) restartConnected(step Step) {
	others := w.coreMachines()
	for _, machine := range w.partitionedMachines() {
		others = without(others, machine)
	}
	w.restart(w.machineNodes(others[w.random.IntN(len(others))]), false, step.For)
	w.dangers["restarts on the other side"]++
	if unavailable := len(w.partitionedSince) + 1; unavailable*2 >= len(w.coreMachines()) {
		w.suspendServiceSpans(step.For)
	}
}

// partitionCoreMachine partitions a core machine from all other core machines. A one-way partition drops
// what the machine sends (sever-out) or what it receives (sever-in).
func (w *World) partitionCoreMachine(step Step) {
	machine := step.Target
	if machine == leaseHolderTarget {
		machine = w.leaseHolder(settings.ConfigLogLease)
	}
	others := without(w.coreMachines(), machine)
	switch step.Do {
	case "sever":
		w.cutLinksBetween([]string{machine}, others, true, step.For)
	case "sever-out":
		w.cutLinksBetween([]string{machine}, others, false, step.For)
	default:
		w.cutLinksBetween(others, []string{machine}, false, step.For)
	}
	w.partitionedSince[machine] = w.now
	w.after(step.For, func() { delete(w.partitionedSince, machine) })
}

// majoritySettleTime is how long after the core regained its majority the bounds for connected nodes
// don't apply yet: the platform's contact-s.
const majoritySettleTime = 3 * time.Second

// suspendServiceSpans ends the proxies' spans of service while the core has no majority, and opens new
// ones majoritySettleTime after that.
func (w *World) suspendServiceSpans(duration time.Duration) {
	for _, proxy := range w.nodesByRole(message.RoleProxy) {
		proxy.closeServiceSpan()
	}
	w.after(duration+majoritySettleTime, func() {
		for _, proxy := range w.nodesByRole(message.RoleProxy) {
			if proxy.up && !proxy.frozen && !proxy.serviceSpanOpen {
				proxy.openServiceSpan()
			}
		}
	})
}

// partitionedMachines returns the core machines that are partitioned, in the order of the deployment.
func (w *World) partitionedMachines() []string {
	list := []string{}
	for _, machine := range w.coreMachines() {
		if _, partitioned := w.partitionedSince[machine]; partitioned {
			list = append(list, machine)
		}
	}
	return list
}

// randomRegistryOnSide returns a running registry on the partitioned side or on the other one; nil if
// there is none.
func (w *World) randomRegistryOnSide(partitioned bool) *Node {
	registries := []*Node{}
	for _, registryNode := range w.runningNodes(message.RoleRegistry) {
		if _, isPartitioned := w.partitionedSince[registryNode.machine]; isPartitioned == partitioned {
			registries = append(registries, registryNode)
		}
	}
	if len(registries) == 0 {
		return nil
	}
	return registries[w.random.IntN(len(registries))]
}

// writeOnBothSides periodically sends one new configuration to each side of the partition.
func (w *World) writeOnBothSides(until time.Duration) {
	if w.now > until {
		return
	}
	tenants := w.options.Deployment.Tenants()[:w.tenantCount]
	for _, partitioned := range []bool{true, false} {
		if registryNode := w.randomRegistryOnSide(partitioned); registryNode != nil {
			w.lastVersion++
			write := w.newConfigWrite(w.lastVersion, tenants, w.options.Deployment.Configuration(tenants, int(w.lastVersion)), nil)
			w.sendWrite(write, registryNode)
		}
	}
	w.after(partitionWriteInterval, func() { w.writeOnBothSides(until) })
}

// readOnBothSides periodically reads the configuration and the status views on each side.
func (w *World) readOnBothSides(until time.Duration) {
	if w.now > until {
		return
	}
	for _, partitioned := range []bool{true, false} {
		if registryNode := w.randomRegistryOnSide(partitioned); registryNode != nil {
			w.askRegistry(registryNode, registry.ReadConfiguration{ConfigName: "main"}, func(registry.OperatorResponse) {})
			w.checkViewsRefused(registryNode)
		}
	}
	w.after(partitionReadInterval, func() { w.readOnBothSides(until) })
}

// checkViewsRefused checks that a registry that has been partitioned for longer than MaxAgeReady and
// majoritySettleTime returns neither the roster nor the configuration status as current.
func (w *World) checkViewsRefused(registryNode *Node) {
	since, partitioned := w.partitionedSince[registryNode.machine]
	if !partitioned || w.now-since < registryNode.settings.MaxAgeReady()+majoritySettleTime {
		return
	}
	for _, request := range []any{registry.ReadRoster{}, registry.ReadConfigurationStatus{ConfigName: "main"}} {
		registryNode.request(request, func(answer any) {
			w.dangers["views asked of a cut-off node"]++
			if code := mustCast[registry.OperatorResponse](answer).Code; code == errcode.OK {
				w.fail("%s, partitioned for %s, answered %T as current", registryNode.name, w.now-since, request)
			}
		})
	}
}

// restartWithPartitionedSeed restarts every third proxy with settings whose first seed is the partitioned
// machine.
func (w *World) restartWithPartitionedSeed(downtime time.Duration) {
	seeds := []string{}
	for _, machine := range append(w.partitionedMachines(), w.coreMachines()...) {
		for _, registryNode := range w.machineNodes(machine) {
			if registryNode.role == message.RoleRegistry && !strings.Contains(strings.Join(seeds, " "), registryNode.address()) {
				seeds = append(seeds, registryNode.address())
			}
		}
	}
	for index, proxy := range w.nodesByRole(message.RoleProxy) {
		if index%3 == 0 {
			proxy.settings.Seeds = seeds[:min(len(seeds), 3)]
			w.restart([]*Node{proxy}, false, downtime)
			w.dangers["restarts with the cut-off machine as first seed"]++
		}
	}
}
