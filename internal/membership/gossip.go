package membership

import (
	"math/bits"
	"sort"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// gossipFor returns gossip with what is known of the receiver first, so that it can refute at once.
func (m *Membership) gossipFor(name string) []message.Member {
	list := m.gossip()
	if known, found := m.members[name]; found && known.member.State != message.Alive {
		list = append([]message.Member{known.member}, list...)
	}
	return list
}

// gossip returns the members that changed lately and were sent least often.
func (m *Membership) gossip() []message.Member {
	limit := 3 * bits.Len(uint(len(m.members)+1))
	fresh := []*entry{}
	for _, name := range m.names() {
		if known := m.members[name]; known.sends < limit {
			fresh = append(fresh, known)
		}
	}
	sort.SliceStable(fresh, func(i, j int) bool { return fresh[i].sends < fresh[j].sends })
	list := []message.Member{}
	for _, known := range fresh {
		if len(list) == gossipPerDatagram {
			break
		}
		known.sends++
		list = append(list, known.member)
	}
	return list
}

// mergeAll takes what is said of several nodes.
func (m *Membership) mergeAll(env *statemachine.Env, members []message.Member) {
	for _, member := range members {
		m.merge(env, member)
	}
}

// meet takes what a node says of itself. Any other node that was known at that address has lost it.
func (m *Membership) meet(env *statemachine.Env, member message.Member) {
	if member.Name == m.self.Name {
		return
	}
	for _, name := range m.names() {
		known := m.members[name].member
		if known.Address == member.Address && name != member.Name && known.State <= message.Suspect {
			known.State = message.Dead
			m.merge(env, known)
			env.Event("member-address-taken", 0, known.Incarnation, name+" by "+member.Name)
		}
	}
	if known, found := m.members[member.Name]; found && known.member.State != message.Alive &&
		member.State == message.Alive && known.member.StartTime == member.StartTime && known.member.Incarnation >= member.Incarnation {
		// It speaks, yet is held for lost: tell it, so that it refutes.
		known.sends = 0
	}
	m.merge(env, member)
}

// merge takes what is stated of a node, where it is newer than what is known.
func (m *Membership) merge(env *statemachine.Env, stated message.Member) {
	if stated.Name == m.self.Name {
		m.mergeSelf(env, stated)
		return
	}
	known, found := m.members[stated.Name]
	if !found {
		m.add(env, stated)
		return
	}
	if !newer(stated, known.member) {
		return
	}
	if stated.State != known.member.State || stated.Address != known.member.Address || stated.StartTime != known.member.StartTime {
		m.edition++
		env.Event(stateEvents[stated.State&3], 0, stated.Incarnation, stated.Name)
	}
	known.member, known.changedAt, known.sends = stated, env.Now, 0
}

// stateEvents names the events of a member's change, by its new state.
var stateEvents = [4]string{
	message.Alive:   "member-alive",
	message.Suspect: "member-suspect",
	message.Dead:    "member-dead",
	message.Left:    "member-left",
}

// add takes a node that was not known, unless it is gone already.
func (m *Membership) add(env *statemachine.Env, stated message.Member) {
	if stated.State >= message.Dead {
		return
	}
	m.members[stated.Name] = &entry{member: stated, changedAt: env.Now}
	delete(m.away, stated.Name)
	m.edition++
	env.Event("member-met", 0, stated.Incarnation, stated.Name+" "+stated.Address)
}

// mergeSelf refutes what others say wrongly of this node.
func (m *Membership) mergeSelf(env *statemachine.Env, stated message.Member) {
	switch {
	case stated.StartTime > m.self.StartTime && stated.Address == m.self.Address:
		// An earlier life here had a clock ahead of this one's: outbid it.
		m.self.StartTime = stated.StartTime + 1
		m.edition++
	case stated.StartTime > m.self.StartTime:
		// The name lives on at another address; this life is the older one.
		if !m.superseded {
			env.Event("member-superseded", 0, stated.Incarnation, stated.Name+" at "+stated.Address)
		}
		m.superseded = true
	case stated.StartTime == m.self.StartTime && stated.State != message.Alive && stated.Incarnation >= m.self.Incarnation && !m.left:
		m.self.Incarnation = stated.Incarnation + 1
	}
}

// newer reports whether a statement overrides what is known: by life, then incarnation, then state.
func newer(stated, known message.Member) bool {
	if stated.StartTime != known.StartTime {
		return stated.StartTime > known.StartTime
	}
	if stated.Incarnation != known.Incarnation {
		return stated.Incarnation > known.Incarnation
	}
	return stated.State > known.State
}
