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

// partsPerFrame is how many parts of a snapshot the largest frame would hold. Parts are this much
// smaller than frames, so that one does not keep a narrow link busy for long.
const partsPerFrame = 64

// Distribution is one node's place in the relay tree. Like the machine that it is a part of, it is
// used by one goroutine, and leaves what it does as effects on the Env.
type Distribution struct {
	settings   settings.Settings
	membership *membership.Membership
	onChange   func(env *statemachine.Env, topic string)

	topics     map[string]*topicState
	subscribed map[string]bool // topics that this node wants for itself

	parent        parentLink
	selection     parentSelection
	requests      requestLog
	nextRequestAt time.Duration
	tickedAt      time.Duration             // when the last tick came
	downloads     map[string]*download      // snapshots that arrive in parts, by topic
	missing       map[string]missingVersion // what others have and the parent has not brought yet, by topic

	subscribers subscribers
	partBytes   int              // of a snapshot, in one message
	source      *sourceCondition // nil: this node always serves what it has
}

// sourceCondition says when a source may serve, and which members may where it may not.
type sourceCondition struct {
	mayServe     func(now time.Duration) bool
	alternatives func() []string
}

// New returns the Distribution of a node. onChange is called when the content of a topic moved on.
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
		partBytes:   int(cfg.Limits.Frame / partsPerFrame),
	}
}

// Subscribe adds topics that this node wants for itself.
func (d *Distribution) Subscribe(topics ...string) {
	for _, topic := range topics {
		d.subscribed[topic] = true
		d.topic(topic)
	}
}

// ServeWhen limits serving to moments when mayServe holds. At others, children are sent on to the
// alternatives.
func (d *Distribution) ServeWhen(mayServe func(now time.Duration) bool, alternatives func() []string) {
	d.source = &sourceCondition{mayServe, alternatives}
}

// WriteConfiguration sets a configuration at its source, unless a newer version is here.
func (d *Distribution) WriteConfiguration(env *statemachine.Env, configName string, version int64, body []byte) {
	topic := ConfigurationTopic(configName)
	state := d.topic(topic)
	if state.known && state.current.Seq >= version {
		return
	}
	state.setConfiguration(configurationPosition(topic, version, body), body)
	d.onChange(env, topic)
	d.push(env, topic)
}

// ServeSlice makes this node a source of a slice. Its owner changes it, and calls SliceChanged.
func (d *Distribution) ServeSlice(slice *RosterSlice) {
	state := d.topic(slice.Position.Topic)
	state.slice, state.known = slice, true
}

// SliceChanged pushes a slice that its owner has changed.
func (d *Distribution) SliceChanged(env *statemachine.Env, topic string) { d.push(env, topic) }

// SetFreshAt notes that a source knows the content of a topic to be current as of an instant.
func (d *Distribution) SetFreshAt(topic string, at time.Duration) {
	state := d.topic(topic)
	state.freshAt = max(state.freshAt, at)
}

// Age returns how long ago a topic was last known current, or false where it never was.
func (d *Distribution) Age(topic string, now time.Duration) (time.Duration, bool) {
	freshAt, fresh := d.FreshAt(topic)
	if !fresh {
		return 0, false
	}
	return now - freshAt, true
}

// FreshAt returns the instant as of which a topic is known current, or false where it never was.
func (d *Distribution) FreshAt(topic string) (time.Duration, bool) {
	state, found := d.topics[topic]
	if !found || !state.fresh() {
		return 0, false
	}
	return state.freshAt, true
}

// Configuration returns the version and the body of a configuration, if there is one.
func (d *Distribution) Configuration(configName string) (version int64, body []byte, known bool) {
	state, found := d.topics[ConfigurationTopic(configName)]
	if !found || !state.known {
		return 0, nil, false
	}
	return state.current.Seq, state.body, true
}

// Registrations returns the registrations of a zone, if its slice is known.
func (d *Distribution) Registrations(zone string) ([]message.Registration, bool) {
	state, found := d.topics[SliceTopic(zone)]
	if !found || !state.known {
		return nil, false
	}
	return state.slice.List(), true
}

// Positions returns the positions of the topics that this node wants for itself.
func (d *Distribution) Positions() []message.Position {
	positions := []message.Position{}
	for _, topic := range d.topicNames() {
		if state := d.topics[topic]; state.known && d.subscribed[topic] {
			positions = append(positions, state.position())
		}
	}
	return positions
}

// Parent returns the member that sends the updates, the path to it from the root, and how often
// the parent was changed.
func (d *Distribution) Parent() (name string, path []string, changes int64) {
	return d.parent.name, d.parent.path, d.parent.changes
}

// Handle takes a message from another process, and reports whether it is one of this package's.
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

// topic returns the state of a topic, which begins unknown.
func (d *Distribution) topic(topic string) *topicState {
	state, found := d.topics[topic]
	if !found {
		state = newTopicState(topic)
		d.topics[topic] = state
	}
	return state
}

func (d *Distribution) topicNames() []string { return slices.Sorted(maps.Keys(d.topics)) }

// wanted returns the topics that this node needs from a parent: its own and those of its
// subscribers, less those that it is a source of.
func (d *Distribution) wanted() []string {
	wanted := []string{}
	for _, topic := range d.topicNames() {
		if d.membership.Self().Role == message.RoleRegistry && !IsConfiguration(topic) {
			continue
		}
		if d.subscribed[topic] || d.subscribers.want(topic) {
			wanted = append(wanted, topic)
		}
	}
	return wanted
}

// mayServe reports whether this node may serve what it has.
func (d *Distribution) mayServe(now time.Duration) bool {
	return d.source == nil || d.source.mayServe(now)
}
