// Package membership knows which nodes there are, by the SWIM protocol: each node probes the others in
// turn, asks third ones to probe a silent node before it suspects it, suspects before it removes, and
// passes changes on with its probes (gossip). A suspected node refutes by a higher incarnation. A
// node's birth tells two lives of one name apart, and an answer counts only when it bears the name
// that was asked for, so that an address that passed to another node is not taken for its old owner.
//
// Besides, each node now and then asks a seed, or an address it has seen before, for the member list:
// so cut halves find each other again, and seeds may be replaced.
package membership

import (
	"maps"
	"slices"
	"sort"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Membership is the membership machine of one node.
type Membership struct {
	settings   settings.Settings
	self       message.Member
	members    map[string]*entry // the other nodes, by name
	order      []string          // who is probed next in this round
	current    *probe
	number     int64             // of the last probe
	relays     map[int64]relayed // by our own number
	nextAt     time.Duration     // of the next probe
	joinAt     time.Duration     // of the next request for the member list
	joins      int
	lastTick   time.Duration
	seen       []string          // addresses of an earlier life
	away       map[string]string // addresses of members forgotten since, by name
	edition    int64
	left       bool
	superseded bool
}

// entry is what is known of one other node.
type entry struct {
	member    message.Member
	changedAt time.Duration
	sends     int // how often it was sent as gossip since it changed
}

// New makes the machine; seen are addresses remembered from an earlier life.
func New(cfg settings.Settings, self message.Member, seen []string) *Membership {
	return &Membership{settings: cfg, self: self, members: map[string]*entry{}, relays: map[int64]relayed{}, seen: seen, away: map[string]string{}}
}

// Self returns this node as the others see it.
func (m *Membership) Self() message.Member { return m.self }

// SetVoter tells the others which voter this node holds from now on.
func (m *Membership) SetVoter(voter string) {
	if m.self.Voter != voter {
		m.self.Voter = voter
		m.self.Incarnation++
		m.edition++
	}
}

// Edition returns a number that rises whenever the membership changes.
func (m *Membership) Edition() int64 { return m.edition }

// Joined reports whether any other node is known alive.
func (m *Membership) Joined() bool { return len(m.Alive("")) > 0 }

// Alive returns the other nodes of a role ("" for all) that are not known dead, by name.
func (m *Membership) Alive(role string) []message.Member {
	list := []message.Member{}
	for _, known := range m.members {
		if known.member.State <= message.Suspect && (role == "" || known.member.Role == role) {
			list = append(list, known.member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// RecentlyAlive returns those of a role that are alive or were until a short while ago: a node that was only
// cut off gets what it missed as soon as the link is mended.
func (m *Membership) RecentlyAlive(role string, now time.Duration) []message.Member {
	list := m.Alive(role)
	for _, name := range m.names() {
		known := m.members[name]
		if known.member.Role == role && known.member.State == message.Dead && now-known.changedAt < m.settings.SuspectFor()*latelySuspicions {
			list = append(list, known.member)
		}
	}
	return list
}

// All returns every node known, this one first.
func (m *Membership) All() []message.Member {
	list := []message.Member{}
	for _, known := range m.members {
		list = append(list, known.member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return append([]message.Member{m.self}, list...)
}

// Superseded reports whether a later life of this node's name is at another address.
func (m *Membership) Superseded() bool { return m.superseded }

// Find returns a member by name.
func (m *Membership) Find(name string) (message.Member, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	known, found := m.members[name]
	if !found {
		return message.Member{}, false
	}
	return known.member, true
}

// SetSeeds replaces the seeds, when the settings have changed.
func (m *Membership) SetSeeds(seeds []string) { m.settings.Seeds = slices.Clone(seeds) }

// AddKnownAddresses adds addresses known from an earlier life.
func (m *Membership) AddKnownAddresses(addresses []string) { m.seen = append(m.seen, addresses...) }

// KnownAddresses returns the addresses worth remembering for the next life.
func (m *Membership) KnownAddresses() []string {
	list := []string{}
	for _, member := range m.Alive("") {
		list = append(list, member.Address)
	}
	if len(list) == 0 {
		return m.seen
	}
	for _, name := range slices.Sorted(maps.Keys(m.away)) {
		list = append(list, m.away[name])
	}
	return list
}

// Leave tells the others that this node stops.
func (m *Membership) Leave(env *statemachine.Env) {
	m.left = true
	m.self.Incarnation++
	m.self.State = message.Left
	for _, member := range m.Alive("") {
		m.number++
		env.Datagram(member.Address, message.Ping{Number: m.number, Target: member.Name, From: m.self})
	}
}

// HasLeft reports whether this node has told the others that it stops.
func (m *Membership) HasLeft() bool { return m.left }

// Tick advances probes, suspicions and joins.
func (m *Membership) Tick(env *statemachine.Env) {
	m.forgiveOwnLateness(env)
	if m.left {
		return
	}
	m.ageMembers(env)
	if env.Now >= m.joinAt {
		m.join(env)
	}
	if m.current != nil && !m.current.asked && env.Now-m.current.sentAt > m.settings.ProbeLimit() {
		m.askHelpers(env)
	}
	if env.Now >= m.nextAt {
		m.nextAt = env.Now + m.settings.ProbeEvery()
		if m.current != nil {
			m.accuse(env, m.current.target)
		}
		m.probeNext(env)
	}
	for number, held := range m.relays {
		if env.Now-held.at > m.settings.ProbeEvery()*relayKept {
			delete(m.relays, number)
		}
	}
}

// Handle takes a message; it returns false when the message is another part's.
func (m *Membership) Handle(env *statemachine.Env, _ string, received any) bool {
	switch received := received.(type) {
	case message.Ping:
		m.handlePing(env, received)
	case message.Ack:
		m.handleAck(env, received)
	case message.IndirectPing:
		m.handlePingFor(env, received)
	case message.JoinRequest:
		m.meet(env, received.From)
		m.answerJoin(env, received)
	case message.JoinResponse:
		m.meet(env, received.From)
		m.mergeAll(env, received.Members)
	default:
		return false
	}
	return true
}

// names returns the names of the other nodes in order.
func (m *Membership) names() []string { return slices.Sorted(maps.Keys(m.members)) }
