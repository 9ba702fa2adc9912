package membership

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// stateEvents names the events of a member's change, by its new state.
var stateEvents = [4]string{
	message.Alive:   "member-alive",
	message.Suspect: "member-suspect",
	message.Dead:    "member-dead",
	message.Left:    "member-left",
}

// mergeSender takes what a node says of itself. Any other node that was known at that address has lost
// it.
func (m *Membership) mergeSender(env *statemachine.Env, sender message.Member) {
	if sender.Name == m.self.Name {
		return
	}
	for _, name := range m.names() {
		known := m.members[name].member
		if known.Address == sender.Address && name != sender.Name && counted(known) {
			known.State = message.Dead
			m.merge(env, known)
			env.Event("member-address-taken", 0, known.Incarnation, name+" by "+sender.Name)
		}
	}
	m.resendSuspicion(sender)
	m.merge(env, sender)
}

// resendSuspicion piggybacks again what is known of a sender that holds itself for alive while others
// don't, so that it learns of it and refutes.
func (m *Membership) resendSuspicion(sender message.Member) {
	known, found := m.members[sender.Name]
	if !found || known.member.State == message.Alive || sender.State != message.Alive {
		return
	}
	if known.member.StartTime == sender.StartTime && known.member.Incarnation >= sender.Incarnation {
		known.sends = 0
	}
}

// mergeAll takes what is stated of several nodes.
func (m *Membership) mergeAll(env *statemachine.Env, members []message.Member) {
	for _, member := range members {
		m.merge(env, member)
	}
}

// merge takes what is stated of a node, where it overrides what is known.
func (m *Membership) merge(env *statemachine.Env, stated message.Member) {
	if stated.Name == m.self.Name {
		m.refute(env, stated)
		return
	}
	known, found := m.members[stated.Name]
	if !found {
		m.add(env, stated)
		return
	}
	if !overrides(stated, known.member) {
		return
	}
	if stated.State != known.member.State || stated.Address != known.member.Address || stated.StartTime != known.member.StartTime {
		m.version++
		env.Event(stateEvents[stated.State&3], 0, stated.Incarnation, stated.Name)
	}
	known.member, known.changedAt, known.sends = stated, env.Now, 0
}

// add takes a node that was not known, unless it is dead or has left.
func (m *Membership) add(env *statemachine.Env, stated message.Member) {
	if !counted(stated) {
		return
	}
	m.members[stated.Name] = &entry{member: stated, changedAt: env.Now}
	delete(m.forgottenAddresses, stated.Name)
	m.version++
	env.Event("member-joined", 0, stated.Incarnation, stated.Name+" "+stated.Address)
}

// overrides reports whether a statement overrides what is known of a node: by its start time, then by its
// incarnation, then by its state.
func overrides(stated, known message.Member) bool {
	if stated.StartTime != known.StartTime {
		return stated.StartTime > known.StartTime
	}
	if stated.Incarnation != known.Incarnation {
		return stated.Incarnation > known.Incarnation
	}
	return stated.State > known.State
}
