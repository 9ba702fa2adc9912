package distribution

// This file is the parent's side of the tree: which children a node takes, and what it sends
// them.

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

type child struct {
	address    string
	name       string
	receivedAt time.Duration
	marks      map[string]message.Position
	round      int64                // of its last ask; a lower one is another life's
	sent       map[string]sentWhole // snapshots on their way to it
}

// sentWhole is a snapshot, or as long a difference, that was sent: a child on a narrow
// link asks again before it is there, and must not be sent it anew each time.
type sentWhole struct {
	mark message.Position
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
	last, sent := known.sent[item.Position.Topic]
	if sent && last.mark.Same(item.Position) && now-last.at < c.settings.UpdatesEvery()*4 {
		return true
	}
	known.sent[item.Position.Topic] = sentWhole{item.Position, now}
	return false
}

func (c *Distribution) handleRequest(s *statemachine.Env, from string, request message.UpdatesRequest) {
	self := c.membership.Self()
	refuse := func(reason string, try []string) {
		s.Send(from, message.UpdatesResponse{Round: request.Round, Parent: self.Name, Path: []string{}, Refused: true, Reason: reason, Alternatives: try, Items: []message.UpdateItem{}})
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
	if !isChild && full && self.Role != message.RoleConfigStore && !(request.LastResort && self.Role == message.RoleRegistry) {
		refuse(message.RefusedFull, c.childNames())
		return
	}
	if request.PartOf != "" {
		if held, found := c.topicStates[request.PartOf]; found && held.known && len(request.Positions) == 1 {
			offset := request.Part
			if !held.at().Same(request.Positions[0]) {
				offset = 0
			}
			s.Send(from, message.UpdatesResponse{Round: -1, Parent: self.Name, Path: path, Alternatives: []string{}, Items: []message.UpdateItem{c.snapshotItem(held, offset)}})
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
	known.marks = map[string]message.Position{}
	response := message.UpdatesResponse{Round: request.Round, Parent: self.Name, Path: path, Alternatives: []string{}, Items: []message.UpdateItem{}}
	for _, mark := range request.Positions {
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
func (c *Distribution) itemFor(s *statemachine.Env, mark message.Position) message.UpdateItem {
	held := c.topicState(mark.Topic)
	item := message.UpdateItem{Position: message.Position{Topic: mark.Topic}, Age: -1, Body: []byte{}, Changes: []message.RosterChange{}, Patches: []message.ConfigurationPatch{}}
	if !held.known {
		return item
	}
	item.Known, item.Position = true, held.at()
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
	item := message.UpdateItem{Position: held.at(), Age: -1, Known: true, Snapshot: true, Total: int64(len(body)), Offset: offset, Changes: []message.RosterChange{}, Patches: []message.ConfigurationPatch{}}
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
		s.Send(known.address, message.UpdatesResponse{Round: 0, Parent: c.membership.Self().Name, Path: path, Alternatives: []string{}, Items: []message.UpdateItem{item}})
		if !item.Snapshot || item.Total == int64(len(item.Body)) {
			known.marks[topic] = item.Position
		}
	}
}
