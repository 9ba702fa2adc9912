package distribution

// This file is how a node finds out by itself that it has fallen behind, whatever its parent
// says. The registries answer each heartbeat of a proxy that has an older configuration than
// they do with the newer position. A parent that goes on without it is left for the registry
// that told: below a root that is cut off from the store, the age of what it says tells of
// the cut only once the lost lease has run out and the age has passed its limit, which may be
// later than a configuration has to be in force.

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// drift is a position of a configuration that others have and this node lacks.
type drift struct {
	mark  message.Position
	from  string        // the member that told last, of those that answer requests
	since time.Duration // when the position was first told of, or the parent changed for it
}

// driftPatience is how long the parent has to bring a position that others told of: it is
// asked once in that time at least, and a change that is on its way down the tree arrives.
func (c *Distribution) driftPatience() time.Duration { return c.settings.UpdatesEvery() * 2 }

// HandleNewerMarks takes the positions of configurations that a registry has and this node, by
// its heartbeat, has not.
func (c *Distribution) HandleNewerMarks(s *statemachine.Env, registry string, marks []message.Position) {
	for _, mark := range marks {
		held, known := c.topicStates[mark.Topic]
		if !known || !c.own[mark.Topic] || !held.at().Before(mark) {
			continue
		}
		if _, silent := c.unanswered[registry]; silent {
			continue
		}
		c.trustAgain(registry)
		told, behind := c.drifts[mark.Topic]
		if !behind {
			c.drifts[mark.Topic] = drift{mark: mark, from: registry, since: s.Now}
			continue
		}
		// The older position stays: a row of changes must not put the move off.
		told.from = registry
		c.drifts[mark.Topic] = told
	}
}

// trustAgain takes back that a member was as stale as others: it has news since.
func (c *Distribution) trustAgain(name string) {
	delete(c.avoid, name)
	delete(c.failed, name)
	delete(c.spoilt, name)
}

// parentHas notes what the parent knows: what it has it will bring.
func (c *Distribution) parentHas(mark message.Position) {
	if told, behind := c.drifts[mark.Topic]; behind && !mark.Before(told.mark) {
		delete(c.drifts, mark.Topic)
	}
}

// leaveForNewer moves to the registry that told of a newer position, where the parent has
// not brought it in time.
func (c *Distribution) leaveForNewer(s *statemachine.Env) {
	for _, topic := range c.topics() {
		told, behind := c.drifts[topic]
		if !behind {
			continue
		}
		if !c.topicStates[topic].at().Before(told.mark) {
			delete(c.drifts, topic)
			continue
		}
		if s.Now-told.since < c.driftPatience() || c.parent == told.from {
			continue
		}
		c.joinTeller(s, topic, told)
		return
	}
}

// joinTeller takes the member that told of a newer position as parent; it may not refuse.
func (c *Distribution) joinTeller(s *statemachine.Env, topic string, told drift) {
	delete(c.drifts, topic)
	member, found := c.membership.Find(told.from)
	if !found || member.State > message.Suspect {
		return
	}
	if c.parent != "" {
		c.leaveParent(s, "lacks what "+told.from+" has", c.settings.Reparent()*2)
	}
	c.parent, c.parentAt, c.resort = member.Name, member.Address, true
	c.answered, c.joinedAt, c.requestAt = s.Now, s.Now, s.Now
	c.forgetRequests(s.Now)
}

// NewerThan lists the positions of the configurations of which this node has a newer
// version than the marks of another, which has some version of them.
func (c *Distribution) NewerThan(marks []message.Position) []message.Position {
	newer := []message.Position{}
	for _, mark := range marks {
		held, known := c.topicStates[mark.Topic]
		if known && held.known && IsConfiguration(mark.Topic) && mark.Before(held.at()) {
			newer = append(newer, held.at())
		}
	}
	return newer
}
