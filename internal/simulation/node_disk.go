package simulation

import (
	"time"

	"beaconvane/internal/statemachine"
)

// scheduleWrite performs a write after the disk's delay, one write after the other, and reports the result
// to the state machine. A write in progress at a crash may be torn.
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

// storeWrite passes a write to the store: a snapshot that replaces the log, or a record to append.
func (n *Node) storeWrite(write statemachine.Write) error {
	if write.Snapshot != nil {
		return n.store.Compact(write.Snapshot)
	}
	return n.store.Append([][]byte{write.Record})
}
