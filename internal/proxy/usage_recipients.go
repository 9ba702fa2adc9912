package proxy

import (
	"slices"
	"time"

	"beaconvane/internal/message"
)

// smallVoterGroup is the largest number of voters with which all registries receive the usage counts.
const smallVoterGroup = 3

// usageRecipients returns the registries to which usage counts are sent: a majority of the voters, which
// is at least one more than may fail, so that any majority that a new lease holder reads includes a
// recipient. It returns all registries that were recently alive if there are at most smallVoterGroup
// voters, if no more registries than a majority are alive, or if started requests are not counted.
func (m *Machine) usageRecipients(now time.Duration) []message.Member {
	registries := m.membership.RecentlyAlive(message.RoleRegistry, now)
	majority := len(m.settings.Voters)/2 + 1
	if !m.settings.CountsBegun() || len(m.settings.Voters) <= smallVoterGroup || len(registries) <= majority {
		return registries
	}
	return selectRecipients(m.membership.Alive(message.RoleRegistry), majority)
}

// selectRecipients returns up to count registries. Registries that hold a voter come first; among equals
// the selection is balanced across zones.
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

// preferred reports whether a registry is selected before another: a voter before a non-voter, then the
// one whose zone has fewer selected registries.
func preferred(registry, other message.Member, selectedInZone map[string]int) bool {
	if (registry.Voter == "") != (other.Voter == "") {
		return registry.Voter != ""
	}
	return selectedInZone[registry.Zone] < selectedInZone[other.Zone]
}
