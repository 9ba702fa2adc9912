package quorum

import (
	"maps"
	"slices"
	"strings"

	"beaconvane/internal/settings"
)

// placement chooses where voters stand, so that a majority is left after the loss of the zones and regions that
// the settings tolerate. An identity names its node and its zone.
type placement struct {
	tolerated settings.Tolerated
	regions   map[string]string // by zone
}

func (d *discoveredVoters) placement() placement {
	return placement{tolerated: d.settings.Tolerated, regions: d.settings.Regions}
}

// choose picks the identities of a new group's voters: the anchor, and others so that regions and zones have
// voters in like numbers, by node where several are as good. The result is ordered by node.
func (p placement) choose(identities []string, anchor string, count int) []string {
	rest := slices.Clone(identities)
	sortByNode(rest)
	chosen := []string{}
	take := func(index int) {
		chosen = append(chosen, rest[index])
		rest = slices.Delete(rest, index, index+1)
	}
	if index := slices.Index(rest, anchor); index >= 0 {
		take(index)
	}
	for len(chosen) < count && len(rest) > 0 {
		take(p.leastCrowded(rest, chosen))
	}
	sortByNode(chosen)
	return chosen
}

func sortByNode(identities []string) {
	slices.SortFunc(identities, func(one, other string) int {
		return strings.Compare(parseIdentity(one).node, parseIdentity(other).node)
	})
}

// leastCrowded is the index of the first candidate whose region and zone have the fewest chosen voters.
func (p placement) leastCrowded(candidates, chosen []string) int {
	best := 0
	for index := range candidates {
		if p.crowding(chosen, candidates[index]).before(p.crowding(chosen, candidates[best])) {
			best = index
		}
	}
	return best
}

// crowding is how many chosen voters stand in a candidate's region and zone already.
type crowding struct{ region, zone int }

func (c crowding) before(other crowding) bool {
	if c.region != other.region {
		return c.region < other.region
	}
	return c.zone < other.zone
}

func (p placement) crowding(chosen []string, candidate string) crowding {
	counted := crowding{}
	for _, identity := range chosen {
		if p.tolerated.Regions > 0 && p.regionOf(identity) == p.regionOf(candidate) {
			counted.region++
		}
		if zoneOf(identity) == zoneOf(candidate) {
			counted.zone++
		}
	}
	return counted
}

func zoneOf(text string) string { return parseIdentity(text).zone }

func (p placement) regionOf(identity string) string { return p.regions[zoneOf(identity)] }

// worstLoss is how many of some voters are lost with the zones, or the regions, that the settings tolerate to
// be lost at once.
func (p placement) worstLoss(identities []string) int {
	inZones := largestGroups(identities, zoneOf, p.tolerated.Zones)
	inRegions := largestGroups(identities, p.regionOf, p.tolerated.Regions)
	return max(inZones, inRegions)
}

// largestGroups adds up the sizes of as many of the largest groups by a key.
func largestGroups(identities []string, key func(identity string) string, groups int64) int {
	counts := map[string]int{}
	for _, identity := range identities {
		counts[key(identity)]++
	}
	sizes := slices.Sorted(maps.Values(counts))
	slices.Reverse(sizes)
	total := 0
	for _, size := range sizes[:min(int64(len(sizes)), max(groups, 0))] {
		total += size
	}
	return total
}

// survivesWorstLoss says that a majority of some voters is left after the worst loss.
func (p placement) survivesWorstLoss(identities []string) bool {
	return (len(identities)-p.worstLoss(identities))*2 > len(identities)
}

// keepsSpread says that a voter may move to a zone: a majority is left after the worst loss with it there, or no
// fewer than before.
func (p placement) keepsSpread(list memberList, voter, zone string) bool {
	before := list.identities()
	after := list.with(voter, identity{zone: zone}.String()).identities()
	return p.survivesWorstLoss(after) || p.worstLoss(after) <= p.worstLoss(before)
}
