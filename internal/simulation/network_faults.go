package simulation

import (
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/message"
)

func (w *World) cutBetween(left, right []string, both bool, length time.Duration) {
	set := func(by int) {
		for _, one := range left {
			for _, other := range right {
				w.cut(one, other, by)
				if both {
					w.cut(other, one, by)
				}
			}
		}
	}
	set(1)
	for _, machine := range left {
		// A frame under way comes again some time after the cut is mended.
		w.record.Disconnected = append(w.record.Disconnected, checker.Span{Name: machine, From: w.now, To: w.now + length + time.Second})
	}
	w.breakSpans(left, right)
	w.after(length, func() {
		set(-1)
		w.breakSpans(left, right)
	})
}

// breakSpans begins new spans of service, as a node cut off is not held to the bounds for connected ones.
func (w *World) breakSpans(left, right []string) {
	small := left
	if len(right) < len(left) {
		small = right
	}
	for _, machine := range small {
		for _, node := range w.machineNodes(machine) {
			node.closeSpan()
			if node.up && !node.frozen {
				node.openSpan()
			}
		}
	}
}

// isolate cuts the target from the other machines, both ways or only what it sends.
func (w *World) isolate(step Step, machines []string, both bool) {
	w.cutBetween([]string{step.Target}, without(machines, step.Target), both, step.For)
}

// halve cuts the target and every third proxy from all other machines.
func (w *World) halve(step Step) {
	left, right := []string{step.Target}, without(w.cores(), step.Target)
	for index, node := range w.nodesOf(message.RoleProxy) {
		if index%3 == 0 {
			left = append(left, node.machine)
		} else {
			right = append(right, node.machine)
		}
	}
	w.cutBetween(left, right, true, step.For)
}
