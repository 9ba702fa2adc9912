package proxy

import (
	"slices"
	"time"

	"beaconvane/internal/message"
)

// smallVoterGroup is the largest group of voters of which all members are sent the usage.
const smallVoterGroup = 3

// usageRecipients returns the registries that are sent the usage counts: one more than may be lost,
// so that any majority that a new lease holder reads has one of them; of a small group all.
func (m *Machine) usageRecipients(now time.Duration) []message.Member {
	registries := m.membership.RecentlyAlive(message.RoleRegistry, now)
	majority := len(m.settings.Voters)/2 + 1
	if !m.settings.CountsBegun() || len(m.settings.Voters) <= smallVoterGroup || len(registries) <= majority {
		return registries
	}
	return selectRecipients(m.membership.Alive(message.RoleRegistry), majority)
}

// selectRecipients returns so many of the registries: those that hold a voter before those that don't,
// and among them so that all zones have as many as each other.
func selectRecipients(registries []message.Member, count int) []message.Member {
	remaining, selected := slices.Clone(registries), []message.Member{}
	selectedInZone := map[string]int{}
	for len(selected) < count && len(remaining) > 0 {
		best := 0
		for index := range remaining {
			if preferred(remaining[index], remaining[best], selectedInZone) {
				best = index
			}
		}
		selected = append(selected, remaining[best])
		selectedInZone[remaining[best].Zone]++
		remaining = slices.Delete(remaining, best, best+1)
	}
	return selected
}

// preferred reports whether a registry is to be selected before another.
func preferred(registry, other message.Member, selectedInZone map[string]int) bool {
	if (registry.Voter == "") != (other.Voter == "") {
		return registry.Voter != ""
	}
	return selectedInZone[registry.Zone] < selectedInZone[other.Zone]
}
