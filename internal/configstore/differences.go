package configstore

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// Versions of one configuration differ little. On its way to another voter each one is the difference
// from the version before it, and the first one is compressed by itself. A log of sixteen versions of a
// large configuration is then hardly longer than one of them, and the renewals of leases on the same
// links don't wait behind it.

const (
	// maxCachedDifferences bounds what an encoder keeps between two logs.
	maxCachedDifferences = 64
	// compressAbove is the size in bytes above which a content travels compressed.
	compressAbove = 1 << 10
)

// errDigest is returned for content that is not what its digest says.
var errDigest = errors.New("configstore: content differs from its digest")

// differenceKey names a difference by the digests of both contents. Version numbers don't name it: one
// that was lost in flight may be committed with another content later.
type differenceKey struct {
	base, content [sha256.Size]byte
}

// differenceEncoder encodes logs for travel. It caches the differences of the last log, since all but the
// newest are the same the next time.
type differenceEncoder struct {
	differences    map[differenceKey][]byte
	compressedKey  differenceKey
	compressedBody []byte
}

// difference returns what turns base into body, and its key in the cache.
func (e *differenceEncoder) difference(base, body []byte) (differenceKey, []byte) {
	key := differenceKey{sha256.Sum256(base), sha256.Sum256(body)}
	if cached, known := e.differences[key]; known {
		return key, cached
	}
	if e.differences == nil || len(e.differences) >= maxCachedDifferences {
		e.differences = map[differenceKey][]byte{}
	}
	e.differences[key] = delta.Encode(base, body)
	return key, e.differences[key]
}

// compress returns a body compressed by itself. The last one is cached: all writes that change nothing
// are answered with the current version.
func (e *differenceEncoder) compress(body []byte) []byte {
	key := differenceKey{content: sha256.Sum256(body)}
	if e.compressedKey != key || len(e.compressedBody) == 0 {
		e.compressedKey, e.compressedBody = key, delta.Encode(nil, body)
	}
	return e.compressedBody
}

// encode returns the entries with differences for bodies. Those of one configuration stand together,
// oldest first.
func (e *differenceEncoder) encode(entries []message.StoredConfiguration) []message.StoredConfiguration {
	encoded := make([]message.StoredConfiguration, 0, len(entries))
	used := map[differenceKey][]byte{}
	previous := message.StoredConfiguration{}
	for _, entry := range entries {
		if entry.ConfigName != previous.ConfigName {
			previous = message.StoredConfiguration{}
		}
		key, difference := e.difference(previous.Body, entry.Body)
		used[key] = difference
		previous = entry
		entry.Body = difference
		encoded = append(encoded, entry)
	}
	e.differences = used
	return encoded
}

// decodeDifferences rebuilds the bodies of encoded entries and compares them with the digests. A body
// that has its digest already, as an earlier build sends it, is taken as it is.
func decodeDifferences(
	entries []message.StoredConfiguration, digests []message.VersionDigest, limit int64,
) ([]message.StoredConfiguration, error) {
	history := newCommittedVersions(maxDigests, digests)
	decoded := make([]message.StoredConfiguration, 0, len(entries))
	previous := message.StoredConfiguration{}
	for _, entry := range entries {
		if entry.ConfigName != previous.ConfigName {
			previous = message.StoredConfiguration{}
		}
		digest, known := history.digestOf(entry.ConfigName, entry.Version)
		if !known || !bytes.Equal(digest, contentDigest(entry.Body)) {
			body, err := delta.Apply(previous.Body, entry.Body, limit)
			if err != nil {
				return nil, fmt.Errorf("version %d: %w", entry.Version, err)
			}
			if known && !bytes.Equal(digest, contentDigest(body)) {
				return nil, fmt.Errorf("version %d: %w", entry.Version, errDigest)
			}
			entry.Body = body
		}
		previous = entry
		decoded = append(decoded, entry)
	}
	return decoded, nil
}

// decompressWrite rebuilds the content of a write. One that is above the limit is marked as too large,
// and is refused like any other that is.
func decompressWrite(request message.WriteRequest, limit int64) message.WriteRequest {
	body, err := delta.Apply(nil, request.Body, limit)
	if err != nil {
		request.Check = message.ContentCheck{Done: true, TooLarge: true, Faults: []string{"$: " + err.Error()}}
	}
	request.Body, request.Compressed = body, false
	return request
}

// appendBase returns the version that the next append is a difference from. The guard of the order would
// be covered by the digest of a difference, which shows a wrong base, so without it there is no base.
func (m *Machine) appendBase(configName string) message.StoredConfiguration {
	if guardsOff.appendInOrder {
		return message.StoredConfiguration{}
	}
	return m.log.newest(configName)
}

// appendDelta returns the append of an entry as it travels. The identity is set when it is sent.
func (m *Machine) appendDelta(entry message.StoredConfiguration) message.LogAppendDelta {
	base := m.appendBase(entry.ConfigName)
	_, difference := m.encoder.difference(base.Body, entry.Body)
	return message.LogAppendDelta{
		Epoch:       entry.Epoch,
		Seq:         entry.Seq,
		Voter:       m.quorum.Voter,
		ConfigName:  entry.ConfigName,
		Version:     entry.Version,
		BaseVersion: base.Version,
		Difference:  difference,
		Digest:      contentDigest(entry.Body),
	}
}

// decodeAppend rebuilds the append that follows this voter's log. It reports false if the log is not what
// the difference was made from.
func (m *Machine) decodeAppend(encoded message.LogAppendDelta) (entry message.LogAppend, fits bool) {
	base := m.appendBase(encoded.ConfigName)
	if base.Version != encoded.BaseVersion {
		return message.LogAppend{}, false
	}
	body, err := delta.Apply(base.Body, encoded.Difference, m.settings.Limits.Configuration)
	if err != nil || !bytes.Equal(encoded.Digest, contentDigest(body)) {
		return message.LogAppend{}, false
	}
	return message.LogAppend{
		Epoch:    encoded.Epoch,
		Seq:      encoded.Seq,
		Voter:    encoded.Voter,
		Identity: encoded.Identity,
		Configuration: message.StoredConfiguration{
			ConfigName: encoded.ConfigName,
			Version:    encoded.Version,
			Epoch:      encoded.Epoch,
			Seq:        encoded.Seq,
			Body:       body,
		},
	}, true
}
