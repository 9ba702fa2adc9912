package simulation

import (
	"maps"
	"strings"

	"beaconvane/internal/message"
)

// coreMachines returns the core machines, without retired ones and without the replacements that run
// beside a frozen machine.
func (w *World) coreMachines() []string {
	list := []string{}
	for _, node := range w.nodesByRole(message.RoleRegistry) {
		if !node.retired && !strings.HasSuffix(node.machine, replacementSuffix) {
			list = append(list, node.machine)
		}
	}
	return list
}

// allMachines returns the core machines and the proxies' machines.
func (w *World) allMachines() []string {
	list := append([]string{}, w.coreMachines()...)
	for _, node := range w.nodesByRole(message.RoleProxy) {
		list = append(list, node.machine)
	}
	return list
}

// without returns the items of a list except one.
func without(list []string, excluded string) []string {
	remaining := []string{}
	for _, item := range list {
		if item != excluded {
			remaining = append(remaining, item)
		}
	}
	return remaining
}

// fault executes one kind of step.
type fault func(w *World, step Step)

// nodeFaults returns the faults of processes, machines and their disks, by the name that plans use.
func nodeFaults() map[string]fault {
	return map[string]fault{
		"kill":          func(w *World, step Step) { w.restart(w.machineNodes(step.Target), false, step.For) },
		"kill-disk":     func(w *World, step Step) { w.restart(w.machineNodes(step.Target), true, step.For) },
		"stop":          (*World).stopNodes,
		"kill-holder":   (*World).killHolder,
		"freeze":        func(w *World, step Step) { w.freeze(w.machineNodes(step.Target), step.For) },
		"freeze-holder": (*World).freezeHolder,
		"slow-disk":     (*World).slowDisks,
		"disk-full":     func(w *World, step Step) { w.fillDisks(w.machineNodes(step.Target), step.For) },
		"disk-fails":    (*World).failDisks,
		"herd":          (*World).restartEverySecondProxy,
		"kill-core":     func(w *World, step Step) { w.restartMachines(w.coreMachines(), step.For) },
		"kill-all":      func(w *World, step Step) { w.restartMachines(w.allMachines(), step.For) },
		"replace-voter": func(w *World, step Step) { w.replaceVoter(step.Target, step.For) },
		"replace-core":  func(w *World, step Step) { w.replaceCore(step.Target, step.For) },
		"usurp":         func(w *World, step Step) { w.replaceFrozenMachine(step.Target, step.For) },
		"force-recover": func(w *World, step Step) { w.forceRecover(step.Target) },
	}
}

// networkFaults returns the network partitions between machines, by the name that plans use.
func networkFaults() map[string]fault {
	return map[string]fault{
		"isolate":          func(w *World, step Step) { w.isolate(step, w.allMachines(), true) },
		"isolate-out":      func(w *World, step Step) { w.isolate(step, w.allMachines(), false) },
		"cut-core":         func(w *World, step Step) { w.isolate(step, w.coreMachines(), true) },
		"cut-core-one-way": func(w *World, step Step) { w.isolate(step, w.coreMachines(), false) },
		"halve":            (*World).partitionWithSomeProxies,
	}
}

// collectorFaults returns the faults of the usage collector and the marker of the end of a plan's load,
// by the name that plans use.
func collectorFaults() map[string]fault {
	return map[string]fault{
		// The collector accepts reports, but most of its answers are lost and the others are late.
		"collector-odd":  func(w *World, step Step) { w.collectorFaultyUntil = w.now + step.For },
		"collector-down": func(w *World, step Step) { w.collectorDownUntil = w.now + step.For },
		// Callers send no requests after this step; options reads its time from the plan.
		"end": func(*World, Step) {},
	}
}

// operatorSteps returns the configuration writes of operators, by the name that plans use.
func operatorSteps() map[string]fault {
	steps := map[string]fault{}
	for _, name := range []string{
		"put", "put-huge", "withdraw", "restore-keys", "put-race", "put-bad", "put-and-kill", "put-and-kill-disk",
	} {
		steps[name] = (*World).runOperatorStep
	}
	return steps
}

// allFaults merges the tables of faults and operator steps. No name may be in more than one table.
func allFaults() map[string]fault {
	joined := map[string]fault{}
	for _, table := range []map[string]fault{
		nodeFaults(), networkFaults(), collectorFaults(), operatorSteps(),
		responseFaults(), partitionSteps(), sameVersionSteps(), secondLossSteps(), manyChangesSteps(), overlapSteps(),
	} {
		maps.Copy(joined, table)
	}
	return joined
}

// runStep executes one step. A name that is in no table arms a second loss or is a fault of an upstream.
func (w *World) runStep(step Step) {
	w.traceEvent("step %s", step)
	if apply, found := w.faults[step.Do]; found {
		apply(w, step)
	} else if kind, isArmStep := strings.CutPrefix(step.Do, armPrefix); isArmStep {
		w.armSecondLoss(kind, step)
	} else {
		w.runUpstreamStep(step)
	}
}
