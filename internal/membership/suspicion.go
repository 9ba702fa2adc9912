package membership

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// maxRemovedAddresses is the maximum number of addresses of removed members that are kept.
const maxRemovedAddresses = 64

// suspect marks an alive member that has not answered a probe as suspected.
func (m *Membership) suspect(env *statemachine.Env, name string) {
	known, found := m.members[name]
	if !found || known.member.State != message.Alive {
		return
	}
	suspected := known.member
	suspected.State = message.Suspect
	m.merge(env, suspected)
}

// compensateOwnPause cancels the current probe and extends all suspicion timeouts if this node's own
// ticks were delayed, so that its own pause does not lead to false suspicions.
func (m *Membership) compensateOwnPause(env *statemachine.Env) {
	pause := env.Now - m.lastTickAt
	m.lastTickAt = env.Now
	if pause <= m.settings.ProbeEvery() {
		return
	}
	m.probe = nil
	for _, known := range m.members {
		if known.member.State == message.Suspect {
			known.changedAt += pause
		}
	}
}

// expireMembers declares suspects dead after SuspicionTimeout, and removes members that are dead or have left
// after ForgetAfter.
func (m *Membership) expireMembers(env *statemachine.Env) {
	for _, name := range m.names() {
		known := m.members[name]
		age := env.Now - known.changedAt
		switch known.member.State {
		case message.Suspect:
			if age > m.settings.SuspicionTimeout() {
				m.declareDead(env, known.member)
			}
		case message.Dead, message.Left:
			if age > m.settings.ForgetAfter() {
				m.remove(name)
			}
		}
	}
}

// declareDead marks a suspect whose suspicion has timed out as dead.
func (m *Membership) declareDead(env *statemachine.Env, member message.Member) {
	member.State = message.Dead
	m.merge(env, member)
	env.Event("member-dead", 0, member.Incarnation, member.Name)
}

// remove deletes a member and keeps its address, up to maxRemovedAddresses.
func (m *Membership) remove(name string) {
	if len(m.removedAddresses) < maxRemovedAddresses {
		m.removedAddresses[name] = m.members[name].member.Address
	}
	delete(m.members, name)
	m.version++
}

// refute corrects a wrong update of this node. It raises the incarnation or, if an earlier process of
// this node had a clock that was ahead, the start time.
func (m *Membership) refute(env *statemachine.Env, update message.Member) {
	switch {
	case update.StartTime > m.self.StartTime && update.Address == m.self.Address:
		m.self.StartTime = update.StartTime + 1
		m.version++
	case update.StartTime > m.self.StartTime:
		// A later process uses this name at another address, so this one is superseded.
		if !m.superseded {
			env.Event("member-superseded", 0, update.Incarnation, update.Name+" at "+update.Address)
		}
		m.superseded = true
	case update.StartTime == m.self.StartTime && update.State != message.Alive && update.Incarnation >= m.self.Incarnation && !m.left:
		m.self.Incarnation = update.Incarnation + 1
	}
}
