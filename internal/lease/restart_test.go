package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// TestRestartedHolderIsGrantedWithoutWait restarts all voters at the same time. The holder must reacquire
// the tag in less than a quarter of a lease, because every voter's disk records that its promise was made
// to this holder.
func TestRestartedHolderIsGrantedWithoutWait(t *testing.T) {
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

// TestRestartedVotersWaitALeaseBeforeGrantingAnother restarts all voters except the holder. No voter may
// grant another candidate until a full lease has passed since its own restart.
func TestRestartedVotersWaitALeaseBeforeGrantingAnother(t *testing.T) {
	for name, discovered := range map[string]bool{"voters named in the settings": false, "voters discovered": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(discovered)
			g.run(10*time.Second, true)
			holder := g.holder()
			for _, v := range g.voters {
				v.boot()
				v.running = v.name != holder
			}
			elapsed := g.run(10*time.Second, true)
			c.Assert(g.holder(), qt.Not(qt.Equals), "")
			c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", elapsed))
		})
	}
}

// TestCopiedVotesDoNotShortenRestartWait restarts a group in which all voters but the holder have only votes
// copied from another voter, because they lost their disk or their voter was temporarily assigned to
// another process. Copied votes don't include all promises of the voter, so it must wait a full lease.
func TestCopiedVotesDoNotShortenRestartWait(t *testing.T) {
	for name, losePromises := range map[string]func(v *voter, votes []message.Vote){
		"disk lost": func(v *voter, votes []message.Vote) {
			v.votes = nil
			v.boot()
			v.leases.Restore(votes)
			v.leases.BeginVoting(v.env, false)
		},
		"voter reassigned to another process and back": func(v *voter, votes []message.Vote) {
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
			holder := g.voterAt("a" + g.holder())
			votes := holder.votes
			for _, v := range g.voters {
				if v == holder {
					v.boot()
				} else {
					losePromises(v, votes)
				}
			}
			elapsed := g.run(10*time.Second, true)
			c.Assert(g.holder(), qt.Not(qt.Equals), "")
			c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", elapsed))
		})
	}
}

// TestPromiseBindsToDiskIdentity checks that a process with the same voter but another disk identity counts
// as another candidate, so that it is granted only after a full lease.
func TestPromiseBindsToDiskIdentity(t *testing.T) {
	c := qt.New(t)
	g := newGroup(false)
	g.run(10*time.Second, true)
	holder := g.voterAt("a" + g.holder())
	memberList := map[string]string{}
	for _, v := range g.voters {
		memberList[v.name] = v.state.Identity
	}
	memberList[holder.name] = "identity of a new disk"
	holder.state.Identity = memberList[holder.name]
	for _, v := range g.voters {
		v.state.MemberList = memberList
		v.boot()
	}
	elapsed := g.run(10*time.Second, true)
	c.Assert(elapsed >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", elapsed))
}
