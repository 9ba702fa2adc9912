package distribution

import (
	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// Bounds of a versionHistory.
const (
	maxPatches         = 64
	maxPatchBytes      = 256 << 10
	patchOverheadBytes = 64 // about what the two positions of a difference take in a frame
)

// versionHistory is the last versions of a configuration as a chain of differences, each from the
// version before, that ends at the current version. A child that is a few versions behind is sent
// these in place of the whole configuration. A relay keeps the differences that it was sent, and
// passes them on as they are.
type versionHistory struct {
	patches    []message.ConfigurationPatch
	compressed []byte // the current version as a snapshot; empty until it is asked for
}

// add appends the difference that leads to a new current version.
func (h *versionHistory) add(patch message.ConfigurationPatch) {
	h.compressed = nil
	h.patches = append(h.patches, patch)
	for len(h.patches) > maxPatches || patchBytes(h.patches) > maxPatchBytes {
		h.patches = append([]message.ConfigurationPatch{}, h.patches[1:]...)
	}
}

// since returns the differences that lead from a version to the current one, or false where the
// history does not reach back to that version.
func (h *versionHistory) since(from message.Position) ([]message.ConfigurationPatch, bool) {
	for index, patch := range h.patches {
		if patch.From.SameContent(from) {
			return h.patches[index:len(h.patches):len(h.patches)], true
		}
	}
	return nil, false
}

// snapshot returns the body of the current version compressed, and keeps the result until the next
// version.
func (h *versionHistory) snapshot(body []byte) []byte {
	if len(h.compressed) == 0 {
		h.compressed = delta.Encode(nil, body)
	}
	return h.compressed
}

// patchBytes returns about how many bytes differences take in a frame.
func patchBytes(patches []message.ConfigurationPatch) int {
	total := 0
	for _, patch := range patches {
		total += len(patch.Difference) + patchOverheadBytes
	}
	return total
}
