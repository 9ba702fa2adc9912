package configstore

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// Successive versions of a configuration usually differ little. Logs are therefore sent with each version
// encoded as the difference from the version before it, and the first version compressed by itself. A log
// of sixteen versions of a large configuration is then hardly longer than one version, so it doesn't delay
// the lease renewals on the same connections.

const (
	// maxCachedDifferences bounds the number of differences that an encoder caches between two logs.
	maxCachedDifferences = 64
	// compressionThreshold is the size in bytes above which the body of a response is compressed.
	compressionThreshold = 1 << 10
)

// errDigest is returned for decoded content whose digest is not the expected one.
var errDigest = errors.New("configstore: content differs from its digest")

// differenceKey identifies a difference by the digests of both contents. Version numbers would not do: the
// number of a write that was never committed may be committed later with different content.
type differenceKey struct {
	base, content [sha256.Size]byte
}

// differenceEncoder encodes logs that are sent to other voters. It caches the differences of the last
// encoded log, since most of them occur in the next one too.
type differenceEncoder struct {
	differences    map[differenceKey][]byte
	compressedKey  differenceKey
	compressedBody []byte
}

// difference returns the difference from base to body, and its key in the cache.
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

// compress returns a body compressed by itself. The last result is cached, since every write that changes
// nothing is answered with the current version.
func (e *differenceEncoder) compress(body []byte) []byte {
	key := differenceKey{content: sha256.Sum256(body)}
	if e.compressedKey != key || len(e.compressedBody) == 0 {
		e.compressedKey, e.compressedBody = key, delta.Encode(nil, body)
	}
	return e.compressedBody
}

// encode returns the entries with their bodies replaced by differences. The entries must be grouped by
// configuration, oldest first.
func (e *differenceEncoder) encode(entries []message.StoredConfiguration) []message.StoredConfiguration {
	encoded := make([]message.StoredConfiguration, 0, len(entries))
	current := map[differenceKey][]byte{}
	previous := message.StoredConfiguration{}
	for _, entry := range entries {
		if entry.ConfigName != previous.ConfigName {
			previous = message.StoredConfiguration{}
		}
		key, difference := e.difference(previous.Body, entry.Body)
		current[key] = difference
		previous = entry
		entry.Body = difference
		encoded = append(encoded, entry)
	}
	e.differences = current
	return encoded
}

// decodeDifferences decodes the bodies of encoded entries and compares them with the digests. A body that
// already has the expected digest is used unchanged: earlier builds send bodies unencoded. limit is the
// maximum size of a body in bytes.
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

// decompressWrite decompresses the content of a write. If that fails, as it does for content above the
// limit, the write is marked as too large and refused later with the fault that is recorded here.
func decompressWrite(request message.WriteRequest, limit int64) message.WriteRequest {
	body, err := delta.Apply(nil, request.Body, limit)
	if err != nil {
		request.Check = message.ContentCheck{Done: true, TooLarge: true, Faults: []string{"$: " + err.Error()}}
	}
	request.Body, request.Compressed = body, false
	return request
}

// appendBase returns the version that the next append is encoded against. With the guard appendInOrder
// disabled it is empty: otherwise the digest would detect a wrong base and hide the missing guard.
func (m *Machine) appendBase(configName string) message.StoredConfiguration {
	if guardsOff.appendInOrder {
		return message.StoredConfiguration{}
	}
	return m.log.newestEntry(configName)
}

// appendDelta returns the message that appends an entry, encoded as a difference. sendProposal sets the
// identity.
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

// decodeAppend decodes an append against the last version in this voter's log. It reports false if that
// version is not the one that the append was encoded against.
func (m *Machine) decodeAppend(encoded message.LogAppendDelta) (entry message.LogAppend, baseMatches bool) {
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
