package node

import (
	"context"

	"beaconvane/internal/statemachine"
)

// maxBatch is the maximum number of writes in a batch.
const maxBatch = 256

// runDisk performs the queued writes in order, until ctx ends. All writes that are queued at a time form a
// batch, so that they can share a sync.
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

// nextBatch returns a batch of the given write and those queued behind it.
func (n *Node) nextBatch(first *statemachine.Write) []*statemachine.Write {
	batch := []*statemachine.Write{first}
	for len(n.writes) > 0 && len(batch) < maxBatch {
		batch = append(batch, <-n.writes)
	}
	return batch
}

// writeBatch performs a batch in order, notifies the machine of the result of each write, and returns the
// first failure. After a failed write, the store rejects the remaining ones, and the machine is notified of
// each failure.
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

// writeLeading writes with one sync either the snapshot at the start of the batch or all records before
// the first snapshot. It returns the number of writes.
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

// leadingRecords returns the records before the first snapshot in the batch and their total size in bytes.
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

// notifySynced notifies the machine of the result of writes. It returns false if the process is stopping.
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
