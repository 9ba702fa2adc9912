package distribution

import (
	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// Limits of a versionHistory.
const (
	maxPatches         = 64
	maxPatchBytes      = 256 << 10
	patchOverheadBytes = 64 // approximate encoded size of the two positions of a difference
)

// versionHistory contains the most recent versions of a configuration as a chain of differences that
// ends at the current version. A child that is a few versions behind receives these differences instead
// of a snapshot. A relay stores the differences that it received and forwards them unchanged.
type versionHistory struct {
	patches    []message.ConfigurationPatch
	compressed []byte // cached snapshot of the current version; empty until first requested
}

// add appends the difference that leads to a new current version, and drops the oldest differences that
// exceed the limits.
func (h *versionHistory) add(patch message.ConfigurationPatch) {
	h.compressed = nil
	h.patches = append(h.patches, patch)
	for len(h.patches) > maxPatches || patchBytes(h.patches) > maxPatchBytes {
		h.patches = append([]message.ConfigurationPatch{}, h.patches[1:]...)
	}
}

// since returns the differences that lead from a version to the current one, or false if that version
// is not in the history.
func (h *versionHistory) since(from message.Position) ([]message.ConfigurationPatch, bool) {
	for index, patch := range h.patches {
		if patch.From.SameContent(from) {
			return h.patches[index:len(h.patches):len(h.patches)], true
		}
	}
	return nil, false
}

// snapshot returns the compressed body of the current version and caches it until the next version.
func (h *versionHistory) snapshot(body []byte) []byte {
	if len(h.compressed) == 0 {
		h.compressed = delta.Encode(nil, body)
	}
	return h.compressed
}

// patchBytes returns the approximate encoded size of differences.
func patchBytes(patches []message.ConfigurationPatch) int {
	total := 0
	for _, patch := range patches {
		total += len(patch.Difference) + patchOverheadBytes
	}
	return total
}
