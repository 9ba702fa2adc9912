package membership

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// stateEvents contains the event name of a member's transition to each state.
var stateEvents = [4]string{
	message.Alive:   "member-alive",
	message.Suspect: "member-suspect",
	message.Dead:    "member-dead",
	message.Left:    "member-left",
}

// mergeSender merges the sender's own entry of a message. Any other alive or suspected member with the
// same address is declared dead, since its address has been reassigned.
func (m *Membership) mergeSender(env *statemachine.Env, sender message.Member) {
	if sender.Name == m.self.Name {
		return
	}
	for _, name := range m.names() {
		known := m.members[name].member
		if known.Address == sender.Address && name != sender.Name && isAliveOrSuspect(known) {
			known.State = message.Dead
			m.merge(env, known)
			env.Event("member-address-taken", 0, known.Incarnation, name+" by "+sender.Name)
		}
	}
	m.resendSuspicion(sender)
	m.merge(env, sender)
}

// resendSuspicion piggybacks this node's entry of a sender again if the sender considers itself alive
// and this node does not, so that the sender learns of it and refutes.
func (m *Membership) resendSuspicion(sender message.Member) {
	known, found := m.members[sender.Name]
	if !found || known.member.State == message.Alive || sender.State != message.Alive {
		return
	}
	if known.member.StartTime == sender.StartTime && known.member.Incarnation >= sender.Incarnation {
		known.sends = 0
	}
}

// mergeAll merges updates of several nodes.
func (m *Membership) mergeAll(env *statemachine.Env, members []message.Member) {
	for _, member := range members {
		m.merge(env, member)
	}
}

// merge applies an update of a node if it overrides the current entry. An update of this node itself is
// refuted if it is wrong.
func (m *Membership) merge(env *statemachine.Env, update message.Member) {
	if update.Name == m.self.Name {
		m.refute(env, update)
		return
	}
	known, found := m.members[update.Name]
	if !found {
		m.add(env, update)
		return
	}
	if !overrides(update, known.member) {
		return
	}
	if update.State != known.member.State || update.Address != known.member.Address || update.StartTime != known.member.StartTime {
		m.version++
		env.Event(stateEvents[update.State&3], 0, update.Incarnation, update.Name)
	}
	known.member, known.changedAt, known.sends = update, env.Now, 0
}

// add inserts a node that is not in the list, unless the update says that it is dead or has left.
func (m *Membership) add(env *statemachine.Env, update message.Member) {
	if !isAliveOrSuspect(update) {
		return
	}
	m.members[update.Name] = &entry{member: update, changedAt: env.Now}
	delete(m.removedAddresses, update.Name)
	m.version++
	env.Event("member-joined", 0, update.Incarnation, update.Name+" "+update.Address)
}

// overrides reports whether an update takes precedence over the current entry of the same node: by the
// higher start time, then by the higher incarnation, then by the higher state.
func overrides(update, known message.Member) bool {
	if update.StartTime != known.StartTime {
		return update.StartTime > known.StartTime
	}
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return update.State > known.State
}
