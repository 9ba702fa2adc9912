// Package distribution carries updates down a tree of relays that the nodes form themselves.
// A child asks its parent in a steady rhythm for the topics it wants, naming the
// position it has; the parent answers with what came since, or the snapshot, and with
// how old its own knowledge is. Configurations travel as differences from the child's
// version, or whole and compressed where the parent does not know that version. The child's age for a topic is the time since it
// asked plus the parent's age: durations only, hop by hop, no shared clock. Changes
// are pushed at once besides; a lost push is mended by the next ask. Positions never
// go down on a node. Each answer bears the path to the root, and a child leaves a
// parent whose path holds it. Registries are the roots for proxies; for configurations they
// are themselves children of the configstore that holds the lease.
package distribution

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// ConfigurationTopic names the topic of a configuration.
func ConfigurationTopic(configName string) string { return "configuration:" + configName }

// SliceTopic names the topic of a zone's slice of the roster.
func SliceTopic(zone string) string { return "slice:" + zone }

// IsConfiguration tells the two kinds apart.
func IsConfiguration(topic string) bool { return strings.HasPrefix(topic, "configuration:") }

const never = time.Duration(-1 << 62)

type topicState struct {
	known   bool
	slice   *RosterSlice
	mark    message.Position
	body    []byte
	history history // of a configuration
	freshAt time.Duration

	// A difference did not give the version that it names, so the whole one is asked for.
	mismatched bool
}

func (h *topicState) at() message.Position {
	if h.slice != nil {
		return h.slice.Mark
	}
	return h.mark
}

// Distribution is one node's part in the tree.
type Distribution struct {
	settings    settings.Settings
	membership  *membership.Membership
	topicStates map[string]*topicState
	own         map[string]bool // topics this node wants for itself
	children    map[string]*child
	parent      string // name
	parentAt    string // address
	path        []string
	resort      bool
	joinedAt    time.Duration
	answered    time.Duration
	requests    map[int64]time.Duration
	earlier     map[int64]earlierRequest // that parents before this one have not answered
	fruitless   int                      // parents in a row that never answered
	round       int64
	requestAt   time.Duration
	tickedAt    time.Duration
	avoid       map[string]time.Duration
	failed      map[string]time.Duration // those avoided for what they are, not for being full
	spoilt      map[string]time.Duration // those whose knowledge is old, so that every way from them is
	unanswered  map[string]time.Duration // parents that did not answer requests
	moves       int64
	dwell       time.Duration
	lastRoot    string
	leftStale   bool             // the last parent was stale: the proxies of the zone are likely to be so too
	drifts      map[string]drift // by topic: what others have and the parent has not brought yet
	collects    map[string]*collecting
	partBytes   int
	changed     func(s *statemachine.Env, topic string)
	source      func(now time.Duration) bool // configstore: may it serve now
	hint        func() []string
}

// New makes the machine; changed is called when a topic's content moved on.
func New(cfg settings.Settings, members *membership.Membership, changed func(s *statemachine.Env, topic string)) *Distribution {
	return &Distribution{settings: cfg, membership: members, topicStates: map[string]*topicState{}, own: map[string]bool{}, children: map[string]*child{},
		requests: map[int64]time.Duration{}, earlier: map[int64]earlierRequest{}, avoid: map[string]time.Duration{}, failed: map[string]time.Duration{}, spoilt: map[string]time.Duration{}, unanswered: map[string]time.Duration{}, dwell: cfg.UpdatesEvery() * 2, drifts: map[string]drift{}, collects: map[string]*collecting{},
		partBytes: int(cfg.Limits.Frame / 64), changed: changed}
}

// Subscribe subscribes this node itself.
func (c *Distribution) Subscribe(topics ...string) {
	for _, topic := range topics {
		c.own[topic] = true
		c.topicState(topic)
	}
}

// ServeWhen limits serving to moments when a check holds, with a hint where to go.
func (c *Distribution) ServeWhen(source func(now time.Duration) bool, hint func() []string) {
	c.source, c.hint = source, hint
}

func (c *Distribution) topicState(topic string) *topicState {
	held, found := c.topicStates[topic]
	if !found {
		held = &topicState{mark: message.Position{Topic: topic}, freshAt: never}
		if !IsConfiguration(topic) {
			held.slice = NewRosterSlice(topic)
		}
		c.topicStates[topic] = held
	}
	return held
}

// WriteConfiguration sets a configuration's content at its source.
func (c *Distribution) WriteConfiguration(s *statemachine.Env, configName string, version int64, body []byte) {
	topic := ConfigurationTopic(configName)
	held := c.topicState(topic)
	if held.known && held.mark.Seq >= version {
		return
	}
	held.moveTo(configurationMark(topic, version, body), body)
	c.changed(s, topic)
	c.push(s, topic)
}

func configurationMark(topic string, version int64, body []byte) message.Position {
	hash := fnv.New64a()
	hash.Write(body)
	return message.Position{Topic: topic, Seq: version, Count: 1, Hash: int64(hash.Sum64())}
}

// ServeSlice makes a slice that another part changes a source here.
func (c *Distribution) ServeSlice(slice *RosterSlice) {
	held := c.topicState(slice.Mark.Topic)
	held.slice, held.known = slice, true
}

// SliceChanged pushes after the owner of a shared slice has changed it.
func (c *Distribution) SliceChanged(s *statemachine.Env, topic string) { c.push(s, topic) }

// SetFreshAt sets how current a source's content is.
func (c *Distribution) SetFreshAt(topic string, at time.Duration) {
	held := c.topicState(topic)
	held.freshAt = max(held.freshAt, at)
}

// Age says how long ago the content was known to be current; false: never yet.
func (c *Distribution) Age(topic string, now time.Duration) (time.Duration, bool) {
	held, found := c.topicStates[topic]
	if !found || !held.known || held.freshAt == never {
		return 0, false
	}
	return now - held.freshAt, true
}

// FreshAt is the instant as of which a topic is known current.
func (c *Distribution) FreshAt(topic string) (time.Duration, bool) {
	held, found := c.topicStates[topic]
	if !found || !held.known || held.freshAt == never {
		return 0, false
	}
	return held.freshAt, true
}

// Configuration returns the version and the body of a configuration, and whether there is one.
func (c *Distribution) Configuration(configName string) (int64, []byte, bool) {
	held, found := c.topicStates[ConfigurationTopic(configName)]
	if !found || !held.known {
		return 0, nil, false
	}
	return held.mark.Seq, held.body, true
}

// Registrations gives a zone's registrations.
func (c *Distribution) Registrations(zone string) ([]message.Registration, bool) {
	held, found := c.topicStates[SliceTopic(zone)]
	if !found || !held.known {
		return nil, false
	}
	return held.slice.List(), true
}

// Marks lists the positions of this node's own topics.
func (c *Distribution) Marks() []message.Position {
	marks := []message.Position{}
	for _, topic := range c.topics() {
		if held := c.topicStates[topic]; held.known && c.own[topic] {
			marks = append(marks, held.at())
		}
	}
	return marks
}

// Parent tells the status page where the updates comes from.
func (c *Distribution) Parent() (string, []string, int64) { return c.parent, c.path, c.moves }

func (c *Distribution) topics() []string { return slices.Sorted(maps.Keys(c.topicStates)) }

// wanted: own topics and those of living children, less what this node is a source of.
func (c *Distribution) wanted() []string {
	wanted := []string{}
	for _, topic := range c.topics() {
		if c.membership.Self().Role == message.RoleRegistry && !IsConfiguration(topic) {
			continue
		}
		needed := c.own[topic]
		for _, known := range c.children {
			if _, asked := known.marks[topic]; asked {
				needed = true
			}
		}
		if needed {
			wanted = append(wanted, topic)
		}
	}
	return wanted
}

// Handle takes an updates message; false when it is another part's.
func (c *Distribution) Handle(s *statemachine.Env, from string, msg any) bool {
	switch received := msg.(type) {
	case message.UpdatesRequest:
		c.handleRequest(s, from, received)
	case message.UpdatesResponse:
		c.handleResponse(s, received)
	default:
		return false
	}
	return true
}
