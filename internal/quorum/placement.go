package quorum

import (
	"maps"
	"slices"
	"strings"

	"beaconvane/internal/settings"
)

// placement distributes voters over zones and regions, so that a majority is left after the loss of as many zones or
// regions as the settings tolerate. Nodes and zones are taken from the identities.
type placement struct {
	tolerated settings.Tolerated
	regions   map[string]string // region of each zone
}

// placement returns the placement rules of the settings.
func (d *discoveredVoters) placement() placement {
	return placement{tolerated: d.settings.Tolerated, regions: d.settings.Regions}
}

// choose selects the identities of a new group's voters: the anchor, and others such that the voters are distributed
// evenly over regions and zones. Ties are broken by the order of node names. The result is sorted by node.
func (p placement) choose(identities []string, anchor string, count int) []string {
	remaining := slices.Clone(identities)
	sortByNode(remaining)
	chosen := []string{}
	selectAt := func(index int) {
		chosen = append(chosen, remaining[index])
		remaining = slices.Delete(remaining, index, index+1)
	}
	if index := slices.Index(remaining, anchor); index >= 0 {
		selectAt(index)
	}
	for len(chosen) < count && len(remaining) > 0 {
		selectAt(p.leastOccupied(remaining, chosen))
	}
	sortByNode(chosen)
	return chosen
}

// sortByNode sorts identities by the names of their nodes.
func sortByNode(identities []string) {
	slices.SortFunc(identities, func(left, right string) int {
		return strings.Compare(parseIdentity(left).node, parseIdentity(right).node)
	})
}

// leastOccupied returns the index of the first candidate whose region, and then zone, has the fewest chosen voters.
func (p placement) leastOccupied(candidates, chosen []string) int {
	best := 0
	for index := range candidates {
		if p.occupancyAround(chosen, candidates[index]).lessThan(p.occupancyAround(chosen, candidates[best])) {
			best = index
		}
	}
	return best
}

// occupancy is the number of voters that are already chosen in a candidate's region and in its zone.
type occupancy struct{ region, zone int }

// lessThan compares by region first and by zone second.
func (o occupancy) lessThan(other occupancy) bool {
	if o.region != other.region {
		return o.region < other.region
	}
	return o.zone < other.zone
}

// occupancyAround counts the chosen voters in the candidate's zone and, if the settings tolerate the loss of regions,
// in its region.
func (p placement) occupancyAround(chosen []string, candidate string) occupancy {
	counts := occupancy{}
	for _, identity := range chosen {
		if p.tolerated.Regions > 0 && p.regionOf(identity) == p.regionOf(candidate) {
			counts.region++
		}
		if zoneOf(identity) == zoneOf(candidate) {
			counts.zone++
		}
	}
	return counts
}

// zoneOf returns the zone within the text of an identity.
func zoneOf(text string) string { return parseIdentity(text).zone }

// regionOf returns the region of an identity's zone.
func (p placement) regionOf(identity string) string { return p.regions[zoneOf(identity)] }

// worstCaseLoss returns the largest number of the given voters that can be lost together with as many zones, or as
// many regions, as the settings tolerate.
func (p placement) worstCaseLoss(identities []string) int {
	inZones := sumOfLargestGroups(identities, zoneOf, p.tolerated.Zones)
	inRegions := sumOfLargestGroups(identities, p.regionOf, p.tolerated.Regions)
	return max(inZones, inRegions)
}

// sumOfLargestGroups groups identities by a key and returns the total size of the largest groups. The parameter groups
// is the number of groups that are added up.
func sumOfLargestGroups(identities []string, key func(identity string) string, groups int64) int {
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

// survivesWorstCaseLoss reports whether a majority of the given voters is left after the worst-case loss.
func (p placement) survivesWorstCaseLoss(identities []string) bool {
	return (len(identities)-p.worstCaseLoss(identities))*2 > len(identities)
}

// keepsSpread reports whether a voter may move to a zone: after the move a majority survives the worst-case loss, or
// the worst-case loss is no greater than before.
func (p placement) keepsSpread(list memberList, voter, zone string) bool {
	before := list.identities()
	after := list.withHolder(voter, identity{zone: zone}.String()).identities()
	return p.survivesWorstCaseLoss(after) || p.worstCaseLoss(after) <= p.worstCaseLoss(before)
}
