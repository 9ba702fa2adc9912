// Package company knows which nodes there are, in the SWIM manner: each node probes
// a few others in turn, asks third parties for a second opinion, suspects before it
// removes, and passes news on the back of its probes. A suspected node refutes by a
// higher incarnation. A node's birth tells two lives of one name apart, and an
// answer counts only when it bears the name that was asked for, so that an address
// handed to another node is not taken for its old owner. Besides, each node now and
// then asks a seed, or an address it has seen before, for the whole list: that is
// how cut halves find each other again and how swapped seeds are survived.
package company

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/bits"
	"slices"
	"sort"
	"time"

	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

const (
	gossipPerDatagram = 6
	membersPerTold    = 6
	helpers           = 3
	awayKept          = 64
)

type entry struct {
	member    script.Member
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

// Company is the membership machine of one node.
type Company struct {
	config   playbill.Config
	self     script.Member
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
func New(config playbill.Config, self script.Member, seen []string) *Company {
	return &Company{config: config, self: self, members: map[string]*entry{}, relays: map[int64]relayed{}, seen: seen, away: map[string]string{}}
}

// Self is this node as the others see it.
func (c *Company) Self() script.Member { return c.self }

// Sit names the seat that this node holds from now on, to the others as well.
func (c *Company) Sit(seat string) {
	if c.self.Seat != seat {
		c.self.Seat = seat
		c.self.Incarnation++
		c.edition++
	}
}

// Edition grows whenever the membership changes.
func (c *Company) Edition() int64 { return c.edition }

// Joined is true when any other node is known alive.
func (c *Company) Joined() bool { return len(c.Alive("")) > 0 }

// Alive lists the others that are not known dead, by role ("" for all), by name.
func (c *Company) Alive(role string) []script.Member {
	list := []script.Member{}
	for _, known := range c.members {
		if known.member.State <= script.Suspect && (role == "" || known.member.Role == role) {
			list = append(list, known.member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Lately lists those of a role that are alive or were until a short while ago: who
// was only cut off is told what it missed as soon as the link is mended.
func (c *Company) Lately(role string, now time.Duration) []script.Member {
	list := c.Alive(role)
	for _, name := range c.names() {
		known := c.members[name]
		if known.member.Role == role && known.member.State == script.Dead && now-known.changedAt < c.config.SuspectFor()*8 {
			list = append(list, known.member)
		}
	}
	return list
}

// All lists every node known, this one first.
func (c *Company) All() []script.Member {
	list := []script.Member{}
	for _, known := range c.members {
		list = append(list, known.member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return append([]script.Member{c.self}, list...)
}

// Superseded is true when a later life of this name is at another address.
func (c *Company) Superseded() bool { return c.superseded }

// Find gives a member by name.
func (c *Company) Find(name string) (script.Member, bool) {
	if name == c.self.Name {
		return c.self, true
	}
	known, found := c.members[name]
	if !found {
		return script.Member{}, false
	}
	return known.member, true
}

// Reseed takes other seeds, as settings that were changed tell them.
func (c *Company) Reseed(seeds []string) { c.config.Seeds = slices.Clone(seeds) }

// Remember adds addresses known from an earlier life.
func (c *Company) Remember(addresses []string) { c.seen = append(c.seen, addresses...) }

// Seen lists addresses worth remembering for the next life.
func (c *Company) Seen() []string {
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
func (c *Company) Leave(s *cue.Stage) {
	c.left = true
	c.self.Incarnation++
	c.self.State = script.Left
	for _, member := range c.Alive("") {
		c.number++
		s.Datagram(member.Address, script.Ping{Number: c.number, Target: member.Name, From: c.self})
	}
}

// HasLeft says that this node has told the others that it goes.
func (c *Company) HasLeft() bool { return c.left }

// Tick advances probes, suspicions and joins.
func (c *Company) Tick(s *cue.Stage) {
	gap := s.Now - c.lastTick
	c.lastTick = s.Now
	if gap > c.config.ProbeEvery() {
		// This node itself was held up: its own lateness accuses nobody.
		c.current = nil
		for _, known := range c.members {
			if known.member.State == script.Suspect {
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
		case script.Suspect:
			if s.Now-known.changedAt > c.config.SuspectFor() {
				gone := known.member
				gone.State = script.Dead
				c.merge(s, gone)
				s.Note("member-dead", 0, gone.Incarnation, name)
			}
		case script.Dead, script.Left:
			if s.Now-known.changedAt > c.config.ForgetAfter() {
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
	if c.current != nil && !c.current.asked && s.Now-c.current.sentAt > c.config.ProbeLimit() {
		c.current.asked = true
		if target, found := c.members[c.current.target]; found {
			others := c.Alive("")
			s.Dice.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			asked := 0
			for _, helper := range others {
				if helper.Name == c.current.target || helper.State != script.Alive || asked == helpers {
					continue
				}
				asked++
				s.Datagram(helper.Address, script.PingFor{Number: c.current.number, Target: c.current.target,
					Address: target.member.Address, From: c.self, Gossip: c.gossip()})
			}
		}
	}
	if s.Now >= c.nextAt {
		c.nextAt = s.Now + c.config.ProbeEvery()
		if c.current != nil {
			c.accuse(s, c.current.target)
		}
		c.probeNext(s)
	}
	for number, held := range c.relays {
		if s.Now-held.at > c.config.ProbeEvery()*4 {
			delete(c.relays, number)
		}
	}
}

func (c *Company) names() []string { return slices.Sorted(maps.Keys(c.members)) }

func (c *Company) join(s *cue.Stage) {
	// A life begins with some joins close together: when many start at one moment, the
	// first ones find nobody up yet.
	c.joins++
	wait := c.config.JoinEvery()
	early := wait / 8 << min(c.joins, 8)
	targets := append([]string{}, c.config.Seeds...)
	if alive := c.Alive(""); len(alive) > 0 && early >= wait {
		wait *= 2
		targets = []string{c.config.Seeds[s.Dice.IntN(len(c.config.Seeds))], alive[s.Dice.IntN(len(alive))].Address}
		if names := c.names(); len(names) > 0 {
			targets = append(targets, c.members[names[s.Dice.IntN(len(names))]].member.Address)
		}
		// Whoever was away for long may have come back with settings whose seeds are
		// all gone: it can't find us, so it is looked for where it was.
		if gone := append(slices.Clone(c.seen), slices.Sorted(maps.Values(c.away))...); len(gone) > 0 {
			targets = append(targets, gone[s.Dice.IntN(len(gone))])
		}
	} else {
		targets = append(targets, c.seen...)
	}
	wait = min(wait, early)
	c.joinAt = s.Now + wait + time.Duration(s.Dice.Int64N(int64(wait)/2+1))
	sent := map[string]bool{c.self.Address: true}
	for _, target := range targets {
		if !sent[target] {
			sent[target] = true
			s.Datagram(target, script.JoinAsk{From: c.self, Known: c.known()})
		}
	}
}

// known is the sum of what is known of every node, this one included. Suspicions come
// and go and are no reason to tell everything.
func (c *Company) known() int64 {
	sum := int64(0)
	add := func(member script.Member) {
		hash := fnv.New64a()
		state := member.State
		if state == script.Suspect {
			state = script.Alive
		}
		fmt.Fprintf(hash, "%s|%s|%d|%d|%s", member.Name, member.Address, member.Birth, state, member.Seat)
		sum += int64(hash.Sum64())
	}
	for _, known := range c.members {
		if known.member.State <= script.Suspect {
			add(known.member)
		}
	}
	add(c.self)
	return sum
}

func (c *Company) probeNext(s *cue.Stage) {
	c.current = nil
	for range len(c.members) + 1 {
		if len(c.order) == 0 {
			for _, member := range c.Alive("") {
				c.order = append(c.order, member.Name)
			}
			s.Dice.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
			if len(c.order) == 0 {
				return
			}
		}
		name := c.order[0]
		c.order = c.order[1:]
		if known, found := c.members[name]; found && known.member.State <= script.Suspect {
			c.number++
			c.current = &probe{target: name, number: c.number, sentAt: s.Now}
			s.Datagram(known.member.Address, script.Ping{Number: c.number, Target: name, From: c.self, Gossip: c.gossipFor(name)})
			return
		}
	}
}

func (c *Company) accuse(s *cue.Stage, name string) {
	known, found := c.members[name]
	if !found || known.member.State != script.Alive {
		return
	}
	accused := known.member
	accused.State = script.Suspect
	c.merge(s, accused)
}

// gossipFor puts what is said of the receiver first, so that it can refute at once.
func (c *Company) gossipFor(name string) []script.Member {
	list := c.gossip()
	if known, found := c.members[name]; found && known.member.State != script.Alive {
		list = append([]script.Member{known.member}, list...)
	}
	return list
}

func (c *Company) gossip() []script.Member {
	limit := 3 * bits.Len(uint(len(c.members)+1))
	fresh := []*entry{}
	for _, name := range c.names() {
		if known := c.members[name]; known.sends < limit {
			fresh = append(fresh, known)
		}
	}
	sort.SliceStable(fresh, func(i, j int) bool { return fresh[i].sends < fresh[j].sends })
	list := []script.Member{}
	for _, known := range fresh {
		if len(list) == gossipPerDatagram {
			break
		}
		known.sends++
		list = append(list, known.member)
	}
	return list
}

// Hear takes a membership message; false when the message is another part's.
func (c *Company) Hear(s *cue.Stage, from string, message any) bool {
	switch heard := message.(type) {
	case script.Ping:
		c.meet(s, heard.From)
		c.mergeAll(s, heard.Gossip)
		if heard.Target == c.self.Name {
			s.Datagram(heard.From.Address, script.Ack{Number: heard.Number, From: c.self, Gossip: c.gossipFor(heard.From.Name)})
		}
	case script.Ack:
		c.meet(s, heard.From)
		c.mergeAll(s, heard.Gossip)
		if held, found := c.relays[heard.Number]; found {
			delete(c.relays, heard.Number)
			s.Datagram(held.asker, script.Ack{Number: held.number, From: heard.From})
			return true
		}
		if c.current != nil && heard.Number == c.current.number && heard.From.Name == c.current.target {
			c.current = nil
		}
	case script.PingFor:
		c.meet(s, heard.From)
		c.mergeAll(s, heard.Gossip)
		c.number++
		c.relays[c.number] = relayed{heard.From.Address, heard.Number, s.Now}
		s.Datagram(heard.Address, script.Ping{Number: c.number, Target: heard.Target, From: c.self})
	case script.JoinAsk:
		c.meet(s, heard.From)
		if heard.Known == c.known() {
			s.Datagram(heard.From.Address, script.JoinTold{From: c.self, Members: []script.Member{}})
			return true
		}
		batch := []script.Member{}
		flush := func() {
			s.Datagram(heard.From.Address, script.JoinTold{From: c.self, Members: batch})
			batch = []script.Member{}
		}
		for _, name := range c.names() {
			batch = append(batch, c.members[name].member)
			if len(batch) == membersPerTold {
				flush()
			}
		}
		flush()
	case script.JoinTold:
		c.meet(s, heard.From)
		c.mergeAll(s, heard.Members)
	default:
		return false
	}
	return true
}

// meet takes what a node says of itself. Whoever else was known at that address
// and is not the one who now speaks from it has lost it.
func (c *Company) meet(s *cue.Stage, member script.Member) {
	if member.Name == c.self.Name {
		return
	}
	for _, name := range c.names() {
		known := c.members[name].member
		if known.Address == member.Address && name != member.Name && known.State <= script.Suspect {
			known.State = script.Dead
			c.merge(s, known)
			s.Note("member-address-taken", 0, known.Incarnation, name+" by "+member.Name)
		}
	}
	if known, found := c.members[member.Name]; found && known.member.State != script.Alive &&
		member.State == script.Alive && known.member.Birth == member.Birth && known.member.Incarnation >= member.Incarnation {
		// It speaks, yet is held for lost: tell it, so that it refutes.
		known.sends = 0
	}
	c.merge(s, member)
}

func (c *Company) mergeAll(s *cue.Stage, members []script.Member) {
	for _, member := range members {
		c.merge(s, member)
	}
}

func newer(told, known script.Member) bool {
	if told.Birth != known.Birth {
		return told.Birth > known.Birth
	}
	if told.Incarnation != known.Incarnation {
		return told.Incarnation > known.Incarnation
	}
	return told.State > known.State
}

func (c *Company) merge(s *cue.Stage, told script.Member) {
	if told.Name == c.self.Name {
		switch {
		case told.Birth > c.self.Birth && told.Address == c.self.Address:
			// An earlier life here had a clock ahead of this one's: outbid it.
			c.self.Birth = told.Birth + 1
			c.edition++
		case told.Birth > c.self.Birth:
			// The name lives on at another address; this life is the older one.
			if !c.superseded {
				s.Note("member-superseded", 0, told.Incarnation, told.Name+" at "+told.Address)
			}
			c.superseded = true
		case told.Birth == c.self.Birth && told.State != script.Alive && told.Incarnation >= c.self.Incarnation && !c.left:
			c.self.Incarnation = told.Incarnation + 1
		}
		return
	}
	known, found := c.members[told.Name]
	if !found {
		if told.State >= script.Dead {
			return
		}
		c.members[told.Name] = &entry{member: told, changedAt: s.Now}
		delete(c.away, told.Name)
		c.edition++
		s.Note("member-met", 0, told.Incarnation, told.Name+" "+told.Address)
		return
	}
	if !newer(told, known.member) {
		return
	}
	if told.State != known.member.State || told.Address != known.member.Address || told.Birth != known.member.Birth {
		c.edition++
		s.Note("member-"+[]string{"alive", "suspect", "dead", "left"}[told.State&3], 0, told.Incarnation, told.Name)
	}
	known.member, known.changedAt, known.sends = told, s.Now, 0
}
