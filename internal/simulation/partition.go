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

// The cutoff scenario cuts a core machine off, both ways or one way, while operators send orders
// and read on all sides and processes restart on both.
const (
	partitionDuration      = 20 * time.Second
	partitionWriteInterval = 900 * time.Millisecond
	partitionReadInterval  = 400 * time.Millisecond
	leaseHolderTarget      = "holder" // the machine that holds the configuration log's lease
)

func partitionPlan(d workload.Deployment, random *rand.Rand) []Step {
	kind := []string{"sever", "sever-out", "sever-in"}[random.IntN(3)]
	target := randomCoreMachine(d, random)
	if random.IntN(2) == 0 {
		target = leaseHolderTarget
	}
	start := randomDuration(random, 10, 11)
	plan := []Step{{At: start, Do: kind, Target: target, For: partitionDuration},
		{At: start - time.Second, Do: "order-at-all-sides", For: partitionDuration + 4*time.Second}}
	for _, restart := range []string{"restart-severed", "restart-other", "restart-with-severed-seed"} {
		if random.IntN(2) == 0 {
			plan = append(plan, Step{At: start + randomDuration(random, 2, 17), Do: restart, For: randomDuration(random, 0.2, 1.5)})
		}
	}
	return plan
}

// cutoffSteps returns the steps of the cutoff scenario, by the name that plans use.
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

func (w *World) operateOnBothSides(step Step) {
	until := w.now + step.For
	w.writeOnBothSides(until)
	w.readOnBothSides(until)
}

func (w *World) restartPartitioned(step Step) {
	for _, machine := range w.partitionedMachines() {
		w.restart(w.machineNodes(machine), false, step.For)
		w.dangers["restarts on the cut-off side"]++
	}
}

// restartOther restarts a core machine on the other side of the cut.
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

// sever cuts a core machine from all other core machines.
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

// settleTime is how long after the core had no majority nobody is held to the bounds for
// connected nodes: the platform's contact-s.
const majoritySettleTime = 3 * time.Second

// unsettled notes that the core has no majority for some time.
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

func (w *World) partitionedMachines() []string {
	list := []string{}
	for _, machine := range w.coreMachines() {
		if _, partitioned := w.partitionedSince[machine]; partitioned {
			list = append(list, machine)
		}
	}
	return list
}

// side picks a registry of the cut-off side, or of the other one.
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

// orderAtAllSides sends an order to each side, the same to both every third time.
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

// readViews checks that a node that has been cut off for long gives neither roster nor state of configurations
// out as current.
func (w *World) checkViewsRefused(registryNode *Node) {
	since, partitioned := w.partitionedSince[registryNode.machine]
	if !partitioned || w.now-since < registryNode.settings.MaxAgeReady()+majoritySettleTime {
		return
	}
	for _, question := range []any{registry.ReadRoster{}, registry.ReadConfigurationStatus{ConfigName: "main"}} {
		registryNode.request(question, func(answer any) {
			w.dangers["views asked of a cut-off node"]++
			if code := mustCast[registry.OperatorResponse](answer).Code; code == errcode.OK {
				w.fail("%s, cut off for %s, answered %T as current", registryNode.name, w.now-since, question)
			}
		})
	}
}

// restartWithSeveredSeed restarts some proxies, whose settings now name the cut-off machine
// first.
func (w *World) restartWithPartitionedSeed(down time.Duration) {
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
			w.restart([]*Node{proxy}, false, down)
			w.dangers["restarts with the cut-off machine as first seed"]++
		}
	}
}
