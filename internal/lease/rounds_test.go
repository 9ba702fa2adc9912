package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// A vote that answers a request of a candidate's earlier run doesn't count after its restart: the promise
// behind it ends earlier than the lease that the candidate would take.
func TestVotesForAnEarlierRunDoNotCount(t *testing.T) {
	c := qt.New(t)
	group := newGroup(false)
	group.run(10*time.Second, true)
	candidate := group.voterAt("a" + group.holder())
	for _, voter := range group.voters {
		voter.boot()
	}
	candidate.rounds = map[int64]bool{}
	group.run(2*time.Second, false)
	rounds := candidate.rounds
	c.Assert(len(rounds) > 2, qt.IsTrue, qt.Commentf("rounds %v", rounds))
	for _, voter := range group.voters {
		voter.running = voter == candidate
	}
	candidate.boot()
	candidate.rounds = map[int64]bool{}
	for range 400 {
		group.run(5*time.Millisecond, false)
		for _, voter := range group.voters {
			for round := range rounds {
				for _, preVote := range []bool{false, true} {
					candidate.leases.Handle(candidate.env, voter.address, message.LeaseVote{
						Group: "config-log", LeaseName: group.tag, Epoch: candidate.leases.tags[group.tag].candidate.epoch,
						Round: round, Voter: voter.name, Identity: voter.quorum.Signature(), Granted: true, PreVote: preVote,
					})
				}
			}
		}
		c.Assert(group.holder(), qt.Equals, "")
	}
	c.Assert(len(candidate.rounds) > 0, qt.IsTrue)
}

// The rounds of a voter's runs have no number in common, whether the process restarts or its machine is
// rebuilt within the process.
func TestRunsShareNoRound(t *testing.T) {
	c := qt.New(t)
	group := newGroup(false)
	voter := group.voters[0]
	seen := map[int64]bool{}
	for run := range 4 {
		if run == 2 {
			voter.env = statemachine.NewEnv(99)
		}
		voter.boot()
		voter.rounds = map[int64]bool{}
		group.run(5*time.Second, false)
		c.Assert(len(voter.rounds) > 2, qt.IsTrue)
		for round := range voter.rounds {
			c.Assert(seen[round], qt.IsFalse)
			seen[round] = true
		}
	}
}
