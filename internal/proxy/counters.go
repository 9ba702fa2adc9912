package proxy

import (
	"slices"
	"time"

	"beaconvane/internal/message"
)

// This file chooses the registries that are told a proxy's counts.

// counters are the registries that are told the usage: one more than may be lost, so
// that any majority that a new holder reads has one of them; of three all are told.
func (m *Machine) counters(now time.Duration) []message.Member {
	registries := m.membership.RecentlyAlive(message.RoleRegistry, now)
	enough := len(m.settings.Voters)/2 + 1
	if !m.settings.CountsBegun() || len(m.settings.Voters) <= tellAllVoters || len(registries) <= enough {
		return registries
	}
	return chooseCounters(m.membership.Alive(message.RoleRegistry), enough)
}

// tellAllVoters is the size of a group of which all members are told.
const tellAllVoters = 3

// chooseCounters picks so many registries: those that hold a voter before those that
// don't, and among them so that zones have as many as each other.
func chooseCounters(registries []message.Member, count int) []message.Member {
	rest, chosen := slices.Clone(registries), []message.Member{}
	inZone := map[string]int{}
	for len(chosen) < count && len(rest) > 0 {
		best := 0
		for index := range rest {
			if goesBefore(rest[index], rest[best], inZone) {
				best = index
			}
		}
		chosen = append(chosen, rest[best])
		inZone[rest[best].Zone]++
		rest = slices.Delete(rest, best, best+1)
	}
	return chosen
}

func goesBefore(left, right message.Member, inZone map[string]int) bool {
	if (left.Voter == "") != (right.Voter == "") {
		return left.Voter != ""
	}
	return inZone[left.Zone] < inZone[right.Zone]
}
