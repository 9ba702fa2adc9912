package membership

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// maxForgottenAddresses is how many addresses of forgotten members are kept.
const maxForgottenAddresses = 64

// suspect marks a member that has not answered a probe.
func (m *Membership) suspect(env *statemachine.Env, name string) {
	known, found := m.members[name]
	if !found || known.member.State != message.Alive {
		return
	}
	suspected := known.member
	suspected.State = message.Suspect
	m.merge(env, suspected)
}

// excuseOwnPause gives up the probe under way, and gives suspects more time, when this node itself was
// held up: its own pause must not make it suspect others.
func (m *Membership) excuseOwnPause(env *statemachine.Env) {
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

// expireMembers declares suspects dead, and forgets members that are dead or have left, each after
// its time.
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
				m.forget(name)
			}
		}
	}
}

func (m *Membership) declareDead(env *statemachine.Env, member message.Member) {
	member.State = message.Dead
	m.merge(env, member)
	env.Event("member-dead", 0, member.Incarnation, member.Name)
}

// forget drops a member and keeps its address, up to a limit.
func (m *Membership) forget(name string) {
	if len(m.forgottenAddresses) < maxForgottenAddresses {
		m.forgottenAddresses[name] = m.members[name].member.Address
	}
	delete(m.members, name)
	m.version++
}

// refute corrects what others say wrongly of this node, by a higher incarnation or, against an earlier
// life whose clock was ahead, a later start time.
func (m *Membership) refute(env *statemachine.Env, stated message.Member) {
	switch {
	case stated.StartTime > m.self.StartTime && stated.Address == m.self.Address:
		m.self.StartTime = stated.StartTime + 1
		m.version++
	case stated.StartTime > m.self.StartTime:
		// The name lives on at another address: this life is the older one.
		if !m.superseded {
			env.Event("member-superseded", 0, stated.Incarnation, stated.Name+" at "+stated.Address)
		}
		m.superseded = true
	case stated.StartTime == m.self.StartTime && stated.State != message.Alive && stated.Incarnation >= m.self.Incarnation && !m.left:
		m.self.Incarnation = stated.Incarnation + 1
	}
}
