package distribution

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// resendBytes is the size up to which differences are sent at each request for them.
const resendBytes = 4 << 10

// resendIntervals is after how many update intervals a snapshot is sent again to a subscriber that
// still does not have it.
const resendIntervals = 4

// missedParentLimits is for how many parent limits a subscriber may be silent.
const missedParentLimits = 2

// pushRound is the round of a response that answers no request; partRound that of the request for
// a part of a snapshot, and of its answer.
const (
	pushRound = 0
	partRound = -1
)

// subscriber is a child in the tree: a node that asks this one for updates.
type subscriber struct {
	name       string
	address    string
	heardAt    time.Duration
	positions  map[string]message.Position // what it has, by topic that it wants
	round      int64                       // of its last request; a lower one is from a later life
	deliveries map[string]delivery         // large updates on their way to it, by topic
}

// delivery is a snapshot, or differences as long, that was sent. A subscriber on a narrow link
// requests again before it has arrived, and must not be sent it anew each time.
type delivery struct {
	position message.Position
	at       time.Duration
}

// beginDelivery notes a large update that is about to be sent, and reports whether it should be: not
// where the same one was sent a short while ago.
func (s *subscriber) beginDelivery(now time.Duration, item message.UpdateItem, resendAfter time.Duration) bool {
	large := item.Snapshot || patchBytes(item.Patches) > resendBytes
	if !large || item.Offset > 0 {
		return true
	}
	last, sent := s.deliveries[item.Position.Topic]
	if sent && last.position.Same(item.Position) && now-last.at < resendAfter {
		return false
	}
	s.deliveries[item.Position.Topic] = delivery{item.Position, now}
	return true
}

// renew takes what a request says of its subscriber. One that begins anew, or at another address,
// has not received what was sent before.
func (s *subscriber) renew(now time.Duration, from string, request message.UpdatesRequest) {
	if s.deliveries == nil || request.Round < s.round || s.address != from {
		s.deliveries = map[string]delivery{}
	}
	s.round = request.Round
	s.address, s.heardAt = from, now
	s.positions = map[string]message.Position{}
	for _, position := range request.Positions {
		s.positions[position.Topic] = position
	}
}

// subscribers is the set of a node's children, by name.
type subscribers map[string]*subscriber

func (s subscribers) names() []string { return slices.Sorted(maps.Keys(s)) }

// want reports whether a subscriber wants a topic.
func (s subscribers) want(topic string) bool {
	for _, child := range s {
		if _, wanted := child.positions[topic]; wanted {
			return true
		}
	}
	return false
}

// expire removes the subscribers that have been silent for longer than the limit.
func (s subscribers) expire(now, limit time.Duration) {
	for name, child := range s {
		if now-child.heardAt > limit {
			delete(s, name)
		}
	}
}

// join returns the subscriber of a name, which is new where it is not known yet.
func (s subscribers) join(name string) *subscriber {
	known, found := s[name]
	if !found {
		known = &subscriber{name: name}
		s[name] = known
	}
	return known
}

// refusal is why a request is not served, and which members may serve it instead.
type refusal struct {
	reason       string // one of the message.Refused constants
	alternatives []string
}

// handleRequest answers a child's request for updates, or for a part of a snapshot.
func (d *Distribution) handleRequest(env *statemachine.Env, from string, request message.UpdatesRequest) {
	if refused := d.refuse(env.Now, request); refused != nil {
		env.Send(from, message.UpdatesResponse{
			Round:        request.Round,
			Parent:       d.membership.Self().Name,
			Path:         []string{},
			Refused:      true,
			Reason:       refused.reason,
			Alternatives: refused.alternatives,
			Items:        []message.UpdateItem{},
		})
		return
	}
	if request.PartOf != "" {
		d.sendPart(env, from, request)
		return
	}
	child := d.subscribers.join(request.Child)
	child.renew(env.Now, from, request)
	items := []message.UpdateItem{}
	for _, position := range request.Positions {
		items = append(items, d.answerItem(env.Now, child, position))
	}
	d.send(env, from, request.Round, d.answerPath(), items)
}

// refuse returns why a request is refused, or nil where it is to be served. A request as the last
// resort makes a registry take more children than it would.
func (d *Distribution) refuse(now time.Duration, request message.UpdatesRequest) *refusal {
	role := d.membership.Self().Role
	if role == message.RoleProxy {
		if !d.parent.exists() || !d.parent.answered() {
			return &refusal{message.RefusedNoPath, []string{}}
		}
		if slices.Contains(d.parent.path, request.Child) {
			return &refusal{message.RefusedLoop, []string{}}
		}
	}
	if !d.mayServe(now) {
		return &refusal{message.RefusedNoLease, d.source.alternatives()}
	}
	_, isChild := d.subscribers[request.Child]
	full := int64(len(d.subscribers)) >= d.settings.Limits.Fanout
	unlimited := role == message.RoleConfigStore || request.LastResort && role == message.RoleRegistry
	if !isChild && full && !unlimited {
		return &refusal{message.RefusedFull, d.subscribers.names()}
	}
	return nil
}

// answerItem returns what a child's request for a topic is answered with. Where a large update is on
// its way to the child already, that is only the position and the age.
func (d *Distribution) answerItem(now time.Duration, child *subscriber, position message.Position) message.UpdateItem {
	item := d.updateItem(now, position)
	if !child.beginDelivery(now, item, d.resendAfter()) {
		item.Snapshot, item.Body, item.Patches = false, []byte{}, []message.ConfigurationPatch{}
	}
	return item
}

// sendPart sends the part of a snapshot that a child asks for; its first part where the content has
// changed since.
func (d *Distribution) sendPart(env *statemachine.Env, from string, request message.UpdatesRequest) {
	state, found := d.topics[request.PartOf]
	if !found || !state.known || len(request.Positions) != 1 {
		return
	}
	offset := request.Part
	if !state.position().Same(request.Positions[0]) {
		offset = 0
	}
	d.send(env, from, partRound, d.answerPath(), []message.UpdateItem{d.snapshotItem(state, offset)})
}

// push sends the subscribers of a topic what they lack of it.
func (d *Distribution) push(env *statemachine.Env, topic string) {
	for _, name := range d.subscribers.names() {
		child := d.subscribers[name]
		position, wanted := child.positions[topic]
		if !wanted || !d.mayServe(env.Now) {
			continue
		}
		item := d.updateItem(env.Now, position)
		item.Age = unknownAge
		if !child.beginDelivery(env.Now, item, d.resendAfter()) {
			continue
		}
		path := d.parent.pathTo(d.membership.Self().Name)
		d.send(env, child.address, pushRound, path, []message.UpdateItem{item})
		if !item.Snapshot || isComplete(item) {
			child.positions[topic] = item.Position
		}
	}
}

// send sends items to a child, as the answer to the request of a round or as a push.
func (d *Distribution) send(env *statemachine.Env, to string, round int64, path []string, items []message.UpdateItem) {
	env.Send(to, message.UpdatesResponse{
		Round:        round,
		Parent:       d.membership.Self().Name,
		Path:         path,
		Alternatives: []string{},
		Items:        items,
	})
}

// answerPath returns the path that answers bear: the relays from the root to this node. A registry
// is a root for its children.
func (d *Distribution) answerPath() []string {
	self := d.membership.Self()
	if self.Role != message.RoleProxy {
		return []string{self.Name}
	}
	return d.parent.pathTo(self.Name)
}

func (d *Distribution) resendAfter() time.Duration {
	return d.settings.UpdatesEvery() * resendIntervals
}
