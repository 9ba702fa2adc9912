package membership

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// indirectProbers is the number of members that receive a ping-req for a target that has not
	// answered.
	indirectProbers = 3
	// pingRequestIntervals is the number of probe intervals after which an unanswered ping-req of
	// another node is dropped.
	pingRequestIntervals = 4
)

// probe is a probe of one member in progress.
type probe struct {
	target   string
	sequence int64
	sentAt   time.Duration
	indirect bool // ping-reqs for the target were sent
}

// pingRequest is a ping-req of another node that this node is serving.
type pingRequest struct {
	requester  string // address of the other node
	sequence   int64  // number of the requester's own ping
	receivedAt time.Duration
}

// tickProbe sends ping-reqs for a probe that is unanswered after the probe limit, and starts the next
// probe when it is due. A target that has not answered by then is suspected.
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

// probeNext pings the next member of the round. After the last one it starts a new round in a new
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
		if known, found := m.members[name]; found && isAliveOrSuspect(known.member) {
			m.ping(env, known.member)
			return
		}
	}
}

// shuffleProbeOrder starts a round with all alive and suspected members in random order.
func (m *Membership) shuffleProbeOrder(env *statemachine.Env) {
	for _, member := range m.Alive("") {
		m.probeOrder = append(m.probeOrder, member.Name)
	}
	env.Random.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
}

// ping starts a probe of a member.
func (m *Membership) ping(env *statemachine.Env, target message.Member) {
	m.probe = &probe{target: target.Name, sequence: m.pings.Next(env), sentAt: env.Now}
	env.Datagram(target.Address, message.Ping{
		Sequence: m.probe.sequence,
		Target:   target.Name,
		From:     m.self,
		Gossip:   m.piggybackFor(target.Name),
	})
}

// probeIndirectly sends a ping-req to a few random members that are alive.
func (m *Membership) probeIndirectly(env *statemachine.Env) {
	m.probe.indirect = true
	target, found := m.members[m.probe.target]
	if !found {
		return
	}
	others := m.Alive("")
	env.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sent := 0
	for _, prober := range others {
		if sent == indirectProbers {
			return
		}
		if prober.Name == m.probe.target || prober.State != message.Alive {
			continue
		}
		sent++
		env.Datagram(prober.Address, message.IndirectPing{
			Sequence: m.probe.sequence,
			Target:   m.probe.target,
			Address:  target.member.Address,
			From:     m.self,
			Gossip:   m.piggyback(),
		})
	}
}

// handlePing answers a ping with an ack, unless the ping was addressed to a previous owner of this
// node's address.
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

// handleAck completes the current probe, or forwards the ack to the node whose ping-req this node is
// serving.
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

// handlePingRequest pings a member on behalf of another node.
func (m *Membership) handlePingRequest(env *statemachine.Env, request message.IndirectPing) {
	m.mergeSender(env, request.From)
	m.mergeAll(env, request.Gossip)
	sequence := m.pings.Next(env)
	m.pingRequests[sequence] = pingRequest{
		requester:  request.From.Address,
		sequence:   request.Sequence,
		receivedAt: env.Now,
	}
	env.Datagram(request.Address, message.Ping{Sequence: sequence, Target: request.Target, From: m.self})
}

// expirePingRequests drops ping-reqs of other nodes whose target has not answered in time.
func (m *Membership) expirePingRequests(now time.Duration) {
	limit := m.settings.ProbeEvery() * pingRequestIntervals
	for sequence, request := range m.pingRequests {
		if now-request.receivedAt > limit {
			delete(m.pingRequests, sequence)
		}
	}
}
