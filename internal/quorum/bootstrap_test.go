package quorum

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/statemachine"
)

// A group must be formed exactly if there are enough processes for its voters; a process beyond that number becomes a
// standby, which must not sign.
func TestBootstrapByProcessCount(t *testing.T) {
	c := qt.New(t)
	for _, testCase := range []struct {
		processes int
		count     int64
		expected  map[string]string
	}{
		{1, 1, map[string]string{"1": "n1"}},
		{2, 3, map[string]string{}},
		{3, 3, map[string]string{"1": "n1", "2": "n2", "3": "n3"}},
		{4, 3, map[string]string{"1": "n1", "2": "n2", "3": "n3"}},
		{5, 5, map[string]string{"1": "n1", "2": "n2", "3": "n3", "4": "n4", "5": "n5"}},
	} {
		group, processes := newFormedCluster(c, testCase.processes, testCase.count)
		c.Check(group.voters(), qt.DeepEquals, testCase.expected, qt.Commentf("%d of %d", testCase.processes, testCase.count))
		if testCase.processes > int(testCase.count) {
			standby := processes[testCase.processes-1]
			group.run(5 * time.Second)
			c.Check(standby.quorum.Standby(standby.env), qt.IsTrue)
			c.Check(standby.quorum.Signature(), qt.Equals, "")
			c.Check(standby.quorum.Voter, qt.Equals, "")
		}
	}
}

// Four founders for three voters are isolated and killed at random during the bootstrap. They must never form two
// groups, and must have formed one three seconds after the last isolation ends.
func TestBootstrapFormsOneGroup(t *testing.T) {
	c := qt.New(t)
	for seed := range 200 {
		group := newCluster(c, 3)
		processes := []*process{}
		for number := range 4 {
			processes = append(processes, group.addProcess(fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1), true))
		}
		random := statemachine.NewEnv(uint64(seed)).Random
		for range 30 {
			clear(group.isolated)
			for _, p := range processes {
				group.isolated[p.address] = random.IntN(3) == 0
			}
			if chosen := processes[random.IntN(4)]; random.IntN(3) == 0 {
				group.kill(chosen, false)
				chosen.boot(false)
			}
			group.run(time.Duration(1+random.IntN(10)) * 2 * tickInterval)
		}
		clear(group.isolated)
		group.run(3 * time.Second)
		first := map[string]string(nil)
		for _, p := range processes {
			if !p.quorum.State.Formed {
				continue
			}
			if first == nil {
				first = p.quorum.State.MemberList
			}
			c.Assert(p.quorum.State.MemberList, qt.DeepEquals, first, qt.Commentf("seed %d", seed))
		}
		c.Assert(group.voters(), qt.HasLen, 3, qt.Commentf("seed %d: %v", seed, group.events))
	}
}
