package membership

import (
	"math/bits"
	"sort"

	"beaconvane/internal/message"
)

const (
	// maxPiggyback is the maximum number of members in one ping or ack, apart from a suspicion of the
	// receiver.
	maxPiggyback = 6
	// sendsPerDoubling is the number of times a change is piggybacked per doubling of the fleet's size.
	sendsPerDoubling = 3
)

// piggyback returns recently changed members, those sent the fewest times first, and counts the
// transmission.
func (m *Membership) piggyback() []message.Member {
	limit := sendsPerDoubling * bits.Len(uint(len(m.members)+1))
	recent := []*entry{}
	for _, name := range m.names() {
		if known := m.members[name]; known.sends < limit {
			recent = append(recent, known)
		}
	}
	sort.SliceStable(recent, func(i, j int) bool { return recent[i].sends < recent[j].sends })
	list := []message.Member{}
	for _, known := range recent[:min(len(recent), maxPiggyback)] {
		known.sends++
		list = append(list, known.member)
	}
	return list
}

// piggybackFor returns the members to send to a node. If the receiver is not considered alive, its own
// entry is first, so that it can refute immediately.
func (m *Membership) piggybackFor(name string) []message.Member {
	list := m.piggyback()
	if known, found := m.members[name]; found && known.member.State != message.Alive {
		list = append([]message.Member{known.member}, list...)
	}
	return list
}
