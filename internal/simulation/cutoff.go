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
	cutLength     = 20 * time.Second
	cutOrderEvery = 900 * time.Millisecond
	cutReadEvery  = 400 * time.Millisecond
	holderTarget  = "holder" // the machine that holds the configuration log's lease
)

func cutoffPlan(d workload.Deployment, random *rand.Rand) []Step {
	kind := []string{"sever", "sever-out", "sever-in"}[random.IntN(3)]
	target := core(d, random)
	if random.IntN(2) == 0 {
		target = holderTarget
	}
	at := span(random, 10, 11)
	plan := []Step{{At: at, Do: kind, Target: target, For: cutLength},
		{At: at - time.Second, Do: "order-at-all-sides", For: cutLength + 4*time.Second}}
	for _, restart := range []string{"restart-severed", "restart-other", "restart-with-severed-seed"} {
		if random.IntN(2) == 0 {
			plan = append(plan, Step{At: at + span(random, 2, 17), Do: restart, For: span(random, 0.2, 1.5)})
		}
	}
	return plan
}

// cutoffSteps returns the steps of the cutoff scenario, by the name that plans use.
func cutoffSteps() map[string]fault {
	return map[string]fault{
		"sever":                     (*World).sever,
		"sever-out":                 (*World).sever,
		"sever-in":                  (*World).sever,
		"order-at-all-sides":        (*World).operateOnAllSides,
		"restart-severed":           (*World).restartSevered,
		"restart-other":             (*World).restartOther,
		"restart-with-severed-seed": func(w *World, step Step) { w.restartWithSeveredSeed(step.For) },
	}
}

func (w *World) operateOnAllSides(step Step) {
	until := w.now + step.For
	w.orderAtAllSides(until)
	w.readAtAllSides(until)
}

func (w *World) restartSevered(step Step) {
	for _, machine := range w.severedMachines() {
		w.restart(w.machineNodes(machine), false, step.For)
		w.dangers["restarts on the cut-off side"]++
	}
}

// restartOther restarts a core machine on the other side of the cut.
func (w *World) restartOther(step Step) {
	others := w.cores()
	for _, machine := range w.severedMachines() {
		others = without(others, machine)
	}
	w.restart(w.machineNodes(others[w.random.IntN(len(others))]), false, step.For)
	w.dangers["restarts on the other side"]++
	if away := len(w.severed) + 1; away*2 >= len(w.cores()) {
		w.unsettled(step.For)
	}
}

// sever cuts a core machine from all other core machines.
func (w *World) sever(step Step) {
	machine := step.Target
	if machine == holderTarget {
		machine = w.holder(settings.ConfigLogLease)
	}
	others := without(w.cores(), machine)
	switch step.Do {
	case "sever":
		w.cutBetween([]string{machine}, others, true, step.For)
	case "sever-out":
		w.cutBetween([]string{machine}, others, false, step.For)
	default:
		w.cutBetween(others, []string{machine}, false, step.For)
	}
	w.severed[machine] = w.now
	w.after(step.For, func() { delete(w.severed, machine) })
}

// settleTime is how long after the core had no majority nobody is held to the bounds for
// connected nodes: the platform's contact-s.
const settleTime = 3 * time.Second

// unsettled notes that the core has no majority for some time.
func (w *World) unsettled(length time.Duration) {
	for _, proxy := range w.nodesOf(message.RoleProxy) {
		proxy.closeSpan()
	}
	w.after(length+settleTime, func() {
		for _, proxy := range w.nodesOf(message.RoleProxy) {
			if proxy.up && !proxy.frozen && !proxy.spanOpen {
				proxy.openSpan()
			}
		}
	})
}

func (w *World) severedMachines() []string {
	list := []string{}
	for _, machine := range w.cores() {
		if _, severed := w.severed[machine]; severed {
			list = append(list, machine)
		}
	}
	return list
}

// side picks a registry of the cut-off side, or of the other one.
func (w *World) side(severed bool) *Node {
	registries := []*Node{}
	for _, registryNode := range w.alive(message.RoleRegistry) {
		if _, cut := w.severed[registryNode.machine]; cut == severed {
			registries = append(registries, registryNode)
		}
	}
	if len(registries) == 0 {
		return nil
	}
	return registries[w.random.IntN(len(registries))]
}

// orderAtAllSides sends an order to each side, the same to both every third time.
func (w *World) orderAtAllSides(until time.Duration) {
	if w.now > until {
		return
	}
	tenants := w.options.Deployment.Tenants()[:w.tenants]
	for _, severed := range []bool{true, false} {
		if registryNode := w.side(severed); registryNode != nil {
			w.versions++
			o := w.newOrder(w.versions, tenants, w.options.Deployment.Configuration(tenants, int(w.versions)), nil)
			w.sendOrder(o, registryNode)
		}
	}
	w.after(cutOrderEvery, func() { w.orderAtAllSides(until) })
}

func (w *World) readAtAllSides(until time.Duration) {
	if w.now > until {
		return
	}
	for _, severed := range []bool{true, false} {
		if registryNode := w.side(severed); registryNode != nil {
			w.askRegistry(registryNode, registry.ReadConfiguration{ConfigName: "main"}, func(registry.OperatorResponse) {})
			w.readViews(registryNode)
		}
	}
	w.after(cutReadEvery, func() { w.readAtAllSides(until) })
}

// readViews checks that a node that has been cut off for long gives neither roster nor state of configurations
// out as current.
func (w *World) readViews(registryNode *Node) {
	since, severed := w.severed[registryNode.machine]
	if !severed || w.now-since < registryNode.settings.MaxAgeReady()+settleTime {
		return
	}
	for _, question := range []any{registry.ReadRoster{}, registry.ReadConfigurationStatus{ConfigName: "main"}} {
		registryNode.request(question, func(answer any) {
			w.dangers["views asked of a cut-off node"]++
			if code := mustBe[registry.OperatorResponse](answer).Code; code == errcode.OK {
				w.fail("%s, cut off for %s, answered %T as current", registryNode.name, w.now-since, question)
			}
		})
	}
}

// restartWithSeveredSeed restarts some proxies, whose settings now name the cut-off machine
// first.
func (w *World) restartWithSeveredSeed(down time.Duration) {
	seeds := []string{}
	for _, machine := range append(w.severedMachines(), w.cores()...) {
		for _, registryNode := range w.machineNodes(machine) {
			if registryNode.role == message.RoleRegistry && !strings.Contains(strings.Join(seeds, " "), registryNode.address()) {
				seeds = append(seeds, registryNode.address())
			}
		}
	}
	for index, proxy := range w.nodesOf(message.RoleProxy) {
		if index%3 == 0 {
			proxy.settings.Seeds = seeds[:min(len(seeds), 3)]
			w.restart([]*Node{proxy}, false, down)
			w.dangers["restarts with the cut-off machine as first seed"]++
		}
	}
}
