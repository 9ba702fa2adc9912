package distribution

// This file is the child's side of the tree: which parent a node takes, when it leaves one,
// and how it asks for updates.

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Tick asks, and moves to another parent when this one is silent or stale.
func (c *Distribution) Tick(s *statemachine.Env) {
	c.forgiveOwnLateness(s.Now)
	for name, known := range c.children {
		if s.Now-known.receivedAt > c.settings.ParentTimeout()*2 {
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
	neverAnswered := c.parent != "" && len(c.path) == 0 && s.Now-c.answered > c.firstPatience()
	if s.Now < c.requestAt && !neverAnswered {
		return
	}
	if c.parent != "" {
		patience, missed := c.settings.ParentTimeout(), 3
		if neverAnswered {
			patience, missed = c.firstPatience(), 1
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
		if silent && neverAnswered {
			c.fruitless++
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
		if held, known := c.topicStates[item.Position.Topic]; known && IsConfiguration(item.Position.Topic) && held.at().Before(item.Position) {
			// It knows a newer one, however long ago that was known current.
			return false
		}
	}
	for _, item := range items {
		held, known := c.topicStates[item.Position.Topic]
		if !IsConfiguration(item.Position.Topic) || !known || held.freshAt != never && now-held.freshAt <= c.settings.Reparent() {
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
	c.leaveRequests()
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
	c.forgetRequests(s.Now)
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
	marks := []message.Position{}
	for _, topic := range c.wanted() {
		marks = append(marks, c.topicStates[topic].asked())
	}
	self := c.membership.Self()
	s.Send(c.parentAt, message.UpdatesRequest{Round: c.round, Child: self.Name, Role: self.Role, LastResort: c.resort, Positions: marks})
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
	s.Send(c.parentAt, message.UpdatesRequest{Round: -1, Child: self.Name, Role: self.Role, Positions: []message.Position{held.mark}, PartOf: topic, Part: int64(len(held.buffer))})
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
		held, known := c.topicStates[item.Position.Topic]
		if known && held.known && IsConfiguration(item.Position.Topic) && (!item.Known || item.Position.Before(held.at())) {
			return true
		}
	}
	return false
}

func (c *Distribution) leaveQuietly(s *statemachine.Env, avoidFor time.Duration) {
	c.avoid[c.parent] = s.Now + avoidFor
	c.leaveRequests()
	c.parent, c.parentAt, c.path = "", "", nil
}
