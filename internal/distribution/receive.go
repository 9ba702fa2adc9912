package distribution

// This file takes what a parent sends: refusals, changes, differences and snapshots in parts.

import (
	"strings"
	"time"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

type collecting struct {
	mark    message.Position
	buffer  []byte
	total   int64
	movedAt time.Duration
}

func (c *Distribution) handleResponse(s *statemachine.Env, response message.UpdatesResponse) {
	if response.Parent != c.parent {
		c.takeLate(s, response)
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
			if len(response.Alternatives) > 0 {
				if member, found := c.membership.Find(response.Alternatives[0]); found && member.State <= message.Suspect && member.Name != response.Parent {
					delete(c.avoid, member.Name)
					c.parent, c.parentAt = member.Name, member.Address
					c.answered, c.joinedAt = s.Now, s.Now
					c.forgetRequests(s.Now)
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
		c.fruitless = 0
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
		c.parentHas(item.Position)
		c.take(s, item, askedAt, isAnswer)
	}
}

func (c *Distribution) take(s *statemachine.Env, item message.UpdateItem, askedAt time.Duration, isAnswer bool) {
	topic := item.Position.Topic
	held := c.topicState(topic)
	if !item.Known {
		return
	}
	if item.Snapshot && held.at().Same(item.Position) {
		held.mismatched = false
	}
	moved := false
	switch {
	case item.Snapshot && (!held.known || held.at().Before(item.Position) || held.slice != nil && !item.Position.Before(held.at()) && !item.Position.Same(held.at())):
		if whole, done := c.collect(s, topic, item); done {
			moved = c.replace(held, item.Position, whole)
		}
	case len(item.Patches) > 0 && held.slice == nil && held.known:
		moved = held.follow(item.Patches, c.settings.Limits.Configuration)
	case len(item.Changes) > 0 && held.slice != nil:
		for _, change := range item.Changes {
			if held.slice.Apply(change) {
				moved = true
			}
		}
	case item.Position.Seq == 0 && item.Position.Epoch == 0 && item.Position.Count == 0 && held.slice != nil && !held.known:
		held.known, moved = true, true
	}
	if isAnswer && item.Age >= 0 && held.known && !held.at().Before(item.Position) {
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
	if !under || !held.mark.Same(item.Position) {
		if item.Offset != 0 {
			return nil, false
		}
		held = &collecting{mark: item.Position, total: item.Total}
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

func (c *Distribution) replace(held *topicState, mark message.Position, body []byte) bool {
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
