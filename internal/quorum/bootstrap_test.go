package quorum

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/statemachine"
)

func TestFounding(t *testing.T) {
	c := qt.New(t)
	for _, made := range []struct {
		machines int
		count    int64
		wanted   map[string]string
	}{
		{1, 1, map[string]string{"1": "n1"}},
		{2, 3, map[string]string{}},
		{3, 3, map[string]string{"1": "n1", "2": "n2", "3": "n3"}},
		{4, 3, map[string]string{"1": "n1", "2": "n2", "3": "n3"}},
		{5, 5, map[string]string{"1": "n1", "2": "n2", "3": "n3", "4": "n4", "5": "n5"}},
	} {
		group, processes := founded(c, made.machines, made.count)
		c.Check(group.voters(), qt.DeepEquals, made.wanted, qt.Commentf("%d of %d", made.machines, made.count))
		if made.machines > int(made.count) {
			last := processes[made.machines-1]
			group.run(5 * time.Second)
			c.Check(last.quorum.Standby(last.machineEnv), qt.IsTrue)
			c.Check(last.quorum.Signature(), qt.Equals, "")
			c.Check(last.quorum.Voter, qt.Equals, "")
		}
	}
}

// Four founders for three voters hear of each other in any order, over cuts, and are
// killed in between: one group, and in the end always one.
func TestFoundingIsOnce(t *testing.T) {
	c := qt.New(t)
	for seed := range 200 {
		group := newFleet(c, 3)
		processes := []*process{}
		for number := range 4 {
			processes = append(processes, group.join(fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1), true))
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
			group.run(time.Duration(1+random.IntN(10)) * 2 * step)
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
