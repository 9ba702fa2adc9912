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
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"beaconvane/internal/delta"
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
	slice   *Slice
	mark    message.Mark
	body    []byte
	history history // of a configuration
	freshAt time.Duration

	// A difference did not give the version that it names, so the whole one is asked for.
	mismatched bool
}

func (h *topicState) at() message.Mark {
	if h.slice != nil {
		return h.slice.Mark
	}
	return h.mark
}

type child struct {
	address    string
	name       string
	receivedAt time.Duration
	marks      map[string]message.Mark
	round      int64                // of its last ask; a lower one is another life's
	sent       map[string]sentWhole // snapshots on their way to it
}

// sentWhole is a snapshot, or as long a difference, that was sent: a child on a narrow
// link asks again before it is there, and must not be sent it anew each time.
type sentWhole struct {
	mark message.Mark
	at   time.Duration
}

// sentAgainBytes is the size up to which differences are sent at each request.
const sentAgainBytes = 4 << 10

// underway notes a snapshot that goes to a child, and says that the same one went a short
// while ago.
func (c *Distribution) underway(now time.Duration, known *child, item message.UpdateItem) bool {
	large := item.Snapshot || patchBytes(item.Patches) > sentAgainBytes
	if !large || item.Offset > 0 {
		return false
	}
	last, sent := known.sent[item.Mark.Topic]
	if sent && last.mark.Same(item.Mark) && now-last.at < c.settings.UpdatesEvery()*4 {
		return true
	}
	known.sent[item.Mark.Topic] = sentWhole{item.Mark, now}
	return false
}

type collecting struct {
	mark    message.Mark
	buffer  []byte
	total   int64
	movedAt time.Duration
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
	round       int64
	requestAt   time.Duration
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
		requests: map[int64]time.Duration{}, avoid: map[string]time.Duration{}, failed: map[string]time.Duration{}, spoilt: map[string]time.Duration{}, unanswered: map[string]time.Duration{}, dwell: cfg.UpdatesEvery() * 2, drifts: map[string]drift{}, collects: map[string]*collecting{},
		partBytes: int(cfg.Limits.Frame / 64), changed: changed}
}

// Want subscribes this node itself.
func (c *Distribution) Want(topics ...string) {
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
		held = &topicState{mark: message.Mark{Topic: topic}, freshAt: never}
		if !IsConfiguration(topic) {
			held.slice = NewSlice(topic)
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

func configurationMark(topic string, version int64, body []byte) message.Mark {
	hash := fnv.New64a()
	hash.Write(body)
	return message.Mark{Topic: topic, Seq: version, Count: 1, Hash: int64(hash.Sum64())}
}

// ShareSlice makes a slice that another part changes a source here.
func (c *Distribution) ShareSlice(slice *Slice) {
	held := c.topicState(slice.Mark.Topic)
	held.slice, held.known = slice, true
}

// SliceMoved pushes after the owner of a shared slice has changed it.
func (c *Distribution) SliceMoved(s *statemachine.Env, topic string) { c.push(s, topic) }

// Fresh sets how current a source's content is.
func (c *Distribution) Fresh(topic string, at time.Duration) {
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

// ConfigName returns the version and the body of a configuration, and whether there is one.
func (c *Distribution) ConfigName(configName string) (int64, []byte, bool) {
	held, found := c.topicStates[ConfigurationTopic(configName)]
	if !found || !held.known {
		return 0, nil, false
	}
	return held.mark.Seq, held.body, true
}

// Slice gives a zone's registrations.
func (c *Distribution) Slice(zone string) ([]message.Registration, bool) {
	held, found := c.topicStates[SliceTopic(zone)]
	if !found || !held.known {
		return nil, false
	}
	return held.slice.List(), true
}

// Marks lists the positions of this node's own topics.
func (c *Distribution) Marks() []message.Mark {
	marks := []message.Mark{}
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

// Tick asks, and moves to another parent when this one is silent or stale.
func (c *Distribution) Tick(s *statemachine.Env) {
	for name, known := range c.children {
		if s.Now-known.receivedAt > c.settings.ParentLimit()*2 {
			delete(c.children, name)
		}
	}
	if c.membership.Self().Role == message.RoleConfigStore {
		return
	}
	for _, shunned := range []map[string]time.Duration{c.avoid, c.failed, c.spoilt, c.unanswered} {
		for name, until := range shunned {
			if s.Now > until {
				delete(shunned, name)
			}
		}
	}
	c.leaveForNewer(s)
	// One that has never answered is given up sooner: it may have been dead before.
	neverAnswered := c.parent != "" && len(c.path) == 0 && s.Now-c.answered > c.settings.UpdatesEvery()
	if s.Now < c.requestAt && !neverAnswered {
		return
	}
	if c.parent != "" {
		patience, missed := c.settings.ParentLimit(), 3
		if neverAnswered {
			patience, missed = c.settings.UpdatesEvery(), 1
		}
		silent := s.Now-c.answered > patience && len(c.requests) >= missed
		member, found := c.membership.Find(c.parent)
		gone := !found || member.State >= message.Dead || member.Address != c.parentAt
		late := c.late(s.Now)
		stale := late && s.Now-c.joinedAt > c.dwell
		switch {
		case stale:
			// All on the way to that root are as stale; each fruitless move makes
			// the next one slower, for the fault may lie with the source itself.
			for _, name := range c.path {
				c.avoid[name] = s.Now + c.settings.Reparent()*2
				c.failed[name], c.spoilt[name] = c.avoid[name], c.avoid[name]
			}
			c.dwell = min(c.dwell*2, c.settings.Reparent()*4)
		case !late:
			c.dwell = c.settings.UpdatesEvery()*2 + time.Duration(s.Random.Int64N(int64(c.settings.UpdatesEvery())))
		}
		c.leftStale = c.leftStale || stale
		if silent {
			c.unanswered[c.parent] = s.Now + c.settings.Reparent()*2
		}
		if silent || gone || stale {
			c.leaveParent(s, fmt.Sprintf("silent=%t gone=%t stale=%t", silent, gone, stale), c.settings.Reparent()*2)
		}
	}
	if c.parent == "" {
		c.choose(s)
	}
	if c.parent != "" {
		c.request(s)
	}
}

// late: some topic has not been known current for longer than a change of its source
// takes. A slice whose holder died is nowhere fresher until another is active for it. What was
// never known current counts from when this parent was joined.
func (c *Distribution) late(now time.Duration) bool {
	for _, topic := range c.wanted() {
		limit := c.settings.Reparent()
		if !IsConfiguration(topic) {
			limit += c.settings.TakeOver()
		}
		since := c.topicStates[topic].freshAt
		if since == never {
			since = c.joinedAt
		}
		if now-since > limit {
			return true
		}
	}
	return false
}

// noFresher: what a new parent tells at first is no updates of any configuration.
func (c *Distribution) noFresher(now, askedAt time.Duration, items []message.UpdateItem) bool {
	for _, item := range items {
		if held, known := c.topicStates[item.Mark.Topic]; known && IsConfiguration(item.Mark.Topic) && held.at().Before(item.Mark) {
			// It knows a newer one, however long ago that was known current.
			return false
		}
	}
	for _, item := range items {
		held, known := c.topicStates[item.Mark.Topic]
		if !IsConfiguration(item.Mark.Topic) || !known || held.freshAt != never && now-held.freshAt <= c.settings.Reparent() {
			continue
		}
		if item.Age < 0 || now-askedAt+time.Duration(item.Age) > c.settings.Reparent() {
			return true
		}
	}
	return false
}

func (c *Distribution) leaveParent(s *statemachine.Env, cause string, avoidFor time.Duration) {
	s.Event("relay-left", 0, 0, c.parent+": "+cause)
	c.avoid[c.parent] = s.Now + avoidFor
	c.failed[c.parent] = c.avoid[c.parent]
	c.lastRoot = c.parent
	if len(c.path) > 0 {
		c.lastRoot = c.path[0]
	}
	c.parent, c.parentAt, c.path = "", "", nil
	c.moves++
}

// Tiers of parents: the lowest is asked first.
const (
	tierOwnRoot    = 0
	tierOwnProxies = 1
	tierOtherRoots = 2
)

// tierOfOtherZones is the tier of the roots of other zones. Who left a stale parent asks
// them before the proxies of its own zone, which are likely to hang below the same root.
func (c *Distribution) tierOfOtherZones() int {
	if c.leftStale {
		return tierOwnRoot
	}
	return tierOtherRoots
}

func (c *Distribution) choose(s *statemachine.Env) {
	self := c.membership.Self()
	type candidate struct {
		member message.Member
		tier   int
		score  uint64
	}
	candidates := []candidate{}
	consider := func(member message.Member, tier int) {
		if _, avoided := c.avoid[member.Name]; avoided || member.Name == self.Name || member.State != message.Alive {
			return
		}
		hash := fnv.New64a()
		hash.Write([]byte(self.Name + "|" + member.Name))
		candidates = append(candidates, candidate{member, tier, hash.Sum64()})
	}
	rootRole := message.RoleRegistry
	if self.Role == message.RoleRegistry {
		rootRole = message.RoleConfigStore
	}
	roots := c.membership.Alive(rootRole)
	for _, root := range roots {
		if root.Zone == self.Zone {
			consider(root, tierOwnRoot)
		} else {
			consider(root, c.tierOfOtherZones())
		}
	}
	if self.Role == message.RoleProxy {
		for _, proxyNode := range c.membership.Alive(message.RoleProxy) {
			if proxyNode.Zone == self.Zone {
				consider(proxyNode, tierOwnProxies)
			} else {
				consider(proxyNode, 3)
			}
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].tier != candidates[j].tier {
			return candidates[i].tier < candidates[j].tier
		}
		return candidates[i].score < candidates[j].score
	})
	c.resort = false
	switch {
	case len(candidates) > 0:
		c.parent, c.parentAt = candidates[0].member.Name, candidates[0].member.Address
	case len(roots) > 0:
		chosenRoot := c.lastResort(s, roots)
		c.parent, c.parentAt, c.resort = chosenRoot.Name, chosenRoot.Address, true
	default:
		return
	}
	c.answered, c.joinedAt = s.Now, s.Now
	c.requests = map[int64]time.Duration{}
}

// lastResort picks a root when all are shunned: the one that failed longest ago, and not the
// one that was just left, so that several fruitless moves go round all of them.
func (c *Distribution) lastResort(s *statemachine.Env, roots []message.Member) message.Member {
	others := slices.DeleteFunc(slices.Clone(roots), func(root message.Member) bool { return root.Name == c.lastRoot })
	if len(others) > 0 {
		roots = others
	}
	first := s.Random.IntN(len(roots))
	chosen := roots[first]
	for offset := range roots {
		if root := roots[(first+offset)%len(roots)]; c.failed[root.Name] < c.failed[chosen.Name] {
			chosen = root
		}
	}
	return chosen
}

func (c *Distribution) request(s *statemachine.Env) {
	c.requestAt = s.Now + c.settings.UpdatesEvery()
	if c.hungry() {
		c.requestAt = s.Now + c.settings.UpdatesEvery()/4
	}
	c.round++
	c.requests[c.round] = s.Now
	delete(c.requests, c.round-64)
	marks := []message.Mark{}
	for _, topic := range c.wanted() {
		marks = append(marks, c.topicStates[topic].asked())
	}
	self := c.membership.Self()
	s.Send(c.parentAt, message.UpdatesRequest{Round: c.round, Child: self.Name, Role: self.Role, Resort: c.resort, Marks: marks})
	for _, topic := range c.topics() {
		if held, under := c.collects[topic]; under && s.Now-held.movedAt > c.settings.UpdatesEvery()*2 {
			held.movedAt = s.Now
			c.requestPart(s, topic, held)
		}
	}
}

// hungry: some topic that is wanted here has never been known current in this life.
func (c *Distribution) hungry() bool {
	for topic := range c.own {
		if held := c.topicStates[topic]; !held.known || held.freshAt == never {
			return true
		}
	}
	return false
}

func (c *Distribution) requestPart(s *statemachine.Env, topic string, held *collecting) {
	self := c.membership.Self()
	s.Send(c.parentAt, message.UpdatesRequest{Round: -1, Child: self.Name, Role: self.Role, Marks: []message.Mark{held.mark}, PartOf: topic, Part: int64(len(held.buffer))})
}

// Handle takes a updates message; false when it is another part's.
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

func (c *Distribution) handleRequest(s *statemachine.Env, from string, request message.UpdatesRequest) {
	self := c.membership.Self()
	refuse := func(reason string, try []string) {
		s.Send(from, message.UpdatesResponse{Round: request.Round, Parent: self.Name, Path: []string{}, Refused: true, Reason: reason, Try: try, Items: []message.UpdateItem{}})
	}
	path := []string{self.Name}
	if self.Role == message.RoleProxy {
		if c.parent == "" || len(c.path) == 0 {
			refuse(message.RefusedNoPath, []string{})
			return
		}
		for _, name := range c.path {
			if name == request.Child {
				refuse(message.RefusedLoop, []string{})
				return
			}
		}
		path = append(append([]string{}, c.path...), self.Name)
	}
	if c.source != nil && !c.source(s.Now) {
		refuse(message.RefusedNoLease, c.hint())
		return
	}
	known, isChild := c.children[request.Child]
	full := int64(len(c.children)) >= c.settings.Limits.Fanout
	if !isChild && full && self.Role != message.RoleConfigStore && !(request.Resort && self.Role == message.RoleRegistry) {
		refuse(message.RefusedFull, c.childNames())
		return
	}
	if request.PartOf != "" {
		if held, found := c.topicStates[request.PartOf]; found && held.known && len(request.Marks) == 1 {
			offset := request.Part
			if !held.at().Same(request.Marks[0]) {
				offset = 0
			}
			s.Send(from, message.UpdatesResponse{Round: -1, Parent: self.Name, Path: path, Try: []string{}, Items: []message.UpdateItem{c.snapshotItem(held, offset)}})
		}
		return
	}
	if !isChild {
		known = &child{name: request.Child}
		c.children[request.Child] = known
	}
	if known.sent == nil || request.Round < known.round || known.address != from {
		known.sent = map[string]sentWhole{}
	}
	known.round = request.Round
	known.address, known.receivedAt = from, s.Now
	known.marks = map[string]message.Mark{}
	response := message.UpdatesResponse{Round: request.Round, Parent: self.Name, Path: path, Try: []string{}, Items: []message.UpdateItem{}}
	for _, mark := range request.Marks {
		known.marks[mark.Topic] = mark
		item := c.itemFor(s, mark)
		if c.underway(s.Now, known, item) {
			item.Snapshot, item.Body, item.Patches = false, []byte{}, []message.ConfigurationPatch{}
		}
		response.Items = append(response.Items, item)
	}
	s.Send(from, response)
}

func (c *Distribution) childNames() []string { return slices.Sorted(maps.Keys(c.children)) }

// itemFor: what a child at a position needs to be where this node is.
func (c *Distribution) itemFor(s *statemachine.Env, mark message.Mark) message.UpdateItem {
	held := c.topicState(mark.Topic)
	item := message.UpdateItem{Mark: message.Mark{Topic: mark.Topic}, Age: -1, Body: []byte{}, Changes: []message.RosterChange{}, Patches: []message.ConfigurationPatch{}}
	if !held.known {
		return item
	}
	item.Known, item.Mark = true, held.at()
	if held.freshAt != never {
		item.Age = int64(s.Now - held.freshAt)
	}
	if held.at().Same(mark) || held.at().Before(mark) {
		return item
	}
	if held.slice != nil && mark.Before(held.at()) {
		if changes, enough := held.slice.Since(mark); enough {
			item.Changes = changes
			return item
		}
	}
	if held.slice == nil {
		if patches, found := held.history.since(mark); found && patchBytes(patches) < len(held.packed()) {
			item.Patches = patches
			return item
		}
	}
	snapshot := c.snapshotItem(held, 0)
	snapshot.Age = item.Age
	return snapshot
}

func (c *Distribution) snapshotItem(held *topicState, offset int64) message.UpdateItem {
	var body []byte
	if held.slice == nil {
		body = held.packed()
	} else {
		encoded, err := message.Encode(message.RosterSlice{Registrations: held.slice.List()})
		if err != nil {
			panic("distribution: snapshot: " + err.Error())
		}
		body = encoded
	}
	item := message.UpdateItem{Mark: held.at(), Age: -1, Known: true, Snapshot: true, Total: int64(len(body)), Offset: offset, Changes: []message.RosterChange{}, Patches: []message.ConfigurationPatch{}}
	end := min(int64(len(body)), offset+int64(c.partBytes))
	item.Body = body[min(offset, end):end]
	return item
}

func (c *Distribution) push(s *statemachine.Env, topic string) {
	names := c.childNames()
	for _, name := range names {
		known := c.children[name]
		mark, asked := known.marks[topic]
		if !asked || c.source != nil && !c.source(s.Now) {
			continue
		}
		item := c.itemFor(s, mark)
		item.Age = -1
		if c.underway(s.Now, known, item) {
			continue
		}
		path := append(append([]string{}, c.path...), c.membership.Self().Name)
		s.Send(known.address, message.UpdatesResponse{Round: 0, Parent: c.membership.Self().Name, Path: path, Try: []string{}, Items: []message.UpdateItem{item}})
		if !item.Snapshot || item.Total == int64(len(item.Body)) {
			known.marks[topic] = item.Mark
		}
	}
}

func (c *Distribution) handleResponse(s *statemachine.Env, response message.UpdatesResponse) {
	if response.Parent != c.parent {
		return
	}
	askedAt, isAnswer := c.requests[response.Round]
	if response.Refused {
		if !isAnswer {
			return
		}
		switch response.Reason {
		case message.RefusedNoLease:
			c.leaveQuietly(s, c.settings.UpdatesEvery()*2)
			if len(response.Try) > 0 {
				if member, found := c.membership.Find(response.Try[0]); found && member.State <= message.Suspect && member.Name != response.Parent {
					delete(c.avoid, member.Name)
					c.parent, c.parentAt = member.Name, member.Address
					c.answered, c.joinedAt = s.Now, s.Now
					c.requests = map[int64]time.Duration{}
				}
			}
		case message.RefusedNoPath:
			c.leaveQuietly(s, c.settings.UpdatesEvery()*2)
		default:
			c.leaveQuietly(s, c.settings.Reparent()*2)
		}
		c.requestAt = s.Now
		return
	}
	for _, name := range response.Path {
		if name == c.membership.Self().Name {
			c.leaveParent(s, "loop", c.settings.Reparent())
			c.requestAt = s.Now
			return
		}
	}
	if isAnswer {
		for _, name := range response.Path {
			// One that was full, or can't be reached from here, is a good way to others.
			if _, shunned := c.spoilt[name]; shunned && !c.resort {
				c.leaveQuietly(s, c.settings.Reparent()*2)
				c.requestAt = s.Now
				return
			}
		}
		if !c.resort && c.behind(response.Items) {
			// It knows less than this node does, as after a restart.
			c.leaveParent(s, "behind", c.settings.UpdatesEvery()*3)
			return
		}
		if !c.resort && len(c.path) == 0 && c.noFresher(s.Now, askedAt, response.Items) {
			// As stale as what was left: the next one is asked at once.
			c.failed[c.parent] = s.Now + c.settings.Reparent()*2
			c.spoilt[c.parent] = c.failed[c.parent]
			c.leaveQuietly(s, c.settings.Reparent()*2)
			c.requestAt = s.Now
			return
		}
		c.answered = s.Now
		for round := range c.requests {
			if round <= response.Round {
				delete(c.requests, round)
			}
		}
		if len(c.path) == 0 {
			s.Event("relay-joined", 0, 0, strings.Join(response.Path, ">"))
			c.leftStale = false
		}
		c.path = response.Path
	}
	for _, item := range response.Items {
		c.parentHas(item.Mark)
		c.take(s, item, askedAt, isAnswer)
	}
}

// ConnectionBroke leaves a parent whose process has ended, without waiting for its silence.
func (c *Distribution) ConnectionBroke(s *statemachine.Env, address string) {
	if c.parent != "" && c.parentAt == address {
		c.leaveParent(s, "connection broke", c.settings.UpdatesEvery()*3)
		c.requestAt = s.Now
	}
}

// behind: the parent lacks a configuration that is known here, or has an older one.
func (c *Distribution) behind(items []message.UpdateItem) bool {
	for _, item := range items {
		held, known := c.topicStates[item.Mark.Topic]
		if known && held.known && IsConfiguration(item.Mark.Topic) && (!item.Known || item.Mark.Before(held.at())) {
			return true
		}
	}
	return false
}

func (c *Distribution) leaveQuietly(s *statemachine.Env, avoidFor time.Duration) {
	c.avoid[c.parent] = s.Now + avoidFor
	c.parent, c.parentAt, c.path = "", "", nil
}

func (c *Distribution) take(s *statemachine.Env, item message.UpdateItem, askedAt time.Duration, isAnswer bool) {
	topic := item.Mark.Topic
	held := c.topicState(topic)
	if !item.Known {
		return
	}
	if item.Snapshot && held.at().Same(item.Mark) {
		held.mismatched = false
	}
	moved := false
	switch {
	case item.Snapshot && (!held.known || held.at().Before(item.Mark) || held.slice != nil && !item.Mark.Before(held.at()) && !item.Mark.Same(held.at())):
		if whole, done := c.collect(s, topic, item); done {
			moved = c.replace(held, item.Mark, whole)
		}
	case len(item.Patches) > 0 && held.slice == nil && held.known:
		moved = held.follow(item.Patches, c.settings.Limits.Configuration)
	case len(item.Changes) > 0 && held.slice != nil:
		for _, change := range item.Changes {
			if held.slice.Follow(change) {
				moved = true
			}
		}
	case item.Mark.Seq == 0 && item.Mark.Epoch == 0 && item.Mark.Count == 0 && held.slice != nil && !held.known:
		held.known, moved = true, true
	}
	if isAnswer && item.Age >= 0 && held.known && !held.at().Before(item.Mark) {
		if held.freshAt == never && !moved {
			c.changed(s, topic)
		}
		held.freshAt = max(held.freshAt, askedAt-time.Duration(item.Age))
	}
	if moved {
		c.changed(s, topic)
		c.push(s, topic)
	}
}

func (c *Distribution) collect(s *statemachine.Env, topic string, item message.UpdateItem) ([]byte, bool) {
	if item.Offset == 0 && item.Total == int64(len(item.Body)) {
		delete(c.collects, topic)
		return item.Body, true
	}
	held, under := c.collects[topic]
	if !under || !held.mark.Same(item.Mark) {
		if item.Offset != 0 {
			return nil, false
		}
		held = &collecting{mark: item.Mark, total: item.Total}
		c.collects[topic] = held
	}
	if item.Offset != int64(len(held.buffer)) {
		return nil, false
	}
	held.buffer = append(held.buffer, item.Body...)
	held.movedAt = s.Now
	if int64(len(held.buffer)) == held.total {
		delete(c.collects, topic)
		return held.buffer, true
	}
	c.requestPart(s, topic, held)
	return nil, false
}

func (c *Distribution) replace(held *topicState, mark message.Mark, body []byte) bool {
	if held.slice == nil {
		whole, err := delta.Apply(nil, body, c.settings.Limits.Configuration)
		if err != nil || !configurationMark(mark.Topic, mark.Seq, whole).Same(mark) {
			return false
		}
		held.moveTo(mark, whole)
		return true
	}
	decoded, err := message.Decode(body)
	slice, isSlice := decoded.(message.RosterSlice)
	if err != nil || !isSlice {
		return false
	}
	held.slice.Replace(mark, slice.Registrations)
	held.known = true
	return true
}
