package simulation

import (
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/message"
)

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
		// A frame under way comes again some time after the cut is mended.
		w.record.Disconnected = append(w.record.Disconnected, checker.Span{Name: machine, From: w.now, To: w.now + duration + time.Second})
	}
	w.restartServiceSpans(left, right)
	w.after(duration, func() {
		change(-1)
		w.restartServiceSpans(left, right)
	})
}

// breakSpans begins new spans of service, as a node cut off is not held to the bounds for connected ones.
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

// isolate cuts the target from the other machines, both ways or only what it sends.
func (w *World) isolate(step Step, machines []string, both bool) {
	w.cutLinksBetween([]string{step.Target}, without(machines, step.Target), both, step.For)
}

// halve cuts the target and every third proxy from all other machines.
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
