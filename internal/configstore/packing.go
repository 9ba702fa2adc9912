package configstore

// This file makes the log small on its way between stores. Versions of one configuration
// differ little, so each travels as the difference from the one before it, and the first one
// compressed: a log of sixteen versions of a large configuration is then hardly longer than
// one of them, and the leases that are renewed on the same links don't wait for it.

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// errDigest is returned for content that is not what its digest says.
var errDigest = errors.New("configstore: content differs from its digest")

// differenceKey names a difference by the digests of both contents. Numbers wouldn't do: a
// version that was lost in flight may be committed with another content later.
type differenceKey struct {
	base, content [sha256.Size]byte
}

// differencesKept bounds what a packer keeps between two logs.
const differencesKept = 64

// packer makes differences, and keeps those of its last log: all but the newest are the same
// the next time.
type packer struct {
	made      map[differenceKey][]byte
	wholeKey  differenceKey
	wholeMade []byte
}

func (p *packer) difference(base, body []byte) (differenceKey, []byte) {
	key := differenceKey{sha256.Sum256(base), sha256.Sum256(body)}
	if made, known := p.made[key]; known {
		return key, made
	}
	if p.made == nil || len(p.made) >= differencesKept {
		p.made = map[differenceKey][]byte{}
	}
	p.made[key] = delta.Encode(base, body)
	return key, p.made[key]
}

// packedFrom is the size in bytes above which a content travels compressed.
const packedFrom = 1 << 10

// whole is a version compressed by itself. The last one is kept: orders that alter nothing
// are all answered with the current version.
func (p *packer) whole(body []byte) []byte {
	key := differenceKey{content: sha256.Sum256(body)}
	if p.wholeKey != key || len(p.wholeMade) == 0 {
		p.wholeKey, p.wholeMade = key, delta.Encode(nil, body)
	}
	return p.wholeMade
}

// pack returns the versions with differences for bodies. Versions of one configuration stand
// together, in their order.
func (p *packer) pack(list []message.StoredConfiguration) []message.StoredConfiguration {
	packed, used := make([]message.StoredConfiguration, 0, len(list)), map[differenceKey][]byte{}
	before := message.StoredConfiguration{}
	for _, configuration := range list {
		if configuration.ConfigName != before.ConfigName {
			before = message.StoredConfiguration{}
		}
		key, difference := p.difference(before.Body, configuration.Body)
		used[key] = difference
		before = configuration
		configuration.Body = difference
		packed = append(packed, configuration)
	}
	p.made = used
	return packed
}

// unpack rebuilds the bodies of packed versions, and holds them against the digests. A body
// that is whole already, as an earlier build sends it, is taken as it is.
func unpack(list []message.StoredConfiguration, digests []message.VersionDigest, limit int64) ([]message.StoredConfiguration, error) {
	history := newVersionHistory(mostDigests, digests)
	whole, before := make([]message.StoredConfiguration, 0, len(list)), message.StoredConfiguration{}
	for _, configuration := range list {
		if configuration.ConfigName != before.ConfigName {
			before = message.StoredConfiguration{}
		}
		digest, known := history.digestOf(configuration.ConfigName, configuration.Version)
		if !known || !bytes.Equal(digest, contentDigest(configuration.Body)) {
			body, err := delta.Apply(before.Body, configuration.Body, limit)
			if err != nil {
				return nil, fmt.Errorf("version %d: %w", configuration.Version, err)
			}
			if known && !bytes.Equal(digest, contentDigest(body)) {
				return nil, fmt.Errorf("version %d: %w", configuration.Version, errDigest)
			}
			configuration.Body = body
		}
		before = configuration
		whole = append(whole, configuration)
	}
	return whole, nil
}

// unpackWrite rebuilds the content of a write; one that is over the limit goes its way to
// being refused without it.
func (m *Machine) unpackWrite(write message.WriteRequest) message.WriteRequest {
	body, err := delta.Apply(nil, write.Body, m.settings.Limits.Configuration)
	if err != nil {
		write.Check = message.ContentCheck{Done: true, TooLarge: true, Faults: []string{"$: " + err.Error()}}
	}
	write.Body, write.Packed = body, false
	return write
}

// newestHeld is the newest version of a configuration in the log, committed or not; an empty
// one for none.
func (m *Machine) newestHeld(configName string) message.StoredConfiguration {
	list := m.configurations[configName]
	if len(list) == 0 {
		return message.StoredConfiguration{}
	}
	return list[len(list)-1]
}

// appendBase is what the next append is a difference from. A difference from the wrong version
// is found out by its digest, so the guard of the order covers for it only without one.
func (m *Machine) appendBase(configName string) message.StoredConfiguration {
	if guardsOff.appendInOrder {
		return message.StoredConfiguration{}
	}
	return m.newestHeld(configName)
}

// packedAppend is the append of the version in flight, as it travels.
func (m *Machine) packedAppend(configuration message.StoredConfiguration) message.LogAppendDelta {
	base := m.appendBase(configuration.ConfigName)
	_, difference := m.packer.difference(base.Body, configuration.Body)
	return message.LogAppendDelta{Epoch: configuration.Epoch, Seq: configuration.Seq, Voter: m.quorum.Voter, ConfigName: configuration.ConfigName,
		Version: configuration.Version, Base: base.Version, Difference: difference, Digest: contentDigest(configuration.Body)}
}

// unpackAppend rebuilds the append that follows this voter's log; false where the log isn't
// what the difference was made from.
func (m *Machine) unpackAppend(packed message.LogAppendDelta) (message.LogAppend, bool) {
	base := m.appendBase(packed.ConfigName)
	if base.Version != packed.Base {
		return message.LogAppend{}, false
	}
	body, err := delta.Apply(base.Body, packed.Difference, m.settings.Limits.Configuration)
	if err != nil || !bytes.Equal(packed.Digest, contentDigest(body)) {
		return message.LogAppend{}, false
	}
	return message.LogAppend{Epoch: packed.Epoch, Seq: packed.Seq, Voter: packed.Voter, Identity: packed.Identity,
		Configuration: message.StoredConfiguration{ConfigName: packed.ConfigName, Version: packed.Version, Epoch: packed.Epoch, Seq: packed.Seq, Body: body}}, true
}

// logSnapshot is the whole log as it travels.
func (m *Machine) logSnapshot(epoch int64) message.LogSnapshot {
	return message.LogSnapshot{Epoch: epoch, Voter: m.quorum.Voter, AtEpoch: m.epoch, AtSeq: m.seq, Configurations: m.packer.pack(m.all()), History: m.history.entries}
}
