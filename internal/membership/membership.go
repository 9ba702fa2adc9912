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

// recentSuspicionTimeouts is the number of suspicion timeouts after its death during which a member
// counts as recently alive.
const recentSuspicionTimeouts = 8

// Membership is one node's member list and its side of the SWIM protocol. It is used by a single
// goroutine.
type Membership struct {
	settings   settings.Settings
	self       message.Member
	members    map[string]*entry // the other nodes, by name
	version    int64             // counts changes of the list; only the state fingerprint of package explore reads it
	left       bool              // Leave was called
	superseded bool              // a later process with this node's name is at another address
	lastTickAt time.Duration

	probe        *probe                // current probe, or nil
	probeOrder   []string              // members not yet probed in this round
	nextProbeAt  time.Duration         // when the next probe starts
	pings        statemachine.Sequence // numbers the pings
	pingRequests map[int64]pingRequest // being served for other nodes, by the number of this node's ping

	nextJoinAt           time.Duration
	joinAttempts         int
	previousRunAddresses []string          // of other nodes, stored by an earlier process of this node
	removedAddresses     map[string]string // of removed members, by name
}

// entry is a member of the list with its dissemination state.
type entry struct {
	member    message.Member
	changedAt time.Duration
	sends     int // number of times it was piggybacked since it changed
}

// New returns a Membership without other members. previousRunAddresses are addresses of other nodes
// that an earlier process of this node stored.
func New(cfg settings.Settings, self message.Member, previousRunAddresses []string) *Membership {
	return &Membership{
		settings:             cfg,
		self:                 self,
		members:              map[string]*entry{},
		pingRequests:         map[int64]pingRequest{},
		previousRunAddresses: previousRunAddresses,
		removedAddresses:     map[string]string{},
	}
}

// Self returns this node's own member entry.
func (m *Membership) Self() message.Member { return m.self }

// SetVoter sets the voter that this node holds and announces it with a higher incarnation.
func (m *Membership) SetVoter(voter string) {
	if m.self.Voter == voter {
		return
	}
	m.self.Voter = voter
	m.self.Incarnation++
	m.version++
}

// Joined reports whether any other node is alive or suspected.
func (m *Membership) Joined() bool { return len(m.Alive("")) > 0 }

// Alive returns the other nodes of a role ("" for all) that are alive or suspected, ordered by name.
func (m *Membership) Alive(role string) []message.Member {
	list := []message.Member{}
	for _, known := range m.members {
		if isAliveOrSuspect(known.member) && (role == "" || known.member.Role == role) {
			list = append(list, known.member)
		}
	}
	sortByName(list)
	return list
}

// isAliveOrSuspect reports whether a member counts as alive. Suspects do, since they may refute the
// suspicion.
func isAliveOrSuspect(member message.Member) bool { return member.State <= message.Suspect }

// RecentlyAlive returns the alive nodes of a role, followed by those that died recently. Messages to
// the latter reach a node that was only partitioned as soon as its link is restored.
func (m *Membership) RecentlyAlive(role string, now time.Duration) []message.Member {
	list := m.Alive(role)
	limit := m.settings.SuspicionTimeout() * recentSuspicionTimeouts
	for _, name := range m.names() {
		known := m.members[name]
		if known.member.Role == role && known.member.State == message.Dead && now-known.changedAt < limit {
			list = append(list, known.member)
		}
	}
	return list
}

// All returns all known nodes in any state: this one first, then the others ordered by name.
func (m *Membership) All() []message.Member {
	list := []message.Member{}
	for _, known := range m.members {
		list = append(list, known.member)
	}
	sortByName(list)
	return append([]message.Member{m.self}, list...)
}

// Superseded reports whether a later process with this node's name is at another address.
func (m *Membership) Superseded() bool { return m.superseded }

// Find returns the member with the given name, which may be this node.
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

// Leave announces to all alive members that this node is leaving. Tick does nothing afterwards.
func (m *Membership) Leave(env *statemachine.Env) {
	m.left = true
	m.self.Incarnation++
	m.self.State = message.Left
	for _, member := range m.Alive("") {
		env.Datagram(member.Address, message.Ping{Sequence: m.pings.Next(env), Target: member.Name, From: m.self})
	}
}

// HasLeft reports whether Leave was called.
func (m *Membership) HasLeft() bool { return m.left }

// Tick advances probes, suspicion timeouts and join requests. It must be called periodically.
func (m *Membership) Tick(env *statemachine.Env) {
	m.compensateOwnPause(env)
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

// Handle processes a message from another node and reports whether this package is responsible for its
// type.
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

// names returns the names of the other nodes in ascending order.
func (m *Membership) names() []string { return slices.Sorted(maps.Keys(m.members)) }

// sortByName sorts members by name in place.
func sortByName(members []message.Member) {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
}
