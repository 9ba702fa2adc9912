package distribution

import (
	"time"

	"beaconvane/internal/message"
)

// unknownAge is the Age of pushes and chunks, and of content that has not been known to be current
// since the process started.
const unknownAge = -1

// updateItem returns the update that brings a child from a position of a topic to this node's position:
// nothing, the differences or changes since, or a snapshot.
func (d *Distribution) updateItem(now time.Duration, position message.Position) message.UpdateItem {
	state := d.topic(position.Topic)
	item := message.UpdateItem{
		Position: message.Position{Topic: position.Topic},
		Age:      unknownAge,
		Body:     []byte{},
		Changes:  []message.RosterChange{},
		Patches:  []message.ConfigurationPatch{},
	}
	if !state.hasContent {
		return item
	}
	item.HasContent, item.Position = true, state.position()
	if state.fresh() {
		item.Age = int64(now - state.freshAt)
	}
	if item.Position.SameContent(position) || item.Position.Before(position) || state.addDifference(&item, position) {
		return item
	}
	snapshot := d.snapshotItem(state, 0)
	snapshot.Age = item.Age
	return snapshot
}

// addDifference adds the differences or changes from an older position to the current one, and reports
// whether it did. It does not if they are no longer available, or if the differences of a configuration
// are at least as large as its snapshot.
func (t *topicState) addDifference(item *message.UpdateItem, from message.Position) bool {
	if t.slice == nil {
		patches, found := t.history.since(from)
		if !found || patchBytes(patches) >= len(t.snapshot()) {
			return false
		}
		item.Patches = patches
		return true
	}
	if !from.Before(t.slice.Position) {
		return false
	}
	changes, found := t.slice.Since(from)
	if found {
		item.Changes = changes
	}
	return found
}

// snapshotItem returns the chunk of a topic's snapshot that starts at an offset.
func (d *Distribution) snapshotItem(state *topicState, offset int64) message.UpdateItem {
	body := state.snapshot()
	end := min(int64(len(body)), offset+int64(d.chunkBytes))
	return message.UpdateItem{
		Position:      state.position(),
		Age:           unknownAge,
		HasContent:    true,
		Snapshot:      true,
		Body:          body[min(offset, end):end],
		SnapshotBytes: int64(len(body)),
		Offset:        offset,
		Changes:       []message.RosterChange{},
		Patches:       []message.ConfigurationPatch{},
	}
}

// isComplete reports whether an item contains a complete snapshot rather than a chunk of it.
func isComplete(item message.UpdateItem) bool {
	return item.Offset == 0 && item.SnapshotBytes == int64(len(item.Body))
}
