package membership

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// indirectProbers is how many members are asked to probe a silent one.
	indirectProbers = 3
	// pingRequestIntervals is for how many probe intervals the ack to a ping-req is waited for.
	pingRequestIntervals = 4
)

// probe is a probe of one member that is under way.
type probe struct {
	target   string
	sequence int64
	sentAt   time.Duration
	indirect bool // other members were asked to probe the target
}

// pingRequest is another node's request to probe a member on its behalf.
type pingRequest struct {
	requester  string // its address
	sequence   int64  // of the requester's own ping
	receivedAt time.Duration
}

// tickProbe asks others for help with a probe that stays unanswered, and begins the next one when it
// is time. A member that hasn't answered by then is suspected.
func (m *Membership) tickProbe(env *statemachine.Env) {
	if m.probe != nil && !m.probe.indirect && env.Now-m.probe.sentAt > m.settings.ProbeTimeout() {
		m.probeIndirectly(env)
	}
	if env.Now < m.nextProbeAt {
		return
	}
	m.nextProbeAt = env.Now + m.settings.ProbeEvery()
	if m.probe != nil {
		m.suspect(env, m.probe.target)
	}
	m.probeNext(env)
}

// probeNext pings the next member of the round. When a round is over the next one begins, in a new
// random order.
func (m *Membership) probeNext(env *statemachine.Env) {
	m.probe = nil
	for range len(m.members) + 1 {
		if len(m.probeOrder) == 0 {
			m.shuffleProbeOrder(env)
		}
		if len(m.probeOrder) == 0 {
			return
		}
		name := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		if known, found := m.members[name]; found && counted(known.member) {
			m.ping(env, known.member)
			return
		}
	}
}

// shuffleProbeOrder begins a round: every member that is alive, in random order.
func (m *Membership) shuffleProbeOrder(env *statemachine.Env) {
	for _, member := range m.Alive("") {
		m.probeOrder = append(m.probeOrder, member.Name)
	}
	env.Random.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
}

// ping begins a probe.
func (m *Membership) ping(env *statemachine.Env, target message.Member) {
	m.lastSequence++
	m.probe = &probe{target: target.Name, sequence: m.lastSequence, sentAt: env.Now}
	env.Datagram(target.Address, message.Ping{
		Sequence: m.lastSequence,
		Target:   target.Name,
		From:     m.self,
		Gossip:   m.piggybackFor(target.Name),
	})
}

// probeIndirectly sends a ping-req to a few random members.
func (m *Membership) probeIndirectly(env *statemachine.Env) {
	m.probe.indirect = true
	target, found := m.members[m.probe.target]
	if !found {
		return
	}
	others := m.Alive("")
	env.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked := 0
	for _, prober := range others {
		if asked == indirectProbers {
			return
		}
		if prober.Name == m.probe.target || prober.State != message.Alive {
			continue
		}
		asked++
		env.Datagram(prober.Address, message.IndirectPing{
			Sequence: m.probe.sequence,
			Target:   m.probe.target,
			Address:  target.member.Address,
			From:     m.self,
			Gossip:   m.piggyback(),
		})
	}
}

// handlePing acks a ping, unless it was meant for a node that had this address before.
func (m *Membership) handlePing(env *statemachine.Env, ping message.Ping) {
	m.mergeSender(env, ping.From)
	m.mergeAll(env, ping.Gossip)
	if ping.Target != m.self.Name {
		return
	}
	env.Datagram(ping.From.Address, message.Ack{
		Sequence: ping.Sequence,
		From:     m.self,
		Gossip:   m.piggybackFor(ping.From.Name),
	})
}

// handleAck ends the probe under way, or passes the ack on to the node that asked for the ping.
func (m *Membership) handleAck(env *statemachine.Env, ack message.Ack) {
	m.mergeSender(env, ack.From)
	m.mergeAll(env, ack.Gossip)
	if request, found := m.pingRequests[ack.Sequence]; found {
		delete(m.pingRequests, ack.Sequence)
		env.Datagram(request.requester, message.Ack{Sequence: request.sequence, From: ack.From})
		return
	}
	if m.probe != nil && ack.Sequence == m.probe.sequence && ack.From.Name == m.probe.target {
		m.probe = nil
	}
}

// handlePingRequest pings a member on another node's behalf.
func (m *Membership) handlePingRequest(env *statemachine.Env, request message.IndirectPing) {
	m.mergeSender(env, request.From)
	m.mergeAll(env, request.Gossip)
	m.lastSequence++
	m.pingRequests[m.lastSequence] = pingRequest{
		requester:  request.From.Address,
		sequence:   request.Sequence,
		receivedAt: env.Now,
	}
	env.Datagram(request.Address, message.Ping{Sequence: m.lastSequence, Target: request.Target, From: m.self})
}

// expirePingRequests forgets the requests of others whose target has not answered.
func (m *Membership) expirePingRequests(now time.Duration) {
	limit := m.settings.ProbeEvery() * pingRequestIntervals
	for sequence, request := range m.pingRequests {
		if now-request.receivedAt > limit {
			delete(m.pingRequests, sequence)
		}
	}
}
