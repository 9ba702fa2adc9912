package membership

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	gossipPerDatagram  = 6  // members in one probe or answer
	membersPerResponse = 6  // members in one part of the member list
	helpers            = 3  // members that are asked to probe a silent one
	awayKept           = 64 // addresses kept of members that were forgotten
	// latelySuspicions is for how many suspicion times after its death a member counts as lately
	// alive.
	latelySuspicions = 8
	// relayKept is for how many probe intervals a probe for another is remembered.
	relayKept = 4
)

// probe is the one that is under way.
type probe struct {
	target string
	number int64
	sentAt time.Duration
	asked  bool // others were asked to probe the target
}

// relayed is a probe that is made for another node.
type relayed struct {
	asker  string // its address
	number int64  // its own number of the probe
	at     time.Duration
}

// forgiveOwnLateness gives up the current probe, and gives suspects more time, when this node itself
// was held up: its own lateness accuses nobody.
func (m *Membership) forgiveOwnLateness(env *statemachine.Env) {
	gap := env.Now - m.lastTick
	m.lastTick = env.Now
	if gap <= m.settings.ProbeEvery() {
		return
	}
	m.current = nil
	for _, known := range m.members {
		if known.member.State == message.Suspect {
			known.changedAt += gap
		}
	}
}

// ageMembers declares suspects dead and forgets the dead, each when its time is over.
func (m *Membership) ageMembers(env *statemachine.Env) {
	for _, name := range m.names() {
		known := m.members[name]
		age := env.Now - known.changedAt
		switch known.member.State {
		case message.Suspect:
			if age > m.settings.SuspectFor() {
				gone := known.member
				gone.State = message.Dead
				m.merge(env, gone)
				env.Event("member-dead", 0, gone.Incarnation, name)
			}
		case message.Dead, message.Left:
			if age > m.settings.ForgetAfter() {
				m.forget(name)
			}
		}
	}
}

// forget drops a member and keeps its address, within a limit.
func (m *Membership) forget(name string) {
	if len(m.away) < awayKept {
		m.away[name] = m.members[name].member.Address
	}
	delete(m.members, name)
	m.edition++
}

// askHelpers asks some others to probe the current target.
func (m *Membership) askHelpers(env *statemachine.Env) {
	m.current.asked = true
	target, found := m.members[m.current.target]
	if !found {
		return
	}
	others := m.Alive("")
	env.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked := 0
	for _, helper := range others {
		if helper.Name == m.current.target || helper.State != message.Alive || asked == helpers {
			continue
		}
		asked++
		env.Datagram(helper.Address, message.IndirectPing{Number: m.current.number, Target: m.current.target,
			Address: target.member.Address, From: m.self, Gossip: m.gossip()})
	}
}

// probeNext probes the next member in a round in random order.
func (m *Membership) probeNext(env *statemachine.Env) {
	m.current = nil
	for range len(m.members) + 1 {
		if len(m.order) == 0 {
			for _, member := range m.Alive("") {
				m.order = append(m.order, member.Name)
			}
			env.Random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
			if len(m.order) == 0 {
				return
			}
		}
		name := m.order[0]
		m.order = m.order[1:]
		if known, found := m.members[name]; found && known.member.State <= message.Suspect {
			m.number++
			m.current = &probe{target: name, number: m.number, sentAt: env.Now}
			env.Datagram(known.member.Address, message.Ping{Number: m.number, Target: name, From: m.self, Gossip: m.gossipFor(name)})
			return
		}
	}
}

// accuse makes a member suspect that did not answer.
func (m *Membership) accuse(env *statemachine.Env, name string) {
	known, found := m.members[name]
	if !found || known.member.State != message.Alive {
		return
	}
	accused := known.member
	accused.State = message.Suspect
	m.merge(env, accused)
}

func (m *Membership) handlePing(env *statemachine.Env, ping message.Ping) {
	m.meet(env, ping.From)
	m.mergeAll(env, ping.Gossip)
	if ping.Target == m.self.Name {
		env.Datagram(ping.From.Address, message.Ack{Number: ping.Number, From: m.self, Gossip: m.gossipFor(ping.From.Name)})
	}
}

// handleAck ends the current probe, or passes the answer on to the node that the probe was made for.
func (m *Membership) handleAck(env *statemachine.Env, ack message.Ack) {
	m.meet(env, ack.From)
	m.mergeAll(env, ack.Gossip)
	if held, found := m.relays[ack.Number]; found {
		delete(m.relays, ack.Number)
		env.Datagram(held.asker, message.Ack{Number: held.number, From: ack.From})
		return
	}
	if m.current != nil && ack.Number == m.current.number && ack.From.Name == m.current.target {
		m.current = nil
	}
}

// handlePingFor probes a member for another one.
func (m *Membership) handlePingFor(env *statemachine.Env, request message.IndirectPing) {
	m.meet(env, request.From)
	m.mergeAll(env, request.Gossip)
	m.number++
	m.relays[m.number] = relayed{request.From.Address, request.Number, env.Now}
	env.Datagram(request.Address, message.Ping{Number: m.number, Target: request.Target, From: m.self})
}
