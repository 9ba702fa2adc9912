package distribution

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// chunksPerFrame is the number of snapshot chunks that would fit into a frame of the maximum size.
// Chunks are smaller than frames so that a single one does not occupy a slow link for long.
const chunksPerFrame = 64

// Distribution is the relay tree endpoint of one node: the child of its parent and the parent of its
// subscribers. It belongs to the node's state machine, is used by a single goroutine, and performs I/O
// only as effects on the Env.
type Distribution struct {
	settings   settings.Settings
	membership *membership.Membership
	onChange   func(env *statemachine.Env, topic string)

	topics     map[string]*topicState
	subscribed map[string]bool // topics that this node needs for itself

	parent        parentLink
	selection     parentSelection
	requests      requestLog
	nextRequestAt time.Duration
	lastTickAt    time.Duration             // time of the last Tick
	downloads     map[string]*download      // snapshots being received in chunks, by topic
	missing       map[string]missingVersion // versions that registries have reported and the parent has not delivered yet, by topic

	subscribers subscribers
	chunkBytes  int             // maximum size of a snapshot chunk
	source      *serveCondition // nil: this node always serves its content
}

// serveCondition restricts when a source serves its content. At other times alternatives returns the
// names of members that may serve it instead.
type serveCondition struct {
	mayServe     func(now time.Duration) bool
	alternatives func() []string
}

// New returns the Distribution of a node. onChange is called whenever the content of a topic has
// changed, and when unchanged content is confirmed as current for the first time since the process
// started.
func New(cfg settings.Settings, members *membership.Membership, onChange func(env *statemachine.Env, topic string)) *Distribution {
	return &Distribution{
		settings:    cfg,
		membership:  members,
		onChange:    onChange,
		topics:      map[string]*topicState{},
		subscribed:  map[string]bool{},
		selection:   newParentSelection(cfg),
		requests:    newRequestLog(),
		downloads:   map[string]*download{},
		missing:     map[string]missingVersion{},
		subscribers: subscribers{},
		chunkBytes:  int(cfg.Limits.Frame / chunksPerFrame),
	}
}

// Subscribe adds topics that this node needs for itself, independently of its children.
func (d *Distribution) Subscribe(topics ...string) {
	for _, topic := range topics {
		d.subscribed[topic] = true
		d.topic(topic)
	}
}

// ServeWhen restricts serving to times when mayServe returns true. At other times requests are refused
// and children are referred to the alternatives.
func (d *Distribution) ServeWhen(mayServe func(now time.Duration) bool, alternatives func() []string) {
	d.source = &serveCondition{mayServe, alternatives}
}

// WriteConfiguration stores a new version of a configuration at its source and pushes it. It does
// nothing if the current version is the same or newer.
func (d *Distribution) WriteConfiguration(env *statemachine.Env, configName string, version int64, body []byte) {
	topic := ConfigurationTopic(configName)
	state := d.topic(topic)
	if state.hasContent && state.current.Seq >= version {
		return
	}
	state.setConfiguration(configurationPosition(topic, version, body), body)
	d.onChange(env, topic)
	d.push(env, topic)
}

// ServeSlice makes this node a source of a slice. The caller keeps ownership of the slice and calls
// SliceChanged after each modification.
func (d *Distribution) ServeSlice(slice *RosterSlice) {
	state := d.topic(slice.Position.Topic)
	state.slice, state.hasContent = slice, true
}

// SliceChanged pushes a slice to its subscribers after its owner has modified it.
func (d *Distribution) SliceChanged(env *statemachine.Env, topic string) { d.push(env, topic) }

// SetFreshAt records that the content of a topic was current at the given time. Only sources call it.
// An earlier time than the recorded one has no effect.
func (d *Distribution) SetFreshAt(topic string, at time.Duration) {
	state := d.topic(topic)
	state.freshAt = max(state.freshAt, at)
}

// Age returns the time since a topic was last known to be current, or false if it has not been since
// the process started.
func (d *Distribution) Age(topic string, now time.Duration) (time.Duration, bool) {
	freshAt, fresh := d.FreshAt(topic)
	if !fresh {
		return 0, false
	}
	return now - freshAt, true
}

// FreshAt returns the time at which a topic was last known to be current, or false if it has not been
// since the process started.
func (d *Distribution) FreshAt(topic string) (time.Duration, bool) {
	state, found := d.topics[topic]
	if !found || !state.fresh() {
		return 0, false
	}
	return state.freshAt, true
}

// Configuration returns the version and the body of a configuration, and whether this node has one.
func (d *Distribution) Configuration(configName string) (version int64, body []byte, known bool) {
	state, found := d.topics[ConfigurationTopic(configName)]
	if !found || !state.hasContent {
		return 0, nil, false
	}
	return state.current.Seq, state.body, true
}

// Registrations returns the registrations of a zone in key order, and whether this node has the zone's
// slice.
func (d *Distribution) Registrations(zone string) ([]message.Registration, bool) {
	state, found := d.topics[SliceTopic(zone)]
	if !found || !state.hasContent {
		return nil, false
	}
	return state.slice.List(), true
}

// Positions returns the positions of the topics that this node has subscribed to for itself and has
// content of, ordered by topic.
func (d *Distribution) Positions() []message.Position {
	positions := []message.Position{}
	for _, topic := range d.topicNames() {
		if state := d.topics[topic]; state.hasContent && d.subscribed[topic] {
			positions = append(positions, state.position())
		}
	}
	return positions
}

// Parent returns the name of the current parent (empty if there is none), the path from the root to it,
// and how many times a failed parent was left.
func (d *Distribution) Parent() (name string, path []string, changes int64) {
	return d.parent.name, d.parent.path, d.parent.changes
}

// Handle processes a message from another process and reports whether this package is responsible for
// its type.
func (d *Distribution) Handle(env *statemachine.Env, from string, received any) bool {
	switch received := received.(type) {
	case message.UpdatesRequest:
		d.handleRequest(env, from, received)
	case message.UpdatesResponse:
		d.handleResponse(env, received)
	default:
		return false
	}
	return true
}

// topic returns the state of a topic. If there is none yet, it adds one without content.
func (d *Distribution) topic(topic string) *topicState {
	state, found := d.topics[topic]
	if !found {
		state = newTopicState(topic)
		d.topics[topic] = state
	}
	return state
}

// topicNames returns the names of all topics in ascending order, so that iteration is deterministic.
func (d *Distribution) topicNames() []string { return slices.Sorted(maps.Keys(d.topics)) }

// requiredTopics returns the topics that this node requests from its parent: its own and those of its
// subscribers, without the topics that it is a source of.
func (d *Distribution) requiredTopics() []string {
	required := []string{}
	for _, topic := range d.topicNames() {
		if d.membership.Self().Role == message.RoleRegistry && !IsConfiguration(topic) {
			continue
		}
		if d.subscribed[topic] || d.subscribers.subscribedTo(topic) {
			required = append(required, topic)
		}
	}
	return required
}

// mayServe reports whether this node may currently serve its content to children.
func (d *Distribution) mayServe(now time.Duration) bool {
	return d.source == nil || d.source.mayServe(now)
}
