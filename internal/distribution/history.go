package distribution

// This file is the history of one configuration: its last versions as differences, each
// from the version before, so that a child that is a few versions behind is sent those
// instead of the whole configuration. A relay keeps the differences that it was sent and
// passes them on as they are.

import (
	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// What a history keeps: so many differences, of so many bytes together.
const (
	patchesKept     = 64
	patchBytesKept  = 256 << 10
	patchFrameBytes = 64 // of a difference's two positions in a frame, about
)

// history is a chain of differences that ends at the current version.
type history struct {
	patches []message.ConfigurationPatch
	packed  []byte // the current version whole and compressed; empty: not made yet
}

// patchBytes is about what differences take in a frame.
func patchBytes(patches []message.ConfigurationPatch) int {
	total := 0
	for _, patch := range patches {
		total += len(patch.Difference) + patchFrameBytes
	}
	return total
}

// since gives the differences that lead from a version to the current one; false where
// the history does not reach back to it.
func (h *history) since(from message.Position) ([]message.ConfigurationPatch, bool) {
	for index, patch := range h.patches {
		if patch.From.Same(from) {
			return h.patches[index:len(h.patches):len(h.patches)], true
		}
	}
	return nil, false
}

// add appends the difference to a new current version.
func (h *history) add(patch message.ConfigurationPatch) {
	h.packed = nil
	h.patches = append(h.patches, patch)
	for len(h.patches) > patchesKept || patchBytes(h.patches) > patchBytesKept {
		h.patches = append([]message.ConfigurationPatch{}, h.patches[1:]...)
	}
}

// packed gives the current version whole and compressed.
func (h *topicState) packed() []byte {
	if len(h.history.packed) == 0 {
		h.history.packed = delta.Encode(nil, h.body)
	}
	return h.history.packed
}

// moveTo sets a configuration's content to a version that is here whole.
func (h *topicState) moveTo(mark message.Position, body []byte) {
	if h.known {
		h.history.add(message.ConfigurationPatch{From: h.mark, To: mark, Difference: delta.Encode(h.body, body)})
	}
	h.mark, h.body, h.known, h.mismatched = mark, body, true, false
}

// follow applies differences to a configuration, from the one that begins at the version
// held; false where nothing moved. A difference whose result is not what it names makes
// this node ask for the whole configuration.
func (h *topicState) follow(patches []message.ConfigurationPatch, limit int64) bool {
	moved := false
	for _, patch := range patches {
		if !patch.From.Same(h.mark) {
			continue
		}
		body, err := delta.Apply(h.body, patch.Difference, limit)
		if err != nil || !configurationMark(patch.To.Topic, patch.To.Seq, body).Same(patch.To) {
			h.mismatched = true
			return moved
		}
		h.history.add(patch)
		h.mark, h.body = patch.To, body
		moved = true
	}
	return moved
}

// asked is the position that a parent is told, so that it answers with what is missing.
func (h *topicState) asked() message.Position {
	if h.mismatched {
		return message.Position{Topic: h.mark.Topic}
	}
	return h.at()
}
