package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// All voters are killed at one moment and come back. The holder holds the tag again long before a
// lease has passed, since every voter's disk says that its promise was to this very holder.
func TestHolderThatComesBackIsGrantedAtOnce(t *testing.T) {
	for name, discovered := range map[string]bool{"voters named in the settings": false, "voters discovered": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(discovered)
			g.run(10*time.Second, true)
			holder := g.holder()
			c.Assert(holder, qt.Not(qt.Equals), "")
			g.run(time.Second, false)
			for _, v := range g.voters {
				c.Assert(v.votes[0].Holder, qt.Equals, holder)
				v.boot()
			}
			c.Assert(g.holder(), qt.Equals, "")
			elapsed := g.run(10*time.Second, true)
			c.Assert(g.holder(), qt.Equals, holder)
			c.Assert(elapsed < settings.Default().Lease()/4, qt.IsTrue, qt.Commentf("%v", elapsed))
		})
	}
}

// The holder does not come back. No voter grants another candidate before a full lease has passed
// since its own restart.
func TestRestartedVotersGrantNoOtherBeforeALease(t *testing.T) {
	for name, discovered := range map[string]bool{"voters named in the settings": false, "voters discovered": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(discovered)
			g.run(10*time.Second, true)
			holder := g.holder()
			for _, v := range g.voters {
				v.boot()
				v.up = v.name != holder
			}
			elapsed := g.run(10*time.Second, true)
			c.Assert(g.holder(), qt.Not(qt.Equals), "")
			c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", elapsed))
		})
	}
}

// Votes that a voter has from others are no promises of its own, whether it lost its disk or another
// process had its voter meanwhile: it waits a full lease.
func TestVotesOfOthersDoNotShortenTheWait(t *testing.T) {
	for name, lose := range map[string]func(v *voter, votes []message.Vote){
		"disk lost": func(v *voter, votes []message.Vote) {
			v.votes = nil
			v.boot()
			v.leases.Restore(votes)
			v.leases.BeginVoting(v.env, false)
		},
		"voter taken over by another process and regained": func(v *voter, votes []message.Vote) {
			v.boot()
			v.leases.Tick(v.env)
			v.leases.Forget(v.env)
			v.leases.Restore(votes)
			v.leases.BeginVoting(v.env, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(true)
			g.run(10*time.Second, true)
			holder := g.at("a" + g.holder())
			votes := holder.votes
			for _, v := range g.voters {
				if v == holder {
					v.boot()
				} else {
					lose(v, votes)
				}
			}
			elapsed := g.run(10*time.Second, true)
			c.Assert(g.holder(), qt.Not(qt.Equals), "")
			c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", elapsed))
		})
	}
}

// A process of another identity that holds the same voter is another candidate.
func TestPromiseIsToTheDiskNotToTheVoter(t *testing.T) {
	c := qt.New(t)
	g := newGroup(false)
	g.run(10*time.Second, true)
	holder := g.at("a" + g.holder())
	memberList := map[string]string{}
	for _, v := range g.voters {
		memberList[v.name] = v.state.Identity
	}
	memberList[holder.name] = "a newcomer's"
	holder.state.Identity = memberList[holder.name]
	for _, v := range g.voters {
		v.state.MemberList = memberList
		v.boot()
	}
	elapsed := g.run(10*time.Second, true)
	c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", elapsed))
}
