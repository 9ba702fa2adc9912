package distribution

import (
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// resendIntervals is the number of update intervals after which a large update is sent again to a
// subscriber that still requests it.
const resendIntervals = 4

// pushRound is the Round of a response that does not answer a request. chunkRound is the Round of a
// request for a snapshot chunk and of its answer.
const (
	pushRound  = 0
	chunkRound = -1
)

// refusal is the reason why a request is not served, and the names of members that may serve it
// instead.
type refusal struct {
	reason       string // one of the message.Refused constants
	alternatives []string
}

// handleRequest answers a child's request for updates or for a snapshot chunk.
func (d *Distribution) handleRequest(env *statemachine.Env, from string, request message.UpdatesRequest) {
	if refused := d.refuse(env.Now, request); refused != nil {
		env.Send(from, message.UpdatesResponse{
			Round:        request.Round,
			Parent:       d.membership.Self().Name,
			RelayPath:    []string{},
			Refused:      true,
			Reason:       refused.reason,
			Alternatives: refused.alternatives,
			Items:        []message.UpdateItem{},
		})
		return
	}
	if request.SnapshotTopic != "" {
		d.sendChunk(env, from, request)
		return
	}
	child := d.subscribers.getOrAdd(request.Child)
	child.update(env.Now, from, request)
	items := []message.UpdateItem{}
	for _, position := range request.Positions {
		items = append(items, d.answerItem(env.Now, child, position))
	}
	d.send(env, from, request.Round, d.answerPath(), items)
}

// refuse returns the reason to refuse a request, or nil if it is to be served. A registry accepts a
// last-resort request even when it is full.
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

// answerItem returns the answer to a child's request for one topic. While a large update is in transit
// to the child, the answer contains only the position and the age.
func (d *Distribution) answerItem(now time.Duration, child *subscriber, position message.Position) message.UpdateItem {
	item := d.updateItem(now, position)
	if !child.beginDelivery(now, item, d.resendAfter()) {
		item.Snapshot, item.Body, item.Patches = false, []byte{}, []message.ConfigurationPatch{}
	}
	return item
}

// sendChunk sends the snapshot chunk that a child has requested, or the first chunk if the content has
// changed since.
func (d *Distribution) sendChunk(env *statemachine.Env, from string, request message.UpdatesRequest) {
	state, found := d.topics[request.SnapshotTopic]
	if !found || !state.hasContent || len(request.Positions) != 1 {
		return
	}
	offset := request.SnapshotOffset
	if !state.position().SameContent(request.Positions[0]) {
		offset = 0
	}
	d.send(env, from, chunkRound, d.answerPath(), []message.UpdateItem{d.snapshotItem(state, offset)})
}

// push sends each subscriber of a topic the updates after its position.
func (d *Distribution) push(env *statemachine.Env, topic string) {
	for _, name := range d.subscribers.names() {
		child := d.subscribers[name]
		position, subscribed := child.positions[topic]
		if !subscribed || !d.mayServe(env.Now) {
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
		RelayPath:    path,
		Alternatives: []string{},
		Items:        items,
	})
}

// answerPath returns the path that answers contain: the relays from the root to this node. Nodes other
// than proxies are roots for their children.
func (d *Distribution) answerPath() []string {
	self := d.membership.Self()
	if self.Role != message.RoleProxy {
		return []string{self.Name}
	}
	return d.parent.pathTo(self.Name)
}

// resendAfter returns the time after which a large update is sent again.
func (d *Distribution) resendAfter() time.Duration {
	return d.settings.UpdatesEvery() * resendIntervals
}
