package distribution

import (
	"hash/fnv"
	"strings"
	"time"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// Topic name prefixes, which identify the kind of a topic. They are part of the wire format.
const (
	configurationPrefix = "configuration:"
	slicePrefix         = "slice:"
)

// ConfigurationTopic returns the topic name of a configuration.
func ConfigurationTopic(configName string) string { return configurationPrefix + configName }

// SliceTopic returns the topic name of a zone's slice of the roster.
func SliceTopic(zone string) string { return slicePrefix + zone }

// IsConfiguration reports whether a topic is a configuration. All other topics are slices.
func IsConfiguration(topic string) bool { return strings.HasPrefix(topic, configurationPrefix) }

// neverFresh is the freshAt of a topic that has not been known to be current since the process started.
const neverFresh = time.Duration(-1 << 62)

// topicState is a node's replica of one topic. The content of a slice is in slice; that of a
// configuration is in current, body and history.
type topicState struct {
	hasContent bool          // false until the first content has been received or written
	freshAt    time.Duration // when the content was last known to match the source, or neverFresh

	slice *RosterSlice // nil for a configuration

	current message.Position
	body    []byte
	history versionHistory

	// mismatched is set when a difference could not be applied or did not produce the version that it
	// names. The node then requests a snapshot of the configuration.
	mismatched bool
}

// newTopicState returns a topic without content.
func newTopicState(topic string) *topicState {
	state := &topicState{current: message.Position{Topic: topic}, freshAt: neverFresh}
	if !IsConfiguration(topic) {
		state.slice = NewRosterSlice(topic)
	}
	return state
}

// position returns the position of the current content.
func (t *topicState) position() message.Position {
	if t.slice != nil {
		return t.slice.Position
	}
	return t.current
}

// requestPosition returns the position to send in a request. After a mismatch it is the empty position,
// so that the answer contains a snapshot.
func (t *topicState) requestPosition() message.Position {
	if t.mismatched {
		return message.Position{Topic: t.current.Topic}
	}
	return t.position()
}

// fresh reports whether the content has been known to be current since the process started.
func (t *topicState) fresh() bool { return t.hasContent && t.freshAt != neverFresh }

// setConfiguration replaces a configuration by a version whose complete body is available, and records
// the difference from the version before.
func (t *topicState) setConfiguration(position message.Position, body []byte) {
	if t.hasContent {
		patch := message.ConfigurationPatch{From: t.current, To: position, Difference: delta.Encode(t.body, body)}
		t.history.add(patch)
	}
	t.current, t.body, t.hasContent, t.mismatched = position, body, true, false
}

// applyPatches applies consecutive differences to a configuration, starting with the one whose From is
// the current version, and reports whether the version advanced. It stops and sets mismatched at the
// first difference that cannot be applied or whose result does not have the digest of its target
// position.
func (t *topicState) applyPatches(patches []message.ConfigurationPatch, sizeLimit int64) bool {
	advanced := false
	for _, patch := range patches {
		if !patch.From.SameContent(t.current) {
			continue
		}
		body, err := delta.Apply(t.body, patch.Difference, sizeLimit)
		if err != nil || !configurationPosition(patch.To.Topic, patch.To.Seq, body).SameContent(patch.To) {
			t.mismatched = true
			return advanced
		}
		t.history.add(patch)
		t.current, t.body = patch.To, body
		advanced = true
	}
	return advanced
}

// applyChanges applies changes to a slice and reports whether its position advanced.
func (t *topicState) applyChanges(changes []message.RosterChange) bool {
	advanced := false
	for _, change := range changes {
		if t.slice.Apply(change) {
			advanced = true
		}
	}
	return advanced
}

// applySnapshot replaces the content by that of a snapshot and reports whether it succeeded. It rejects
// a configuration whose digest differs from the one in the position.
func (t *topicState) applySnapshot(position message.Position, encoded []byte, sizeLimit int64) bool {
	if t.slice == nil {
		body, err := delta.Apply(nil, encoded, sizeLimit)
		if err != nil || !configurationPosition(position.Topic, position.Seq, body).SameContent(position) {
			return false
		}
		t.setConfiguration(position, body)
		return true
	}
	decoded, err := message.Decode(encoded)
	snapshot, isSlice := decoded.(message.RosterSlice)
	if err != nil || !isSlice {
		return false
	}
	t.slice.Replace(position, snapshot.Registrations)
	t.hasContent = true
	return true
}

// snapshot returns the complete content as it is sent: compressed for a configuration, encoded for a
// slice.
func (t *topicState) snapshot() []byte {
	if t.slice == nil {
		return t.history.snapshot(t.body)
	}
	encoded, err := message.Encode(message.RosterSlice{Registrations: t.slice.List()})
	if err != nil {
		// Encoding fails only for types that package message does not register, which is a programming
		// error.
		panic("distribution: encode snapshot: " + err.Error())
	}
	return encoded
}

// configurationPosition returns the position of a version of a configuration, which contains the digest
// of the body.
func configurationPosition(topic string, version int64, body []byte) message.Position {
	hash := fnv.New64a()
	hash.Write(body)
	return message.Position{Topic: topic, Seq: version, Count: 1, Hash: int64(hash.Sum64())}
}
