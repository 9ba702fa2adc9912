package distribution

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
)

// resendBytes is the size up to which differences are sent at each request for them.
const resendBytes = 4 << 10

// missedParentLimits is for how many parent limits a subscriber may be silent.
const missedParentLimits = 2

// subscriber is a child in the tree: a node that asks this one for updates.
type subscriber struct {
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
	if sent && last.position.SameContent(item.Position) && now-last.at < resendAfter {
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
		known = &subscriber{}
		s[name] = known
	}
	return known
}
