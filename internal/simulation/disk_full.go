package simulation

import (
	"math/rand/v2"
	"time"

	"beaconvane/internal/configstore"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
	"beaconvane/internal/workload"
)

// persistentMachine is the state machine of a core process, whose state is on disk.
type persistentMachine interface {
	statemachine.Machine
	storage.Restorable
}

// fillDisks makes the disks of some nodes refuse every write for a time. The processes keep running.
func (w *World) fillDisks(nodes []*Node, duration time.Duration) {
	for _, node := range nodes {
		node.disk.failing = true
	}
	w.after(duration, func() {
		for _, node := range nodes {
			node.disk.failing = false
		}
	})
}

// recoverFromDiskFailure rebuilds the state machine from disk as soon as the disk accepts writes, in the
// running process, as package node does. It retries every DiskRetryEvery.
func (n *Node) recoverFromDiskFailure(incarnation int) {
	if n.recovering {
		return
	}
	n.recovering = true
	var retry func()
	retry = func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		store, machine, err := storage.Recover(n.disk, n.buildMachine)
		if err != nil {
			n.world.after(n.settings.DiskRetryEvery(), retry)
			return
		}
		n.recovering = false
		n.store, n.control, n.pendingWrites = store, machine, nil
		n.machineIncarnation++
		n.replies = map[int64]func(any){}
		n.world.dangers["machines built anew after a disk refused writes"]++
		n.world.traceEvent("disk of %s accepts writes again", n.name)
	}
	n.world.after(n.settings.DiskRetryEvery(), retry)
}

// buildMachine builds the state machine of a core process from the snapshot and the log records on its disk.
func (n *Node) buildMachine(snapshot []byte, records [][]byte) (persistentMachine, error) {
	self := n.self()
	if n.role == message.RoleRegistry {
		return registry.New(n.settings, self, snapshot, records)
	}
	return configstore.New(n.settings, self, snapshot, records)
}

// self returns the member entry of this incarnation.
func (n *Node) self() message.Member {
	return message.Member{Name: n.name, Role: n.role, Voter: n.settings.Voter, Zone: n.settings.Zone, Address: n.settings.Address,
		HTTPAddress: n.settings.HTTPAddress, StartTime: int64(n.clock.wall(n.world.now))}
}

// disksFullInTurnPlan fills the disk of each voter's machine for some seconds, one after the other, and
// writes a configuration during each outage and one at the end.
func disksFullInTurnPlan(_ workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{}
	for index, voter := range workload.Voters {
		start := time.Duration(10+7*index) * time.Second
		plan = append(plan,
			Step{At: start, Do: "disk-full", Target: voter, For: between(random, 2, 4)},
			Step{At: start + between(random, 0.2, 1.5), Do: "put"})
	}
	return append(plan, Step{At: 32 * time.Second, Do: "put"})
}
