package simulation

import (
	"time"

	"beaconvane/internal/statemachine"
)

// write models the disk's time; what is under way at a crash may be torn.
func (n *Node) write(incarnation int, written statemachine.Write) {
	wait := n.writeDelay + time.Duration(n.world.random.Int64N(int64(n.writeDelay)+1))
	n.diskFreeAt = max(n.diskFreeAt, n.world.now) + wait
	n.pendingWrites = append(n.pendingWrites, written)
	machineLife := n.machineIncarnation
	n.world.at(n.diskFreeAt, func() {
		if !n.up || n.incarnation != incarnation || n.machineIncarnation != machineLife {
			return
		}
		n.pendingWrites = n.pendingWrites[1:]
		failure := n.storeWrite(written)
		if failure != nil {
			n.recoverDisk(incarnation)
		}
		n.run(incarnation, func() { n.apply(statemachine.Synced{RequestID: written.RequestID, Failure: failure}) })
	})
}

// storeWrite hands a write to the store: a snapshot to keep, or a record for the log.
func (n *Node) storeWrite(written statemachine.Write) error {
	if written.Snapshot != nil {
		return n.store.Compact(written.Snapshot)
	}
	return n.store.Append([][]byte{written.Record})
}
