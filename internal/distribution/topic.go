package distribution

import (
	"hash/fnv"
	"strings"
	"time"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
)

// The prefixes tell the two kinds of topic apart; they are part of the messages.
const (
	configurationPrefix = "configuration:"
	slicePrefix         = "slice:"
)

// ConfigurationTopic names the topic of a configuration.
func ConfigurationTopic(configName string) string { return configurationPrefix + configName }

// SliceTopic names the topic of a zone's slice of the roster.
func SliceTopic(zone string) string { return slicePrefix + zone }

// IsConfiguration reports whether a topic is a configuration; the others are slices.
func IsConfiguration(topic string) bool { return strings.HasPrefix(topic, configurationPrefix) }

// never is the freshAt of a topic that was not known current in this life.
const never = time.Duration(-1 << 62)

// topicState is what a node has of one topic. A slice has its content in slice; a configuration
// in current, body and history.
type topicState struct {
	known   bool          // there is content
	freshAt time.Duration // when the content was last known current at the source, or never

	slice *RosterSlice // nil for a configuration

	current message.Position
	body    []byte
	history versionHistory

	// mismatched is set when a difference did not give the version that it names. The node then
	// asks for the whole configuration.
	mismatched bool
}

func newTopicState(topic string) *topicState {
	state := &topicState{current: message.Position{Topic: topic}, freshAt: never}
	if !IsConfiguration(topic) {
		state.slice = NewRosterSlice(topic)
	}
	return state
}

// position returns the position of the content.
func (t *topicState) position() message.Position {
	if t.slice != nil {
		return t.slice.Position
	}
	return t.current
}

// requestPosition returns the position to name in a request, so that the answer holds what is
// missing here.
func (t *topicState) requestPosition() message.Position {
	if t.mismatched {
		return message.Position{Topic: t.current.Topic}
	}
	return t.position()
}

// fresh reports whether the content was ever known current in this life.
func (t *topicState) fresh() bool { return t.known && t.freshAt != never }

// setConfiguration moves a configuration to a version whose whole body is here.
func (t *topicState) setConfiguration(position message.Position, body []byte) {
	if t.known {
		patch := message.ConfigurationPatch{From: t.current, To: position, Difference: delta.Encode(t.body, body)}
		t.history.add(patch)
	}
	t.current, t.body, t.known, t.mismatched = position, body, true, false
}

// applyPatches applies differences to a configuration, from the one that begins at its version on,
// and reports whether the version moved. At the first difference whose result is not what it names
// it stops, and sets mismatched.
func (t *topicState) applyPatches(patches []message.ConfigurationPatch, sizeLimit int64) bool {
	moved := false
	for _, patch := range patches {
		if !patch.From.SameContent(t.current) {
			continue
		}
		body, err := delta.Apply(t.body, patch.Difference, sizeLimit)
		if err != nil || !configurationPosition(patch.To.Topic, patch.To.Seq, body).SameContent(patch.To) {
			t.mismatched = true
			return moved
		}
		t.history.add(patch)
		t.current, t.body = patch.To, body
		moved = true
	}
	return moved
}

// applyChanges applies changes to a slice and reports whether its position moved.
func (t *topicState) applyChanges(changes []message.RosterChange) bool {
	moved := false
	for _, change := range changes {
		if t.slice.Apply(change) {
			moved = true
		}
	}
	return moved
}

// applySnapshot replaces the content by a snapshot's and reports whether it could. A configuration
// that does not have the digest which its position names is not taken.
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
	t.known = true
	return true
}

// snapshot returns the whole content as it is sent: a configuration compressed, a slice encoded.
func (t *topicState) snapshot() []byte {
	if t.slice == nil {
		return t.history.snapshot(t.body)
	}
	encoded, err := message.Encode(message.RosterSlice{Registrations: t.slice.List()})
	if err != nil {
		// Only a type that the encoding does not know fails, which is a programming error.
		panic("distribution: encode snapshot: " + err.Error())
	}
	return encoded
}

// configurationPosition returns the position of a version of a configuration, with its digest.
func configurationPosition(topic string, version int64, body []byte) message.Position {
	hash := fnv.New64a()
	hash.Write(body)
	return message.Position{Topic: topic, Seq: version, Count: 1, Hash: int64(hash.Sum64())}
}
