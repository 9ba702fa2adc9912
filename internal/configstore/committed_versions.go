package configstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"beaconvane/internal/message"
)

// maxDigests bounds the number of digests over all configurations. When it is exceeded, the oldest half
// is discarded. All voters discard the same digests, since they add the same versions in the same order.
const maxDigests = 8192

// pastOutcome is the result of comparing a write's version number and content with the committed versions.
type pastOutcome int

const (
	neverCommitted   pastOutcome = iota
	committedSame                // the same content was committed under this number
	committedOther               // different content was committed under this number
	olderThanHistory             // the number is not above the floor: its digest may have been discarded
)

// committedVersions holds the digests of committed versions, also of those whose content was dropped. A
// client whose response was lost repeats its write, sometimes much later. The digest distinguishes such a
// repeated write, which must be acknowledged again, from different content under a committed number,
// which must be refused.
type committedVersions struct {
	limit   int
	entries []message.VersionDigest     // in commit order
	digests map[string]map[int64][]byte // by configuration and version
	floors  map[string]int64            // by configuration: highest version whose digest was discarded
	chain   [sha256.Size]byte           // hash chain over all entries in order
}

// newCommittedVersions returns a history of at most limit digests that contains the given entries.
func newCommittedVersions(limit int, entries []message.VersionDigest) *committedVersions {
	v := &committedVersions{limit: limit, digests: map[string]map[int64][]byte{}, floors: map[string]int64{}}
	for _, entry := range entries {
		v.append(entry)
	}
	return v
}

// contentDigest returns the SHA-256 digest of a content.
func contentDigest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// append adds an entry of the disk or of another voter. An entry without a digest is a floor: digests of
// its configuration up to its version were discarded.
func (v *committedVersions) append(entry message.VersionDigest) {
	v.entries = append(v.entries, entry)
	v.extendChain(entry)
	if len(entry.Digest) == 0 {
		v.floors[entry.ConfigName] = max(v.floors[entry.ConfigName], entry.Version)
		return
	}
	if v.digests[entry.ConfigName] == nil {
		v.digests[entry.ConfigName] = map[int64][]byte{}
	}
	v.digests[entry.ConfigName][entry.Version] = entry.Digest
}

// extendChain replaces the chain by the hash of the chain and an entry.
func (v *committedVersions) extendChain(entry message.VersionDigest) {
	sum := sha256.New()
	sum.Write(v.chain[:])
	sum.Write(binary.BigEndian.AppendUint64(nil, uint64(entry.Version)))
	sum.Write([]byte(entry.ConfigName))
	sum.Write([]byte{0})
	sum.Write(entry.Digest)
	sum.Sum(v.chain[:0])
}

// add records the digest of a version that is appended to the log, and trims the history if it exceeds
// the limit.
func (v *committedVersions) add(configName string, version int64, digest []byte) {
	v.append(message.VersionDigest{ConfigName: configName, Version: version, Digest: digest})
	if len(v.entries) > v.limit {
		v.trim()
	}
}

// trim discards the older half of the entries and adds a floor for each configuration among them.
func (v *committedVersions) trim() {
	half := len(v.entries) / 2
	discarded, retained := v.entries[:half], v.entries[half:]
	configNames, floors := []string{}, map[string]int64{}
	for _, entry := range discarded {
		if _, known := floors[entry.ConfigName]; !known {
			configNames = append(configNames, entry.ConfigName)
		}
		floors[entry.ConfigName] = max(floors[entry.ConfigName], entry.Version)
	}
	entries := []message.VersionDigest{}
	for _, configName := range configNames {
		floor := message.VersionDigest{ConfigName: configName, Version: floors[configName], Digest: []byte{}}
		entries = append(entries, floor)
	}
	*v = *newCommittedVersions(v.limit, append(entries, retained...))
}

// digestOf returns the digest of a committed version, if it is in the history.
func (v *committedVersions) digestOf(configName string, version int64) ([]byte, bool) {
	digest, known := v.digests[configName][version]
	return digest, known
}

// outcome compares a write with the content that was committed under its version number.
func (v *committedVersions) outcome(configName string, version int64, body []byte) pastOutcome {
	digest, known := v.digestOf(configName, version)
	if guardsOff.versionHistory {
		return neverCommitted
	}
	switch {
	case known && bytes.Equal(digest, contentDigest(body)):
		return committedSame
	case known:
		return committedOther
	case version <= v.floors[configName]:
		return olderThanHistory
	}
	return neverCommitted
}
