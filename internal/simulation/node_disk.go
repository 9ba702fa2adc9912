package simulation

import (
	"time"

	"beaconvane/internal/statemachine"
)

// write models the disk's time; what is under way at a crash may be torn.
func (n *Node) scheduleWrite(incarnation int, write statemachine.Write) {
	wait := n.writeDelay + time.Duration(n.world.random.Int64N(int64(n.writeDelay)+1))
	n.diskIdleAt = max(n.diskIdleAt, n.world.now) + wait
	n.pendingWrites = append(n.pendingWrites, write)
	machineIncarnation := n.machineIncarnation
	n.world.at(n.diskIdleAt, func() {
		if !n.up || n.incarnation != incarnation || n.machineIncarnation != machineIncarnation {
			return
		}
		n.pendingWrites = n.pendingWrites[1:]
		failure := n.storeWrite(write)
		if failure != nil {
			n.recoverFromDiskFailure(incarnation)
		}
		n.run(incarnation, func() { n.apply(statemachine.Synced{RequestID: write.RequestID, Failure: failure}) })
	})
}

// storeWrite hands a write to the store: a snapshot to keep, or a record for the log.
func (n *Node) storeWrite(write statemachine.Write) error {
	if write.Snapshot != nil {
		return n.store.Compact(write.Snapshot)
	}
	return n.store.Append([][]byte{write.Record})
}
