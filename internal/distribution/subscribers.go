package distribution

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
)

// resendBytes is the maximum size of differences that are sent again on every request.
const resendBytes = 4 << 10

// missedParentTimeouts is the number of parent timeouts without a request after which a subscriber is
// removed.
const missedParentTimeouts = 2

// maxRoundGap is the most requests that a subscriber sends between two that arrive here.
const maxRoundGap = 1 << 32

// subscriber is a child in the tree: a node that requests updates from this one.
type subscriber struct {
	address       string
	lastRequestAt time.Duration
	positions     map[string]message.Position // its positions, by subscribed topic
	round         int64                       // of its last request
	deliveries    map[string]delivery         // large updates in transit to it, by topic
}

// delivery records a snapshot, or differences larger than resendBytes, that was sent. A subscriber on a
// slow link sends further requests before it has arrived; these must not trigger another transfer.
type delivery struct {
	position message.Position
	at       time.Duration
}

// beginDelivery reports whether an update should be sent, and records it if it is large. A large update
// is not sent again within resendAfter.
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

// update applies a request to the state of its subscriber. A subscriber that has restarted or changed
// its address has not received earlier deliveries, so they are discarded.
func (s *subscriber) update(now time.Duration, from string, request message.UpdatesRequest) {
	if s.deliveries == nil || s.restartedBefore(request.Round) || s.address != from {
		s.deliveries = map[string]delivery{}
	}
	s.round = request.Round
	s.address, s.lastRequestAt = from, now
	s.positions = map[string]message.Position{}
	for _, position := range request.Positions {
		s.positions[position.Topic] = position
	}
}

// restartedBefore reports whether a request with the given round is the first after a restart of the
// subscriber. Each run of a process numbers its requests from another start.
func (s *subscriber) restartedBefore(round int64) bool {
	return round < s.round || round-s.round > maxRoundGap
}

// subscribers contains the children of a node, by name.
type subscribers map[string]*subscriber

// names returns the names of the children in ascending order, so that iteration is deterministic.
func (s subscribers) names() []string { return slices.Sorted(maps.Keys(s)) }

// subscribedTo reports whether any subscriber has requested a topic.
func (s subscribers) subscribedTo(topic string) bool {
	for _, child := range s {
		if _, subscribed := child.positions[topic]; subscribed {
			return true
		}
	}
	return false
}

// expire removes the subscribers whose last request is older than limit.
func (s subscribers) expire(now, limit time.Duration) {
	for name, child := range s {
		if now-child.lastRequestAt > limit {
			delete(s, name)
		}
	}
}

// getOrAdd returns the subscriber with the given name and adds it if necessary.
func (s subscribers) getOrAdd(name string) *subscriber {
	child, found := s[name]
	if !found {
		child = &subscriber{}
		s[name] = child
	}
	return child
}
