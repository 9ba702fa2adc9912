package simulation

import (
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/message"
)

// cutLinksBetween cuts the links from each left machine to each right one, and back too if both is set,
// for a time.
func (w *World) cutLinksBetween(left, right []string, both bool, duration time.Duration) {
	change := func(delta int) {
		for _, leftMachine := range left {
			for _, rightMachine := range right {
				w.changeCutCount(leftMachine, rightMachine, delta)
				if both {
					w.changeCutCount(rightMachine, leftMachine, delta)
				}
			}
		}
	}
	change(1)
	for _, machine := range left {
		// A frame in flight is delivered up to a second after the links are restored.
		w.record.Disconnected = append(w.record.Disconnected, checker.Span{Name: machine, From: w.now, To: w.now + duration + time.Second})
	}
	w.restartServiceSpans(left, right)
	w.after(duration, func() {
		change(-1)
		w.restartServiceSpans(left, right)
	})
}

// restartServiceSpans ends the spans of service of the smaller side and opens new ones, because the bounds
// for connected nodes don't apply to partitioned ones.
func (w *World) restartServiceSpans(left, right []string) {
	smaller := left
	if len(right) < len(left) {
		smaller = right
	}
	for _, machine := range smaller {
		for _, node := range w.machineNodes(machine) {
			node.closeServiceSpan()
			if node.up && !node.frozen {
				node.openServiceSpan()
			}
		}
	}
}

// isolate partitions the target from the other machines, in both directions or only in its sending one.
func (w *World) isolate(step Step, machines []string, both bool) {
	w.cutLinksBetween([]string{step.Target}, without(machines, step.Target), both, step.For)
}

// partitionWithSomeProxies partitions the target and every third proxy from all other machines.
func (w *World) partitionWithSomeProxies(step Step) {
	left, right := []string{step.Target}, without(w.coreMachines(), step.Target)
	for index, node := range w.nodesByRole(message.RoleProxy) {
		if index%3 == 0 {
			left = append(left, node.machine)
		} else {
			right = append(right, node.machine)
		}
	}
	w.cutLinksBetween(left, right, true, step.For)
}
