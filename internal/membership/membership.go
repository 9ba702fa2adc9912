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

// recentSuspicions is for how many suspicion timeouts after its death a member counts as recently
// alive.
const recentSuspicions = 8

// Membership is one node's view of the fleet, and its part in the protocol.
type Membership struct {
	settings   settings.Settings
	self       message.Member
	members    map[string]*entry // the other nodes, by name
	version    int64             // counts changes; only the fingerprint of package explore reads it
	left       bool              // this node has told the others that it stops
	superseded bool              // a later life of this node's name is at another address
	lastTickAt time.Duration

	probe        *probe                // the one under way, if any
	probeOrder   []string              // the members that are still to be probed in this round
	nextProbeAt  time.Duration         // when the next probe begins
	lastSequence int64                 // number of the last ping
	pingRequests map[int64]pingRequest // that this node serves, by the number of its own ping

	nextJoinAt         time.Duration
	joinAttempts       int
	earlierAddresses   []string          // of other nodes, known from an earlier life
	forgottenAddresses map[string]string // of members that were forgotten, by name
}

// entry is what this node knows of another one.
type entry struct {
	member    message.Member
	changedAt time.Duration
	sends     int // how often it was piggybacked since it changed
}

// New returns the membership of a node that knows no other yet. earlierAddresses are addresses of
// other nodes that it remembers from an earlier life.
func New(cfg settings.Settings, self message.Member, earlierAddresses []string) *Membership {
	return &Membership{
		settings:           cfg,
		self:               self,
		members:            map[string]*entry{},
		pingRequests:       map[int64]pingRequest{},
		earlierAddresses:   earlierAddresses,
		forgottenAddresses: map[string]string{},
	}
}

// Self returns this node as the others see it.
func (m *Membership) Self() message.Member { return m.self }

// SetVoter tells the others which voter this node holds from now on.
func (m *Membership) SetVoter(voter string) {
	if m.self.Voter == voter {
		return
	}
	m.self.Voter = voter
	m.self.Incarnation++
	m.version++
}

// Joined reports whether any other node is known alive.
func (m *Membership) Joined() bool { return len(m.Alive("")) > 0 }

// Alive returns the other nodes of a role ("" for all) that are alive or only suspected, by name.
func (m *Membership) Alive(role string) []message.Member {
	list := []message.Member{}
	for _, known := range m.members {
		if counted(known.member) && (role == "" || known.member.Role == role) {
			list = append(list, known.member)
		}
	}
	sortByName(list)
	return list
}

// counted reports whether a member still counts as one: a suspicion may be refuted.
func counted(member message.Member) bool { return member.State <= message.Suspect }

// RecentlyAlive returns the nodes of a role that are alive, and then those that were until a short
// while ago: a node that was only cut off gets what it missed as soon as the link is mended.
func (m *Membership) RecentlyAlive(role string, now time.Duration) []message.Member {
	list := m.Alive(role)
	limit := m.settings.SuspicionTimeout() * recentSuspicions
	for _, name := range m.names() {
		known := m.members[name]
		if known.member.Role == role && known.member.State == message.Dead && now-known.changedAt < limit {
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
	sortByName(list)
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

// Leave tells the others that this node stops.
func (m *Membership) Leave(env *statemachine.Env) {
	m.left = true
	m.self.Incarnation++
	m.self.State = message.Left
	for _, member := range m.Alive("") {
		m.lastSequence++
		env.Datagram(member.Address, message.Ping{Sequence: m.lastSequence, Target: member.Name, From: m.self})
	}
}

// HasLeft reports whether this node has told the others that it stops.
func (m *Membership) HasLeft() bool { return m.left }

// Tick advances probes, suspicions and joins.
func (m *Membership) Tick(env *statemachine.Env) {
	m.excuseOwnPause(env)
	if m.left {
		return
	}
	m.expireMembers(env)
	if env.Now >= m.nextJoinAt {
		m.join(env)
	}
	m.tickProbe(env)
	m.expirePingRequests(env.Now)
}

// Handle takes a message from another node. It returns false when the message is none of the
// membership's.
func (m *Membership) Handle(env *statemachine.Env, _ string, received any) bool {
	switch received := received.(type) {
	case message.Ping:
		m.handlePing(env, received)
	case message.Ack:
		m.handleAck(env, received)
	case message.IndirectPing:
		m.handlePingRequest(env, received)
	case message.JoinRequest:
		m.mergeSender(env, received.From)
		m.answerJoin(env, received)
	case message.JoinResponse:
		m.mergeSender(env, received.From)
		m.mergeAll(env, received.Members)
	default:
		return false
	}
	return true
}

// names returns the names of the other nodes in order.
func (m *Membership) names() []string { return slices.Sorted(maps.Keys(m.members)) }

func sortByName(members []message.Member) {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
}
