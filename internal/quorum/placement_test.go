// Where voters are placed: one group whoever is heard at the start, voters spread over
// zones and regions, and processes that never vote.

package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// formedGroups counts the distinct groups that voters stand in.
func (f *fleet) formedGroups() int {
	groups := map[string]bool{}
	for _, address := range f.order {
		if p := f.processes[address]; p.up && p.quorum.Voting() {
			groups[memberList(p.quorum.State.MemberList).digest()] = true
		}
	}
	return len(groups)
}

// Machines that hear nothing of each other for the first seconds found one group at the
// most: the first anchor is in every founding.
func TestFoundingIsOnceAcrossPartsThatHearNothingOfEachOther(t *testing.T) {
	c := qt.New(t)
	for _, made := range []struct {
		machines int
		voters   int64
		anchors  []string
	}{
		{2, 1, []string{"a1", "a2"}},
		{3, 1, []string{"a1", "a2", "a3"}},
		{7, 3, []string{"a1", "a2", "a3"}},
		{9, 3, []string{"a5", "a6", "a7"}},
	} {
		group := newFleet(c, made.voters)
		group.partition = map[string]int{}
		for number := range made.machines {
			address := fmt.Sprintf("a%d", number+1)
			group.partition[address] = number * 2 / made.machines
			group.joinConfigured(fmt.Sprintf("n%d", number+1), address, true, func(cfg *settings.Settings) { cfg.Anchors = made.anchors })
		}
		group.run(4 * time.Second)
		c.Check(group.formedGroups() <= 1, qt.IsTrue, qt.Commentf("%d machines, %d voters: %v", made.machines, made.voters, group.events))
		clear(group.partition)
		group.run(4 * time.Second)
		c.Check(group.formedGroups(), qt.Equals, 1, qt.Commentf("%d machines, %d voters: %v", made.machines, made.voters, group.events))
		c.Check(group.voters(), qt.HasLen, int(made.voters))
	}
}

// zoned makes a fleet whose machine number k stands in zones[k].
func zoned(c *qt.C, voters int64, zones []string, tolerated settings.Tolerated, regions map[string]string) (*fleet, []*process) {
	group := newFleet(c, voters)
	processes := []*process{}
	for number, zone := range zones {
		nodeName, address := fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1)
		processes = append(processes, group.joinConfigured(nodeName, address, true, inZone(zone, tolerated, regions)))
	}
	group.run(6 * time.Second)
	return group, processes
}

func inZone(zone string, tolerated settings.Tolerated, regions map[string]string) func(cfg *settings.Settings) {
	return func(cfg *settings.Settings) {
		cfg.Zone, cfg.Tolerated, cfg.Regions = zone, tolerated, regions
		cfg.Zones, cfg.Anchors = []string{"x", "y", "z", "w"}, []string{"a1", "a2", "a3"}
	}
}

// perZone counts the voters that stand in each zone.
func (f *fleet) perZone() map[string]int {
	counts := map[string]int{}
	for _, address := range f.order {
		if p := f.processes[address]; p.up && p.quorum.Voting() {
			counts[p.quorum.settings.Zone]++
		}
	}
	return counts
}

func TestVotersAreSpreadOverZonesAndRegions(t *testing.T) {
	c := qt.New(t)
	regions := map[string]string{"x": "east", "y": "east", "z": "west", "w": "south"}
	for _, made := range []struct {
		name      string
		voters    int64
		zones     []string
		tolerated settings.Tolerated
		wanted    map[string]int
	}{
		{
			name: "two machines a zone", voters: 3,
			zones:     []string{"x", "x", "y", "y", "z", "z"},
			tolerated: settings.Tolerated{Zones: 1},
			wanted:    map[string]int{"x": 1, "y": 1, "z": 1},
		},
		{
			name: "first names in one zone", voters: 5,
			zones:     []string{"x", "x", "x", "y", "y", "z", "z"},
			tolerated: settings.Tolerated{Machines: 2, Zones: 1},
			wanted:    map[string]int{"x": 2, "y": 2, "z": 1},
		},
		{
			name: "four zones", voters: 3,
			zones:     []string{"x", "x", "y", "z", "w"},
			tolerated: settings.Tolerated{Zones: 1},
			wanted:    map[string]int{"x": 1, "y": 1, "z": 1},
		},
		{
			name: "a region", voters: 3,
			zones:     []string{"x", "y", "z", "w"},
			tolerated: settings.Tolerated{Regions: 1},
			wanted:    map[string]int{"x": 1, "z": 1, "w": 1},
		},
		{
			name: "machines only", voters: 3,
			zones:     []string{"x", "x", "y", "z"},
			tolerated: settings.Tolerated{Machines: 1},
			wanted:    map[string]int{"x": 1, "y": 1, "z": 1},
		},
		{
			name: "a zone of all machines", voters: 3,
			zones:     []string{"x", "x", "x"},
			tolerated: settings.Tolerated{Zones: 1},
			wanted:    map[string]int{"x": 3},
		},
	} {
		group, _ := zoned(c, made.voters, made.zones, made.tolerated, regions)
		c.Check(group.perZone(), qt.DeepEquals, made.wanted, qt.Commentf(made.name))
	}
}

// A spare in another zone leaves a dead voter alone where its own zone's loss would then
// take the majority, and takes it where it would not.
func TestSpareKeepsTheSpreadOverZones(t *testing.T) {
	c := qt.New(t)
	for _, tried := range []struct {
		tolerated settings.Tolerated
		voters    int
	}{{settings.Tolerated{Zones: 1}, 2}, {settings.Tolerated{Machines: 1}, 3}} {
		group, processes := zoned(c, 3, []string{"x", "y", "z"}, tried.tolerated, nil)
		group.joinConfigured("fresh-y", "b1", false, inZone("y", tried.tolerated, nil))
		group.kill(processes[0], false)
		group.memberState["n1"] = message.Dead
		group.run(8 * time.Second)
		c.Assert(group.voters(), qt.HasLen, tried.voters, qt.Commentf("%v", group.events))
		if tried.voters == 2 {
			group.joinConfigured("fresh-x", "b2", false, inZone("x", tried.tolerated, nil))
			group.run(8 * time.Second)
			c.Assert(group.voters()["1"], qt.Equals, "fresh-x")
		}
	}
}

// A process that is said never to vote founds nothing and takes no voter, also where it
// is the first anchor.
func TestNonVoterNeverHoldsAVoter(t *testing.T) {
	c := qt.New(t)
	group := newFleet(c, 3)
	processes := []*process{}
	for number := range 4 {
		nodeName, address := fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1)
		processes = append(processes, group.joinConfigured(nodeName, address, number > 0, func(cfg *settings.Settings) {
			cfg.Anchors, cfg.NonVoter = []string{"a1", "a2", "a3"}, number == 0
		}))
	}
	group.run(3 * time.Second)
	c.Assert(group.voters(), qt.DeepEquals, map[string]string{"1": "n2", "2": "n3", "3": "n4"})
	group.kill(processes[3], true)
	group.memberState["n4"] = message.Dead
	group.run(8 * time.Second)
	c.Assert(processes[0].quorum.Voting(), qt.IsFalse)
	c.Assert(processes[0].quorum.Standby(processes[0].machineEnv), qt.IsTrue)
}

// How many voters there are is the group's own knowledge once it is founded: a newcomer
// whose settings count others takes the group's count.
func TestCountOfVotersComesFromTheGroup(t *testing.T) {
	c := qt.New(t)
	for _, counted := range []int64{1, 5} {
		group, processes := founded(c, 3, 3)
		group.kill(processes[2], true)
		group.memberState["n3"] = message.Dead
		newcomer := group.joinConfigured("fresh", "b1", false, func(cfg *settings.Settings) {
			cfg.VoterCount, cfg.Voters = counted, settings.VoterNames(counted)
		})
		group.run(6 * time.Second)
		c.Assert(group.voters(), qt.HasLen, 3, qt.Commentf("settings count %d: %v", counted, group.events))
		c.Assert(newcomer.quorum.Majority(map[string]string{newcomer.quorum.Voter: newcomer.quorum.Signature()}), qt.IsFalse)
	}
}

// The choice of founders is as good as the best of all choices with the same anchor: no
// other loses fewer voters with the zones, or the regions, that may go.
func TestNoChoiceOfFoundersOutlivesMore(t *testing.T) {
	c := qt.New(t)
	random := statemachine.NewEnv(17).Random
	regions := map[string]string{"x": "east", "y": "east", "z": "west", "w": "south"}
	for range 400 {
		tolerated := []settings.Tolerated{{Zones: 1}, {Zones: 2}, {Regions: 1}}[random.IntN(3)]
		places := placement{tolerated: tolerated, regions: regions}
		identities := []string{}
		for number := range 3 + random.IntN(7) {
			zone := []string{"x", "y", "z", "w"}[random.IntN(4)]
			identities = append(identities, NewIdentity(0, uint64(number), 1, fmt.Sprintf("n%d", number))+zoneStart+zone)
		}
		count := 1 + 2*random.IntN((len(identities)+1)/2)
		anchor := identities[random.IntN(len(identities))]
		chosen := places.choose(identities, anchor, count)
		c.Assert(chosen, qt.HasLen, count)
		c.Assert(chosen, qt.Contains, anchor)
		best := count
		for subset := range 1 << len(identities) {
			other := []string{}
			for index, identity := range identities {
				if subset&(1<<index) != 0 {
					other = append(other, identity)
				}
			}
			if len(other) == count && slices.Contains(other, anchor) {
				best = min(best, places.worstLoss(other))
			}
		}
		c.Assert(places.worstLoss(chosen), qt.Equals, best, qt.Commentf("%+v of %q: %q", tolerated, identities, chosen))
	}
}
