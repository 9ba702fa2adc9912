package membership

import (
	"math/bits"
	"sort"

	"beaconvane/internal/message"
)

const (
	// maxPiggyback is how many members one ping or ack carries.
	maxPiggyback = 6
	// sendsPerLog is how often a change is piggybacked, for each doubling of the fleet's size.
	sendsPerLog = 3
)

// piggyback returns members that changed lately, those first that were sent least often.
func (m *Membership) piggyback() []message.Member {
	limit := sendsPerLog * bits.Len(uint(len(m.members)+1))
	fresh := []*entry{}
	for _, name := range m.names() {
		if known := m.members[name]; known.sends < limit {
			fresh = append(fresh, known)
		}
	}
	sort.SliceStable(fresh, func(i, j int) bool { return fresh[i].sends < fresh[j].sends })
	list := []message.Member{}
	for _, known := range fresh[:min(len(fresh), maxPiggyback)] {
		known.sends++
		list = append(list, known.member)
	}
	return list
}

// piggybackFor returns the members to send to a node. A suspicion of the receiver itself comes first, so
// that it can refute at once.
func (m *Membership) piggybackFor(name string) []message.Member {
	list := m.piggyback()
	if known, found := m.members[name]; found && known.member.State != message.Alive {
		list = append([]message.Member{known.member}, list...)
	}
	return list
}
