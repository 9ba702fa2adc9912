package simulation

import (
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/message"
)

// machineNodes returns the processes of a machine, or the one process with that name.
func (w *World) machineNodes(target string) []*Node {
	list := []*Node{}
	for _, name := range w.nodeOrder {
		if w.nodes[name].machine == target || name == target {
			list = append(list, w.nodes[name])
		}
	}
	return list
}

// leaseHolder returns the voter that last took a lease, by the highest epoch on record; "" if none did.
func (w *World) leaseHolder(leaseName string) string {
	newest := checker.LeaseTenure{}
	for _, tenure := range w.record.LeaseTenures {
		if tenure.LeaseName == leaseName && tenure.Epoch >= newest.Epoch {
			newest = tenure
		}
	}
	return newest.Voter
}

// restart crashes nodes and boots them after the downtime, with empty disks if loseDisk is set.
func (w *World) restart(nodes []*Node, loseDisk bool, downtime time.Duration) {
	for _, node := range nodes {
		node.kill(true, loseDisk)
	}
	w.after(downtime, func() {
		for _, node := range nodes {
			node.boot()
		}
	})
}

// stopNodes shuts the target's processes down gracefully.
func (w *World) stopNodes(step Step) {
	for _, node := range w.machineNodes(step.Target) {
		node.stop(step.For)
	}
}

// killHolder crashes the machine that holds the lease named as the target.
func (w *World) killHolder(step Step) {
	if machine := w.leaseHolder(step.Target); machine != "" {
		w.restart(w.machineNodes(machine), false, step.For)
	}
}

// freezeHolder freezes the machine that holds the lease named as the target.
func (w *World) freezeHolder(step Step) {
	if machine := w.leaseHolder(step.Target); machine != "" {
		w.freeze(w.machineNodes(machine), step.For)
	}
}

// slowDisks makes the disk writes of the target's processes take ten times as long.
func (w *World) slowDisks(step Step) {
	for _, node := range w.machineNodes(step.Target) {
		usual := w.options.Deployment.DiskDelay
		node.writeDelay = usual * 10
		node.writeDelayUntil = max(node.writeDelayUntil, w.now+step.For)
		w.after(step.For, func() {
			if w.now >= node.writeDelayUntil {
				node.writeDelay = usual
			}
		})
	}
}

// failDisks makes every write and sync of the target's disks fail; then the processes restart with
// working disks.
func (w *World) failDisks(step Step) {
	nodes := w.machineNodes(step.Target)
	for _, node := range nodes {
		node.disk.failing = true
	}
	w.after(step.For, func() {
		for _, node := range nodes {
			node.disk.failing = false
		}
		w.restart(nodes, false, 500*time.Millisecond)
	})
}

// restartEverySecondProxy crashes and restarts half of the proxies at once.
func (w *World) restartEverySecondProxy(step Step) {
	for index, node := range w.nodesByRole(message.RoleProxy) {
		if index%2 == 0 {
			w.restart([]*Node{node}, false, step.For)
		}
	}
}

// restartMachines crashes and restarts all processes of some machines.
func (w *World) restartMachines(machines []string, downtime time.Duration) {
	for _, machine := range machines {
		w.restart(w.machineNodes(machine), false, downtime)
	}
}

// freeze suspends nodes for a time. A node that has restarted meanwhile isn't resumed.
func (w *World) freeze(nodes []*Node, duration time.Duration) {
	for _, node := range nodes {
		node.freeze()
		frozenNode, incarnation := node, node.incarnation
		w.after(duration, func() {
			if frozenNode.incarnation == incarnation {
				frozenNode.resume()
			}
		})
	}
}
