package node

import (
	"context"

	"beaconvane/internal/statemachine"
)

// maxBatch is how many writes are taken from the queue at once.
const maxBatch = 256

// runDisk carries out writes in their order. What waits at one time is synced together.
func (n *Node) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.writes:
			failure := n.writeBatch(n.nextBatch(first))
			if failure != nil && n.build != nil && !n.recoverDisk(ctx) {
				return
			}
		}
	}
}

// nextBatch returns a write with those that wait behind it.
func (n *Node) nextBatch(first *statemachine.Write) []*statemachine.Write {
	batch := []*statemachine.Write{first}
	for len(n.writes) > 0 && len(batch) < maxBatch {
		batch = append(batch, <-n.writes)
	}
	return batch
}

// writeBatch carries out a batch in its order, tells the machine of each write, and returns the
// first failure. Once a write has failed the store refuses the rest, and the machine is told so of
// each.
func (n *Node) writeBatch(batch []*statemachine.Write) error {
	var firstFailure error
	for len(batch) > 0 {
		count, failure := n.writeLeading(batch)
		if firstFailure == nil {
			firstFailure = failure
		}
		if !n.notifySynced(batch[:count], failure) {
			return firstFailure
		}
		batch = batch[count:]
	}
	return firstFailure
}

// writeLeading writes a snapshot that leads the batch, or all records before the next snapshot, with
// one sync. It returns how many writes that was.
func (n *Node) writeLeading(batch []*statemachine.Write) (count int, failure error) {
	n.counters.increment(counterDiskSyncs)
	if snapshot := batch[0].Snapshot; snapshot != nil {
		n.counters.add(counterDiskBytes, len(snapshot))
		return 1, n.store.Compact(snapshot)
	}
	records, size := leadingRecords(batch)
	n.counters.add(counterDiskBytes, size)
	return len(records), n.store.Append(records)
}

// leadingRecords returns the records before the first snapshot, and their size in bytes.
func leadingRecords(batch []*statemachine.Write) (records [][]byte, size int) {
	for _, write := range batch {
		if write.Snapshot != nil {
			break
		}
		records = append(records, write.Record)
		size += len(write.Record)
	}
	return records, size
}

// notifySynced tells the machine what became of writes; it returns false when the process stops.
func (n *Node) notifySynced(writes []*statemachine.Write, failure error) bool {
	for _, write := range writes {
		select {
		case n.commands <- statemachine.Synced{RequestID: write.RequestID, Failure: failure}:
		case <-n.Group.Context.Done():
			return false
		}
	}
	return true
}
