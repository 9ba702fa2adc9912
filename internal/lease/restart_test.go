package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// TestHolderThatComesBackIsGrantedAtOnce restarts all voters at the same time. The holder must reacquire
// the tag in less than a quarter of a lease, because every voter's disk records that its promise was made
// to this holder.
func TestHolderThatComesBackIsGrantedAtOnce(t *testing.T) {
	for name, discovered := range map[string]bool{"voters named in the settings": false, "voters discovered": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			group := newGroup(discovered)
			group.run(10*time.Second, true)
			holder := group.holder()
			c.Assert(holder, qt.Not(qt.Equals), "")
			group.run(time.Second, false)
			for _, voter := range group.voters {
				c.Assert(voter.votes[0].Holder, qt.Equals, holder)
				voter.boot()
			}
			c.Assert(group.holder(), qt.Equals, "")
			elapsed := group.run(10*time.Second, true)
			c.Assert(group.holder(), qt.Equals, holder)
			c.Assert(elapsed < settings.Default().Lease()/4, qt.IsTrue, qt.Commentf("holder elected after %v", elapsed))
		})
	}
}

// TestRestartedVotersGrantNoOtherBeforeALease restarts all voters except the holder. No voter may
// grant another candidate until a full lease has passed since its own restart.
func TestRestartedVotersGrantNoOtherBeforeALease(t *testing.T) {
	for name, discovered := range map[string]bool{"voters named in the settings": false, "voters discovered": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			group := newGroup(discovered)
			group.run(10*time.Second, true)
			holder := group.holder()
			for _, voter := range group.voters {
				voter.boot()
				voter.running = voter.name != holder
			}
			elapsed := group.run(10*time.Second, true)
			c.Assert(group.holder(), qt.Not(qt.Equals), "")
			c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("holder elected after %v", elapsed))
		})
	}
}

// TestVotesOfOthersDoNotShortenTheWait restarts a group in which all voters but the holder have only votes
// copied from another voter, because they lost their disk or their voter was temporarily assigned to
// another process. Copied votes don't include all promises of the voter, so it must wait a full lease.
func TestVotesOfOthersDoNotShortenTheWait(t *testing.T) {
	for name, losePromises := range map[string]func(voter *testVoter, votes []message.Vote){
		"disk lost": func(voter *testVoter, votes []message.Vote) {
			voter.votes = nil
			voter.boot()
			voter.leases.Restore(votes)
			voter.leases.BeginVoting(voter.env, false)
		},
		"voter reassigned to another process and back": func(voter *testVoter, votes []message.Vote) {
			voter.boot()
			voter.leases.Tick(voter.env)
			voter.leases.Forget(voter.env)
			voter.leases.Restore(votes)
			voter.leases.BeginVoting(voter.env, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			group := newGroup(true)
			group.run(10*time.Second, true)
			holder := group.voterAt("a" + group.holder())
			votes := holder.votes
			for _, voter := range group.voters {
				if voter == holder {
					voter.boot()
				} else {
					losePromises(voter, votes)
				}
			}
			elapsed := group.run(10*time.Second, true)
			c.Assert(group.holder(), qt.Not(qt.Equals), "")
			c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("holder elected after %v", elapsed))
		})
	}
}

// TestPromiseBindsToDiskIdentity checks that a process with the same voter but another disk identity counts
// as another candidate, so that it is granted only after a full lease.
func TestPromiseBindsToDiskIdentity(t *testing.T) {
	c := qt.New(t)
	group := newGroup(false)
	group.run(10*time.Second, true)
	holder := group.voterAt("a" + group.holder())
	memberList := map[string]string{}
	for _, voter := range group.voters {
		memberList[voter.name] = voter.state.Identity
	}
	memberList[holder.name] = "identity of a new disk"
	holder.state.Identity = memberList[holder.name]
	for _, voter := range group.voters {
		voter.state.MemberList = memberList
		voter.boot()
	}
	elapsed := group.run(10*time.Second, true)
	c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("holder elected after %v", elapsed))
}
