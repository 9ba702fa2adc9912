// This file is what a store remembers of the versions that were committed: the digest of
// each content, kept long after the content itself was dropped. An operator whose answer
// was lost sends the same order again, at times much later; the digest tells a resent
// order, which must be acknowledged again, from another content under a taken number,
// which must not be confirmed.

package configstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"beaconvane/internal/message"
)

// Digests remembered over all configurations. Past the most, the oldest half is dropped, on
// every voter alike, since every voter adds the same versions in the same order.
const mostDigests = 8192

// pastOutcome is what is known of an order by the number and the content that it bears.
type pastOutcome int

const (
	neverTaken pastOutcome = iota
	takenAlike             // this very content was committed under this number
	takenOther             // another content was committed under this number
	forgotten              // so old that nothing is known any more
)

// versionHistory holds the digests in the order of commitment.
type versionHistory struct {
	most    int
	entries []message.VersionDigest
	digests map[string]map[int64][]byte // by configuration and version
	floors  map[string]int64            // versions up to here are forgotten
	chain   [sha256.Size]byte           // over all entries
}

func newVersionHistory(most int, entries []message.VersionDigest) *versionHistory {
	h := &versionHistory{most: most, digests: map[string]map[int64][]byte{}, floors: map[string]int64{}}
	for _, entry := range entries {
		h.append(entry)
	}
	return h
}

// contentDigest is computed once for each configuration that is stored.
func contentDigest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// append takes an entry as it is told by another voter or the disk; one without a digest
// marks how far the versions of its configuration are forgotten.
func (h *versionHistory) append(entry message.VersionDigest) {
	h.entries = append(h.entries, entry)
	h.link(entry)
	if len(entry.Digest) == 0 {
		h.floors[entry.ConfigName] = max(h.floors[entry.ConfigName], entry.Version)
		return
	}
	if h.digests[entry.ConfigName] == nil {
		h.digests[entry.ConfigName] = map[int64][]byte{}
	}
	h.digests[entry.ConfigName][entry.Version] = entry.Digest
}

// link folds an entry into the chain.
func (h *versionHistory) link(entry message.VersionDigest) {
	sum := sha256.New()
	sum.Write(h.chain[:])
	binary.Write(sum, binary.BigEndian, entry.Version)
	sum.Write([]byte(entry.ConfigName))
	sum.Write([]byte{0})
	sum.Write(entry.Digest)
	sum.Sum(h.chain[:0])
}

// add remembers a version that is stored now.
func (h *versionHistory) add(configName string, version int64, digest []byte) {
	h.append(message.VersionDigest{ConfigName: configName, Version: version, Digest: digest})
	if len(h.entries) > h.most {
		h.trim()
	}
}

// trim drops the older half and leaves a floor for each configuration that lost versions.
func (h *versionHistory) trim() {
	dropped, kept := h.entries[:len(h.entries)/2], h.entries[len(h.entries)/2:]
	order, floors := []string{}, map[string]int64{}
	for _, entry := range dropped {
		if _, met := floors[entry.ConfigName]; !met {
			order = append(order, entry.ConfigName)
		}
		floors[entry.ConfigName] = max(floors[entry.ConfigName], entry.Version)
	}
	remaining := []message.VersionDigest{}
	for _, configName := range order {
		remaining = append(remaining, message.VersionDigest{ConfigName: configName, Version: floors[configName], Digest: []byte{}})
	}
	*h = *newVersionHistory(h.most, append(remaining, kept...))
}

// digestOf is the digest remembered of a version.
func (h *versionHistory) digestOf(configName string, version int64) ([]byte, bool) {
	digest, known := h.digests[configName][version]
	return digest, known
}

// outcome compares an order with what was committed under its number.
func (h *versionHistory) outcome(configName string, version int64, body []byte) pastOutcome {
	digest, known := h.digestOf(configName, version)
	if guardsOff.versionHistory {
		return neverTaken
	}
	switch {
	case known && bytes.Equal(digest, contentDigest(body)):
		return takenAlike
	case known:
		return takenOther
	case version <= h.floors[configName]:
		return forgotten
	}
	return neverTaken
}
