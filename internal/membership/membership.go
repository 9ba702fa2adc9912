// Package membership knows which nodes there are, in the SWIM manner: each node probes
// a few others in turn, asks third parties for a second opinion, suspects before it
// removes, and passes updates on the back of its probes. A suspected node refutes by a
// higher incarnation. A node's birth tells two lives of one name apart, and an
// answer counts only when it bears the name that was asked for, so that an address
// handed to another node is not taken for its old owner. Besides, each node now and
// then asks a seed, or an address it has seen before, for the whole list: that is
// how cut halves find each other again and how swapped seeds are survived.
package membership

import (
	"maps"
	"math/bits"
	"slices"
	"sort"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

const (
	gossipPerDatagram  = 6
	membersPerResponse = 6
	helpers            = 3
	awayKept           = 64
)

type entry struct {
	member    message.Member
	changedAt time.Duration
	sends     int
}

type probe struct {
	target string
	number int64
	sentAt time.Duration
	asked  bool
}

type relayed struct {
	asker  string
	number int64
	at     time.Duration
}

// Membership is the membership machine of one node.
type Membership struct {
	settings settings.Settings
	self     message.Member
	members  map[string]*entry
	order    []string
	current  *probe
	number   int64
	relays   map[int64]relayed
	nextAt   time.Duration
	joinAt   time.Duration
	joins    int
	lastTick time.Duration
	seen     []string          // addresses of an earlier life
	away     map[string]string // addresses of members forgotten since, by name
	edition  int64
	left     bool

	superseded bool
}

// New makes the machine; seen are addresses remembered from an earlier life.
func New(cfg settings.Settings, self message.Member, seen []string) *Membership {
	return &Membership{settings: cfg, self: self, members: map[string]*entry{}, relays: map[int64]relayed{}, seen: seen, away: map[string]string{}}
}

// Self is this node as the others see it.
func (c *Membership) Self() message.Member { return c.self }

// Sit names the voter that this node holds from now on, to the others as well.
func (c *Membership) HoldVoter(voter string) {
	if c.self.Voter != voter {
		c.self.Voter = voter
		c.self.Incarnation++
		c.edition++
	}
}

// Edition grows whenever the membership changes.
func (c *Membership) Edition() int64 { return c.edition }

// Joined is true when any other node is known alive.
func (c *Membership) Joined() bool { return len(c.Alive("")) > 0 }

// Alive lists the others that are not known dead, by role ("" for all), by name.
func (c *Membership) Alive(role string) []message.Member {
	list := []message.Member{}
	for _, known := range c.members {
		if known.member.State <= message.Suspect && (role == "" || known.member.Role == role) {
			list = append(list, known.member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Lately lists those of a role that are alive or were until a short while ago: who
// was only cut off is told what it missed as soon as the link is mended.
func (c *Membership) Lately(role string, now time.Duration) []message.Member {
	list := c.Alive(role)
	for _, name := range c.names() {
		known := c.members[name]
		if known.member.Role == role && known.member.State == message.Dead && now-known.changedAt < c.settings.SuspectFor()*8 {
			list = append(list, known.member)
		}
	}
	return list
}

// All lists every node known, this one first.
func (c *Membership) All() []message.Member {
	list := []message.Member{}
	for _, known := range c.members {
		list = append(list, known.member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return append([]message.Member{c.self}, list...)
}

// Superseded is true when a later life of this name is at another address.
func (c *Membership) Superseded() bool { return c.superseded }

// Find gives a member by name.
func (c *Membership) Find(name string) (message.Member, bool) {
	if name == c.self.Name {
		return c.self, true
	}
	known, found := c.members[name]
	if !found {
		return message.Member{}, false
	}
	return known.member, true
}

// Reseed takes other seeds, as settings that were changed tell them.
func (c *Membership) Reseed(seeds []string) { c.settings.Seeds = slices.Clone(seeds) }

// Remember adds addresses known from an earlier life.
func (c *Membership) Remember(addresses []string) { c.seen = append(c.seen, addresses...) }

// Seen lists addresses worth remembering for the next life.
func (c *Membership) Seen() []string {
	list := []string{}
	for _, member := range c.Alive("") {
		list = append(list, member.Address)
	}
	if len(list) == 0 {
		return c.seen
	}
	for _, name := range slices.Sorted(maps.Keys(c.away)) {
		list = append(list, c.away[name])
	}
	return list
}

// Leave tells the others that this node goes of its own will.
func (c *Membership) Leave(s *statemachine.Env) {
	c.left = true
	c.self.Incarnation++
	c.self.State = message.Left
	for _, member := range c.Alive("") {
		c.number++
		s.Datagram(member.Address, message.Ping{Number: c.number, Target: member.Name, From: c.self})
	}
}

// HasLeft says that this node has told the others that it goes.
func (c *Membership) HasLeft() bool { return c.left }

// Tick advances probes, suspicions and joins.
func (c *Membership) Tick(s *statemachine.Env) {
	gap := s.Now - c.lastTick
	c.lastTick = s.Now
	if gap > c.settings.ProbeEvery() {
		// This node itself was held up: its own lateness accuses nobody.
		c.current = nil
		for _, known := range c.members {
			if known.member.State == message.Suspect {
				known.changedAt += gap
			}
		}
	}
	if c.left {
		return
	}
	for _, name := range c.names() {
		known := c.members[name]
		switch known.member.State {
		case message.Suspect:
			if s.Now-known.changedAt > c.settings.SuspectFor() {
				gone := known.member
				gone.State = message.Dead
				c.merge(s, gone)
				s.Event("member-dead", 0, gone.Incarnation, name)
			}
		case message.Dead, message.Left:
			if s.Now-known.changedAt > c.settings.ForgetAfter() {
				if len(c.away) < awayKept {
					c.away[name] = known.member.Address
				}
				delete(c.members, name)
				c.edition++
			}
		}
	}
	if s.Now >= c.joinAt {
		c.join(s)
	}
	if c.current != nil && !c.current.asked && s.Now-c.current.sentAt > c.settings.ProbeLimit() {
		c.current.asked = true
		if target, found := c.members[c.current.target]; found {
			others := c.Alive("")
			s.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			asked := 0
			for _, helper := range others {
				if helper.Name == c.current.target || helper.State != message.Alive || asked == helpers {
					continue
				}
				asked++
				s.Datagram(helper.Address, message.PingFor{Number: c.current.number, Target: c.current.target,
					Address: target.member.Address, From: c.self, Gossip: c.gossip()})
			}
		}
	}
	if s.Now >= c.nextAt {
		c.nextAt = s.Now + c.settings.ProbeEvery()
		if c.current != nil {
			c.accuse(s, c.current.target)
		}
		c.probeNext(s)
	}
	for number, held := range c.relays {
		if s.Now-held.at > c.settings.ProbeEvery()*4 {
			delete(c.relays, number)
		}
	}
}

func (c *Membership) names() []string { return slices.Sorted(maps.Keys(c.members)) }

func (c *Membership) join(s *statemachine.Env) {
	// A life begins with some joins close together: when many start at one moment, the
	// first ones find nobody up yet.
	c.joins++
	wait := c.settings.JoinEvery()
	early := wait / 8 << min(c.joins, 8)
	targets := append([]string{}, c.settings.Seeds...)
	if alive := c.Alive(""); len(alive) > 0 && early < wait && c.self.Role == message.RoleProxy {
		// Lists cost its link more than they tell it now.
		targets = []string{c.settings.Seeds[s.Random.IntN(len(c.settings.Seeds))]}
	} else if len(alive) > 0 && early >= wait {
		wait *= 2
		targets = []string{c.settings.Seeds[s.Random.IntN(len(c.settings.Seeds))], alive[s.Random.IntN(len(alive))].Address}
		if names := c.names(); len(names) > 0 {
			targets = append(targets, c.members[names[s.Random.IntN(len(names))]].member.Address)
		}
		// Whoever was away for long may have come back with settings whose seeds are
		// all gone: it can't find us, so it is looked for where it was.
		if gone := append(slices.Clone(c.seen), slices.Sorted(maps.Values(c.away))...); len(gone) > 0 {
			targets = append(targets, gone[s.Random.IntN(len(gone))])
		}
	} else {
		targets = append(targets, c.seen...)
	}
	wait = min(wait, early)
	c.joinAt = s.Now + wait + time.Duration(s.Random.Int64N(int64(wait)/2+1))
	sent := map[string]bool{c.self.Address: true}
	for _, target := range targets {
		if !sent[target] {
			sent[target] = true
			s.Datagram(target, message.JoinRequest{From: c.self, Known: c.digest()})
		}
	}
}

func (c *Membership) probeNext(s *statemachine.Env) {
	c.current = nil
	for range len(c.members) + 1 {
		if len(c.order) == 0 {
			for _, member := range c.Alive("") {
				c.order = append(c.order, member.Name)
			}
			s.Random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
			if len(c.order) == 0 {
				return
			}
		}
		name := c.order[0]
		c.order = c.order[1:]
		if known, found := c.members[name]; found && known.member.State <= message.Suspect {
			c.number++
			c.current = &probe{target: name, number: c.number, sentAt: s.Now}
			s.Datagram(known.member.Address, message.Ping{Number: c.number, Target: name, From: c.self, Gossip: c.gossipFor(name)})
			return
		}
	}
}

func (c *Membership) accuse(s *statemachine.Env, name string) {
	known, found := c.members[name]
	if !found || known.member.State != message.Alive {
		return
	}
	accused := known.member
	accused.State = message.Suspect
	c.merge(s, accused)
}

// gossipFor puts what is said of the receiver first, so that it can refute at once.
func (c *Membership) gossipFor(name string) []message.Member {
	list := c.gossip()
	if known, found := c.members[name]; found && known.member.State != message.Alive {
		list = append([]message.Member{known.member}, list...)
	}
	return list
}

func (c *Membership) gossip() []message.Member {
	limit := 3 * bits.Len(uint(len(c.members)+1))
	fresh := []*entry{}
	for _, name := range c.names() {
		if known := c.members[name]; known.sends < limit {
			fresh = append(fresh, known)
		}
	}
	sort.SliceStable(fresh, func(i, j int) bool { return fresh[i].sends < fresh[j].sends })
	list := []message.Member{}
	for _, known := range fresh {
		if len(list) == gossipPerDatagram {
			break
		}
		known.sends++
		list = append(list, known.member)
	}
	return list
}

// Handle takes a membership message; false when the message is another part's.
func (c *Membership) Handle(s *statemachine.Env, from string, msg any) bool {
	switch received := msg.(type) {
	case message.Ping:
		c.meet(s, received.From)
		c.mergeAll(s, received.Gossip)
		if received.Target == c.self.Name {
			s.Datagram(received.From.Address, message.Ack{Number: received.Number, From: c.self, Gossip: c.gossipFor(received.From.Name)})
		}
	case message.Ack:
		c.meet(s, received.From)
		c.mergeAll(s, received.Gossip)
		if held, found := c.relays[received.Number]; found {
			delete(c.relays, received.Number)
			s.Datagram(held.asker, message.Ack{Number: held.number, From: received.From})
			return true
		}
		if c.current != nil && received.Number == c.current.number && received.From.Name == c.current.target {
			c.current = nil
		}
	case message.PingFor:
		c.meet(s, received.From)
		c.mergeAll(s, received.Gossip)
		c.number++
		c.relays[c.number] = relayed{received.From.Address, received.Number, s.Now}
		s.Datagram(received.Address, message.Ping{Number: c.number, Target: received.Target, From: c.self})
	case message.JoinRequest:
		c.meet(s, received.From)
		c.answerJoin(s, received)
	case message.JoinResponse:
		c.meet(s, received.From)
		c.mergeAll(s, received.Members)
	default:
		return false
	}
	return true
}

// meet takes what a node says of itself. Whoever else was known at that address
// and is not the one who now speaks from it has lost it.
func (c *Membership) meet(s *statemachine.Env, member message.Member) {
	if member.Name == c.self.Name {
		return
	}
	for _, name := range c.names() {
		known := c.members[name].member
		if known.Address == member.Address && name != member.Name && known.State <= message.Suspect {
			known.State = message.Dead
			c.merge(s, known)
			s.Event("member-address-taken", 0, known.Incarnation, name+" by "+member.Name)
		}
	}
	if known, found := c.members[member.Name]; found && known.member.State != message.Alive &&
		member.State == message.Alive && known.member.Birth == member.Birth && known.member.Incarnation >= member.Incarnation {
		// It speaks, yet is held for lost: tell it, so that it refutes.
		known.sends = 0
	}
	c.merge(s, member)
}

func (c *Membership) mergeAll(s *statemachine.Env, members []message.Member) {
	for _, member := range members {
		c.merge(s, member)
	}
}

func newer(response, known message.Member) bool {
	if response.Birth != known.Birth {
		return response.Birth > known.Birth
	}
	if response.Incarnation != known.Incarnation {
		return response.Incarnation > known.Incarnation
	}
	return response.State > known.State
}

func (c *Membership) merge(s *statemachine.Env, response message.Member) {
	if response.Name == c.self.Name {
		switch {
		case response.Birth > c.self.Birth && response.Address == c.self.Address:
			// An earlier life here had a clock ahead of this one's: outbid it.
			c.self.Birth = response.Birth + 1
			c.edition++
		case response.Birth > c.self.Birth:
			// The name lives on at another address; this life is the older one.
			if !c.superseded {
				s.Event("member-superseded", 0, response.Incarnation, response.Name+" at "+response.Address)
			}
			c.superseded = true
		case response.Birth == c.self.Birth && response.State != message.Alive && response.Incarnation >= c.self.Incarnation && !c.left:
			c.self.Incarnation = response.Incarnation + 1
		}
		return
	}
	known, found := c.members[response.Name]
	if !found {
		if response.State >= message.Dead {
			return
		}
		c.members[response.Name] = &entry{member: response, changedAt: s.Now}
		delete(c.away, response.Name)
		c.edition++
		s.Event("member-met", 0, response.Incarnation, response.Name+" "+response.Address)
		return
	}
	if !newer(response, known.member) {
		return
	}
	if response.State != known.member.State || response.Address != known.member.Address || response.Birth != known.member.Birth {
		c.edition++
		s.Event("member-"+[]string{"alive", "suspect", "dead", "left"}[response.State&3], 0, response.Incarnation, response.Name)
	}
	known.member, known.changedAt, known.sends = response, s.Now, 0
}
