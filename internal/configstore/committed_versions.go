package configstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"beaconvane/internal/message"
)

// maxDigests bounds the digests that are remembered over all configurations. Above it the oldest half is
// dropped, on all voters alike, since all add the same versions in the same order.
const maxDigests = 8192

// pastOutcome is what is known of a write by the number and the content that it carries.
type pastOutcome int

const (
	neverCommitted pastOutcome = iota
	committedSame              // this very content was committed under this number
	committedOther             // another content was committed under this number
	forgotten                  // the number is older than what is remembered
)

// committedVersions remembers the digest of each version that was committed, long after its content was
// dropped. A client whose response was lost sends the same write again, at times much later: the digest
// tells such a repeated write, which must be acknowledged again, from another content under a taken
// number, which must not be confirmed.
type committedVersions struct {
	limit   int
	entries []message.VersionDigest     // in the order of commitment
	digests map[string]map[int64][]byte // by configuration and version
	floors  map[string]int64            // by configuration: versions up to here are forgotten
	chain   [sha256.Size]byte           // hash over all entries, in their order
}

func newCommittedVersions(limit int, entries []message.VersionDigest) *committedVersions {
	v := &committedVersions{limit: limit, digests: map[string]map[int64][]byte{}, floors: map[string]int64{}}
	for _, entry := range entries {
		v.append(entry)
	}
	return v
}

// contentDigest returns the digest of a content. It is computed once for each version that is stored.
func contentDigest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// append takes an entry as another voter or the disk has it. An entry without a digest says up to which
// version its configuration is forgotten.
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

// extendChain folds an entry into the chain.
func (v *committedVersions) extendChain(entry message.VersionDigest) {
	sum := sha256.New()
	sum.Write(v.chain[:])
	sum.Write(binary.BigEndian.AppendUint64(nil, uint64(entry.Version)))
	sum.Write([]byte(entry.ConfigName))
	sum.Write([]byte{0})
	sum.Write(entry.Digest)
	sum.Sum(v.chain[:0])
}

// add remembers a version that is stored now.
func (v *committedVersions) add(configName string, version int64, digest []byte) {
	v.append(message.VersionDigest{ConfigName: configName, Version: version, Digest: digest})
	if len(v.entries) > v.limit {
		v.trim()
	}
}

// trim drops the older half, and leaves a floor for each configuration that lost versions.
func (v *committedVersions) trim() {
	half := len(v.entries) / 2
	dropped, kept := v.entries[:half], v.entries[half:]
	order, floors := []string{}, map[string]int64{}
	for _, entry := range dropped {
		if _, known := floors[entry.ConfigName]; !known {
			order = append(order, entry.ConfigName)
		}
		floors[entry.ConfigName] = max(floors[entry.ConfigName], entry.Version)
	}
	remaining := []message.VersionDigest{}
	for _, configName := range order {
		floor := message.VersionDigest{ConfigName: configName, Version: floors[configName], Digest: []byte{}}
		remaining = append(remaining, floor)
	}
	*v = *newCommittedVersions(v.limit, append(remaining, kept...))
}

// digestOf returns the digest that is remembered of a version.
func (v *committedVersions) digestOf(configName string, version int64) ([]byte, bool) {
	digest, known := v.digests[configName][version]
	return digest, known
}

// outcome compares a write with what was committed under its number.
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
		return forgotten
	}
	return neverCommitted
}
