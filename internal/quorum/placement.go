package quorum

// This file places voters: which of the machines that found a group become its voters,
// which of them has to be among the founders, and which voters a newcomer may take. An
// identity names its node and its zone, so that a member list says where voters stand.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/statemachine"
)

// zoneMark stands between node and zone in an identity.
const zoneMark = "\x1e"

// zoneOf is the zone that an identity was made in; "" where it names none.
func zoneOf(identity string) string {
	_, zone, _ := strings.Cut(identity, zoneMark)
	return zone
}

// newIdentity makes an identity of an edition for this process.
func (g *Quorum) newIdentity(s *statemachine.Env, edition uint64) string {
	identity := NewIdentity(edition, s.Random.Uint64(), s.Random.Uint64(), g.settings.Node)
	if g.settings.Zone != "" {
		identity += zoneMark + g.settings.Zone
	}
	return identity
}

// voterNames lists the voters of the group: those of its member list once it is known,
// and before that as many as the settings count.
func (g *Quorum) voterNames() []string {
	if !g.Discovered() {
		return g.settings.Voters
	}
	names := slices.Sorted(maps.Keys(g.State.MemberList))
	for _, received := range g.received {
		if !g.State.Formed && len(received.response.MemberList) > len(names) {
			names = slices.Sorted(maps.Keys(received.response.MemberList))
		}
	}
	if len(names) == 0 {
		return g.settings.Voters
	}
	return names
}

// VoterNames lists the voters of the group.
func (g *Quorum) VoterNames() []string { return g.voterNames() }

// Size is how many voters the group has.
func (g *Quorum) Size() int { return len(g.voterNames()) }

// patience is how long founders wait for machines whose zones or regions the voters have
// to be spread over.
func (g *Quorum) patience() time.Duration { return g.settings.TakeOver() }

// anchor is the identity of the founder that every proposal has to name: the first of the
// anchors that may vote. Without it two foundings could share no machine and both come
// true. False: it is not known yet.
func (g *Quorum) anchor(s *statemachine.Env) (identity string, known bool) {
	for _, address := range g.settings.Anchors {
		if address == g.settings.Address {
			return g.State.Identity, true
		}
		if g.nonVoters[address] {
			continue
		}
		for _, received := range g.founders {
			if received.from == address && received.response.Founder && g.fresh(s, received) {
				return received.response.Identity, true
			}
		}
		return "", false
	}
	return "", len(g.settings.Anchors) == 0
}

// chooseFounders picks as many identities as there are to be voters: the anchor, and
// others so that regions and zones have voters in like numbers; among alike the first by
// node. The result is ordered by node.
func (g *Quorum) chooseFounders(identities []string, anchor string, count int) []string {
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
		best := 0
		for index := range rest {
			if g.crowd(chosen, rest[index]).before(g.crowd(chosen, rest[best])) {
				best = index
			}
		}
		take(best)
	}
	sortByNode(chosen)
	return chosen
}

func sortByNode(identities []string) {
	slices.SortFunc(identities, func(a, b string) int { return strings.Compare(nodeOf(a), nodeOf(b)) })
}

// crowding is how many voters stand in a candidate's region and zone already.
type crowding struct{ region, zone int }

func (c crowding) before(other crowding) bool {
	if c.region != other.region {
		return c.region < other.region
	}
	return c.zone < other.zone
}

func (g *Quorum) crowd(chosen []string, candidate string) crowding {
	found := crowding{}
	for _, identity := range chosen {
		if g.settings.Tolerated.Regions > 0 && g.regionOf(identity) == g.regionOf(candidate) {
			found.region++
		}
		if zoneOf(identity) == zoneOf(candidate) {
			found.zone++
		}
	}
	return found
}

func (g *Quorum) regionOf(identity string) string { return g.settings.Regions[zoneOf(identity)] }

// worstLoss is how many of some voters go with the zones, or the regions, that the
// settings say may be lost at once.
func (g *Quorum) worstLoss(identities []string) int {
	tolerated := g.settings.Tolerated
	zones := largest(identities, zoneOf, tolerated.Zones)
	regions := largest(identities, g.regionOf, tolerated.Regions)
	return max(zones, regions)
}

// largest adds up the sizes of the largest groups that a key makes.
func largest(identities []string, key func(identity string) string, groups int64) int {
	counts := map[string]int{}
	for _, identity := range identities {
		counts[key(identity)]++
	}
	sizes := slices.Sorted(maps.Values(counts))
	total := 0
	for index := len(sizes) - 1; index >= 0 && groups > 0; index-- {
		total += sizes[index]
		groups--
	}
	return total
}

// outlives says that a majority of some voters is left after the worst loss.
func (g *Quorum) outlives(identities []string) bool {
	return (len(identities)-g.worstLoss(identities))*2 > len(identities)
}

// keepsSpread says that a voter may move to a zone: the voters outlive the worst loss
// with it there, or no worse than before.
func (g *Quorum) keepsSpread(memberList map[string]string, voter, zone string) bool {
	changed := maps.Clone(memberList)
	changed[voter] = zoneMark + zone
	after := slices.Collect(maps.Values(changed))
	return g.outlives(after) || g.worstLoss(after) <= g.worstLoss(slices.Collect(maps.Values(memberList)))
}
