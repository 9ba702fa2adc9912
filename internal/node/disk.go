package node

import (
	"context"

	"beaconvane/internal/statemachine"
)

// runDisk writes in order; writes that wait at one time are synced together.
func (n *Node) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.writes:
			batch := []*statemachine.Write{first}
			for len(n.writes) > 0 && len(batch) < maxBatch {
				batch = append(batch, <-n.writes)
			}
			if n.sync(batch) != nil && n.build != nil && !n.recoverDisk(ctx) {
				return
			}
		}
	}
}

// sync writes a batch in order and gives the first failure.
func (n *Node) sync(batch []*statemachine.Write) error {
	var first error
	for len(batch) > 0 {
		run := 0
		records, size := [][]byte{}, len(batch[0].Snapshot)
		for run < len(batch) && batch[run].Snapshot == nil {
			records = append(records, batch[run].Record)
			size += len(batch[run].Record)
			run++
		}
		n.count("disk_syncs")
		n.add("disk_bytes", size)
		var failure error
		if run > 0 {
			failure = n.store.Append(records)
		} else {
			run, failure = 1, n.store.Compact(batch[0].Snapshot)
		}
		if first == nil {
			first = failure
		}
		for _, written := range batch[:run] {
			select {
			case n.commands <- statemachine.Synced{RequestID: written.RequestID, Failure: failure}:
			case <-n.Group.Context.Done():
				return first
			}
		}
		batch = batch[run:]
	}
	return first
}
