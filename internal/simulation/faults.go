package simulation

import (
	"maps"
	"strings"

	"beaconvane/internal/message"
)

// cores lists the core machines, replaced ones aside.
func (w *World) cores() []string {
	list := []string{}
	for _, node := range w.nodesOf(message.RoleRegistry) {
		if !node.retired && !strings.HasSuffix(node.machine, replacementSuffix) {
			list = append(list, node.machine)
		}
	}
	return list
}

func (w *World) machines() []string {
	list := append([]string{}, w.cores()...)
	for _, node := range w.nodesOf(message.RoleProxy) {
		list = append(list, node.machine)
	}
	return list
}

func without(list []string, dropped string) []string {
	kept := []string{}
	for _, item := range list {
		if item != dropped {
			kept = append(kept, item)
		}
	}
	return kept
}

// fault carries out one kind of step.
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
		"kill-core":     func(w *World, step Step) { w.restartMachines(w.cores(), step.For) },
		"kill-all":      func(w *World, step Step) { w.restartMachines(w.machines(), step.For) },
		"replace-voter": func(w *World, step Step) { w.replaceVoter(step.Target, step.For) },
		"replace-core":  func(w *World, step Step) { w.replaceCore(step.Target, step.For) },
		"usurp":         func(w *World, step Step) { w.usurp(step.Target, step.For) },
		"force-recover": func(w *World, step Step) { w.forceRecover(step.Target) },
	}
}

// networkFaults returns the faults of the network between machines, by the name that plans use.
func networkFaults() map[string]fault {
	return map[string]fault{
		"isolate":          func(w *World, step Step) { w.isolate(step, w.machines(), true) },
		"isolate-out":      func(w *World, step Step) { w.isolate(step, w.machines(), false) },
		"cut-core":         func(w *World, step Step) { w.isolate(step, w.cores(), true) },
		"cut-core-one-way": func(w *World, step Step) { w.isolate(step, w.cores(), false) },
		"halve":            (*World).halve,
	}
}

// collectorFaults returns the faults of the usage collector, and the end of a plan's load.
func collectorFaults() map[string]fault {
	return map[string]fault{
		// The collector takes reports, but its answer is lost, an error, or late, in turn.
		"collector-odd":  func(w *World, step Step) { w.collectorOdd = w.now + step.For },
		"collector-down": func(w *World, step Step) { w.collectorDown = w.now + step.For },
		// Callers send no requests after this step; the callers look for it in the plan.
		"end": func(*World, Step) {},
	}
}

// operatorSteps returns the orders of operators, by the name that plans use.
func operatorSteps() map[string]fault {
	steps := map[string]fault{}
	for _, name := range []string{
		"put", "put-huge", "withdraw", "restore-keys", "put-race", "put-bad", "put-and-kill", "put-and-kill-disk",
	} {
		steps[name] = (*World).operate
	}
	return steps
}

// allFaults joins the tables of faults; no name stands in two of them.
func allFaults() map[string]fault {
	joined := map[string]fault{}
	for _, table := range []map[string]fault{
		nodeFaults(), networkFaults(), collectorFaults(), operatorSteps(),
		answerFaults(), cutoffSteps(), sameVersionSteps(), secondLossSteps(), hundredsSteps(), overlapSteps(),
	} {
		maps.Copy(joined, table)
	}
	return joined
}

// do carries out one step. Names that no table has arm a loss or are faults of upstreams.
func (w *World) do(step Step) {
	w.mark("STEP %s", step)
	if apply, found := w.faults[step.Do]; found {
		apply(w, step)
	} else if kind, arms := strings.CutPrefix(step.Do, armPrefix); arms {
		w.armLoss(kind, step)
	} else {
		w.doUpstream(step)
	}
}
