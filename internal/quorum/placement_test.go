// Tests of the choice of voters: the bootstrap with anchors, the distribution over zones and regions, and processes
// that never vote.

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

// formedGroups returns the number of distinct member lists among the voting processes.
func (c *cluster) formedGroups() int {
	groups := map[string]bool{}
	for _, address := range c.addresses {
		if p := c.processes[address]; p.running && p.quorum.Voting() {
			groups[memberList(p.quorum.State.MemberList).digest()] = true
		}
	}
	return len(groups)
}

// Processes that are partitioned during the first seconds must form at most one group, because every proposal has to
// contain the first anchor.
func TestPartitionedBootstrapFormsOneGroup(t *testing.T) {
	c := qt.New(t)
	for _, testCase := range []struct {
		processes int
		voters    int64
		anchors   []string
	}{
		{2, 1, []string{"a1", "a2"}},
		{3, 1, []string{"a1", "a2", "a3"}},
		{7, 3, []string{"a1", "a2", "a3"}},
		{9, 3, []string{"a5", "a6", "a7"}},
	} {
		group := newCluster(c, testCase.voters)
		group.partition = map[string]int{}
		for number := range testCase.processes {
			address := fmt.Sprintf("a%d", number+1)
			group.partition[address] = number * 2 / testCase.processes
			group.addConfiguredProcess(fmt.Sprintf("n%d", number+1), address, true, func(cfg *settings.Settings) {
				cfg.Anchors = testCase.anchors
			})
		}
		group.run(4 * time.Second)
		c.Check(group.formedGroups() <= 1, qt.IsTrue,
			qt.Commentf("%d processes, %d voters: %v", testCase.processes, testCase.voters, group.events))
		clear(group.partition)
		group.run(4 * time.Second)
		c.Check(group.formedGroups(), qt.Equals, 1,
			qt.Commentf("%d processes, %d voters: %v", testCase.processes, testCase.voters, group.events))
		c.Check(group.voters(), qt.HasLen, int(testCase.voters))
	}
}

// newZonedCluster returns a cluster in which process number k+1 is in zones[k], after six seconds.
func newZonedCluster(c *qt.C, voters int64, zones []string, tolerated settings.Tolerated,
	regions map[string]string) (*cluster, []*process) {
	group := newCluster(c, voters)
	processes := []*process{}
	for number, zone := range zones {
		nodeName, address := fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1)
		processes = append(processes, group.addConfiguredProcess(nodeName, address, true, withZone(zone, tolerated, regions)))
	}
	group.run(6 * time.Second)
	return group, processes
}

// withZone returns a function that sets the zone, the tolerated losses and the regions of a process.
func withZone(zone string, tolerated settings.Tolerated, regions map[string]string) func(cfg *settings.Settings) {
	return func(cfg *settings.Settings) {
		cfg.Zone, cfg.Tolerated, cfg.Regions = zone, tolerated, regions
		cfg.Zones, cfg.Anchors = []string{"x", "y", "z", "w"}, []string{"a1", "a2", "a3"}
	}
}

// votersPerZone returns the number of voting processes in each zone.
func (c *cluster) votersPerZone() map[string]int {
	counts := map[string]int{}
	for _, address := range c.addresses {
		if p := c.processes[address]; p.running && p.quorum.Voting() {
			counts[p.quorum.settings.Zone]++
		}
	}
	return counts
}

// The voters of a new group must be distributed as evenly as the tolerated losses of zones or regions require.
func TestVotersAreSpreadOverZonesAndRegions(t *testing.T) {
	c := qt.New(t)
	regions := map[string]string{"x": "east", "y": "east", "z": "west", "w": "south"}
	for _, testCase := range []struct {
		name      string
		voters    int64
		zones     []string
		tolerated settings.Tolerated
		expected  map[string]int
	}{
		{
			name: "two machines per zone", voters: 3,
			zones:     []string{"x", "x", "y", "y", "z", "z"},
			tolerated: settings.Tolerated{Zones: 1},
			expected:  map[string]int{"x": 1, "y": 1, "z": 1},
		},
		{
			name: "first node names in one zone", voters: 5,
			zones:     []string{"x", "x", "x", "y", "y", "z", "z"},
			tolerated: settings.Tolerated{Machines: 2, Zones: 1},
			expected:  map[string]int{"x": 2, "y": 2, "z": 1},
		},
		{
			name: "four zones", voters: 3,
			zones:     []string{"x", "x", "y", "z", "w"},
			tolerated: settings.Tolerated{Zones: 1},
			expected:  map[string]int{"x": 1, "y": 1, "z": 1},
		},
		{
			name: "three regions", voters: 3,
			zones:     []string{"x", "y", "z", "w"},
			tolerated: settings.Tolerated{Regions: 1},
			expected:  map[string]int{"x": 1, "z": 1, "w": 1},
		},
		{
			name: "only losses of machines tolerated", voters: 3,
			zones:     []string{"x", "x", "y", "z"},
			tolerated: settings.Tolerated{Machines: 1},
			expected:  map[string]int{"x": 1, "y": 1, "z": 1},
		},
		{
			name: "all machines in one zone", voters: 3,
			zones:     []string{"x", "x", "x"},
			tolerated: settings.Tolerated{Zones: 1},
			expected:  map[string]int{"x": 3},
		},
	} {
		group, _ := newZonedCluster(c, testCase.voters, testCase.zones, testCase.tolerated, regions)
		c.Check(group.votersPerZone(), qt.DeepEquals, testCase.expected, qt.Commentf(testCase.name))
	}
}

// A standby process must not claim a dead node's voter if the loss of the standby's zone would then cost the majority,
// and must claim it if zones are not required to survive.
func TestSpareKeepsTheSpreadOverZones(t *testing.T) {
	c := qt.New(t)
	for _, testCase := range []struct {
		tolerated      settings.Tolerated
		expectedVoters int
	}{{settings.Tolerated{Zones: 1}, 2}, {settings.Tolerated{Machines: 1}, 3}} {
		group, processes := newZonedCluster(c, 3, []string{"x", "y", "z"}, testCase.tolerated, nil)
		group.addConfiguredProcess("fresh-y", "b1", false, withZone("y", testCase.tolerated, nil))
		group.kill(processes[0], false)
		group.memberState["n1"] = message.Dead
		group.run(8 * time.Second)
		c.Assert(group.voters(), qt.HasLen, testCase.expectedVoters, qt.Commentf("%v", group.events))
		if testCase.expectedVoters == 2 {
			group.addConfiguredProcess("fresh-x", "b2", false, withZone("x", testCase.tolerated, nil))
			group.run(8 * time.Second)
			c.Assert(group.voters()["1"], qt.Equals, "fresh-x")
		}
	}
}

// A process that is configured as a non-voter must neither take part in the bootstrap nor claim a voter, even if it is
// the first anchor.
func TestNonVoterNeverHoldsAVoter(t *testing.T) {
	c := qt.New(t)
	group := newCluster(c, 3)
	processes := []*process{}
	for number := range 4 {
		nodeName, address := fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1)
		processes = append(processes, group.addConfiguredProcess(nodeName, address, number > 0, func(cfg *settings.Settings) {
			cfg.Anchors, cfg.NonVoter = []string{"a1", "a2", "a3"}, number == 0
		}))
	}
	group.run(3 * time.Second)
	c.Assert(group.voters(), qt.DeepEquals, map[string]string{"1": "n2", "2": "n3", "3": "n4"})
	group.kill(processes[3], true)
	group.memberState["n4"] = message.Dead
	group.run(8 * time.Second)
	c.Assert(processes[0].quorum.Voting(), qt.IsFalse)
	c.Assert(processes[0].quorum.Standby(processes[0].env), qt.IsTrue)
}

// The number of voters is fixed when the group is formed. A process whose settings have another number must use that
// of the group.
func TestCountOfVotersComesFromTheGroup(t *testing.T) {
	c := qt.New(t)
	for _, configuredCount := range []int64{1, 5} {
		group, processes := newFormedCluster(c, 3, 3)
		group.kill(processes[2], true)
		group.memberState["n3"] = message.Dead
		claimant := group.addConfiguredProcess("fresh", "b1", false, func(cfg *settings.Settings) {
			cfg.VoterCount, cfg.Voters = configuredCount, settings.VoterNames(configuredCount)
		})
		group.run(6 * time.Second)
		c.Assert(group.voters(), qt.HasLen, 3, qt.Commentf("settings count %d: %v", configuredCount, group.events))
		c.Assert(claimant.quorum.Majority(map[string]string{claimant.quorum.Voter: claimant.quorum.Signature()}), qt.IsFalse)
	}
}

// The choice of voters is compared with every other choice that contains the same anchor. None may have a smaller
// worst-case loss under the tolerated losses of zones or regions.
func TestPlacementMinimizesWorstCaseLoss(t *testing.T) {
	c := qt.New(t)
	random := statemachine.NewEnv(17).Random
	regions := map[string]string{"x": "east", "y": "east", "z": "west", "w": "south"}
	for range 400 {
		tolerated := []settings.Tolerated{{Zones: 1}, {Zones: 2}, {Regions: 1}}[random.IntN(3)]
		placer := placement{tolerated: tolerated, regions: regions}
		identities := []string{}
		for number := range 3 + random.IntN(7) {
			zone := []string{"x", "y", "z", "w"}[random.IntN(4)]
			identities = append(identities, NewIdentity(0, uint64(number), 1, fmt.Sprintf("n%d", number))+zoneSeparator+zone)
		}
		count := 1 + 2*random.IntN((len(identities)+1)/2)
		anchor := identities[random.IntN(len(identities))]
		chosen := placer.choose(identities, anchor, count)
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
				best = min(best, placer.worstCaseLoss(other))
			}
		}
		c.Assert(placer.worstCaseLoss(chosen), qt.Equals, best, qt.Commentf("%+v of %q: %q", tolerated, identities, chosen))
	}
}
