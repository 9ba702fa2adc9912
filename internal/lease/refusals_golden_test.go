package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// sendRequest sends a request to a voter and returns the refusal reason in its answer; "" if the voter
// grants the request. It fails the test if the voter doesn't answer.
func sendRequest(c *qt.C, asked *voter, request message.LeaseRequest) string {
	asked.env.Drain()
	asked.leases.Handle(asked.env, "a"+request.Voter, request)
	for _, effect := range asked.env.Drain() {
		sent, isSend := effect.(statemachine.Send)
		if !isSend {
			continue
		}
		if vote, isVote := sent.Message.(message.LeaseVote); isVote && sent.To == "a"+request.Voter {
			c.Assert(vote.Granted, qt.Equals, vote.Reason == "")
			return vote.Reason
		}
	}
	c.Fatalf("voter %s did not answer the request of voter %s", asked.name, request.Voter)
	return ""
}

// newRequest returns a signed lease request of a voter.
func newRequest(candidate *voter, leaseTag string, epoch int64) message.LeaseRequest {
	return message.LeaseRequest{
		Group: "config-log", Tag: leaseTag, Epoch: epoch, Voter: candidate.name, Identity: candidate.quorum.Signature(),
	}
}

// nonHolders returns the voters that don't hold the tag, in the order of their names.
func (g *group) nonHolders() []*voter {
	others := []*voter{}
	for _, v := range g.voters {
		if v.name != g.holder() {
			others = append(others, v)
		}
	}
	return others
}

// TestRefusalReasonsOnTheWire checks the refusal reason of a voter in each situation. Voters of different
// versions exchange these texts, and a holder compares the reason for a promise to another voter.
func TestRefusalReasonsOnTheWire(t *testing.T) {
	const epoch = 100
	preVote := func(request message.LeaseRequest) message.LeaseRequest {
		request.PreVote = true
		return request
	}
	for _, testCase := range []struct {
		reason string
		tag    string
		ask    func(c *qt.C, g *group) string
	}{
		{"not on the member list", configTag, func(c *qt.C, g *group) string {
			request := newRequest(g.nonHolders()[1], configTag, epoch)
			request.Identity = "a stranger"
			return sendRequest(c, g.nonHolders()[0], request)
		}},
		{"lower epoch", configTag, func(c *qt.C, g *group) string {
			return sendRequest(c, g.nonHolders()[0], newRequest(g.nonHolders()[1], configTag, 0))
		}},
		{"epoch given to another", configTag, func(c *qt.C, g *group) string {
			asked := g.nonHolders()[0]
			return sendRequest(c, asked, newRequest(g.nonHolders()[1], configTag, asked.leases.Epoch(configTag)))
		}},
		{"epoch in use", configTag, func(c *qt.C, g *group) string {
			asked := g.nonHolders()[0]
			return sendRequest(c, asked, preVote(newRequest(g.voterAt("a"+g.holder()), configTag, asked.leases.Epoch(configTag))))
		}},
		{"another holds it", configTag, func(c *qt.C, g *group) string {
			return sendRequest(c, g.nonHolders()[0], newRequest(g.nonHolders()[1], configTag, epoch))
		}},
		{"handed over to another", configTag, func(c *qt.C, g *group) string {
			asked, holder := g.nonHolders()[0], g.voterAt("a"+g.holder())
			asked.leases.Handle(asked.env, holder.address, message.LeaseYield{
				Group: "config-log", Tag: configTag, Epoch: asked.leases.Epoch(configTag),
				Voter: holder.name, Identity: holder.quorum.Signature(), To: asked.name,
			})
			return sendRequest(c, asked, newRequest(g.nonHolders()[1], configTag, epoch))
		}},
		{"holder rest", settings.UsageTag, func(c *qt.C, g *group) string {
			first := g.voterAt("a" + g.holder())
			g.run(time.Second, false)
			first.leases.TransferAll(first.env)
			g.run(10*time.Second, true)
			second := g.voterAt("a" + g.holder())
			c.Assert(second, qt.Not(qt.Equals), first)
			g.run(100*time.Millisecond, false)
			asked := g.nonHolders()[0]
			if asked == first {
				asked = g.nonHolders()[1]
			}
			asked.leases.Handle(asked.env, second.address, message.LeaseYield{
				Group: "config-log", Tag: settings.UsageTag, Epoch: asked.leases.Epoch(settings.UsageTag),
				Voter: second.name, Identity: second.quorum.Signature(),
			})
			return sendRequest(c, asked, newRequest(first, settings.UsageTag, epoch))
		}},
		{"goes first here", configTag, func(c *qt.C, g *group) string {
			holder := g.voterAt("a" + g.holder())
			asked, candidate := g.nonHolders()[0], g.nonHolders()[1]
			holder.running, candidate.running = false, false
			for range 1000 {
				g.run(5*time.Millisecond, false)
				reason := sendRequest(c, asked, preVote(newRequest(candidate, configTag, epoch)))
				if reason != "another holds it" && reason != "" {
					return reason
				}
			}
			return ""
		}},
	} {
		t.Run(testCase.reason, func(t *testing.T) {
			c := qt.New(t)
			g := newGroupFor(testCase.tag, false)
			g.run(10*time.Second, true)
			c.Assert(g.holder(), qt.Not(qt.Equals), "")
			g.run(time.Second, false)
			c.Assert(testCase.ask(c, g), qt.Equals, testCase.reason)
		})
	}
}

// TestPromiseRefusalDoesNotRaiseEpoch checks that a holder keeps its lease and epoch when a voter refuses it
// because of a promise to another voter. A refusal for any other reason, from a voter that reports the
// holder's epoch or a higher one, makes the holder raise its epoch.
func TestPromiseRefusalDoesNotRaiseEpoch(t *testing.T) {
	for reason, raises := range map[string]bool{"another holds it": false, "epoch given to another": true} {
		t.Run(reason, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(false)
			g.run(10*time.Second, true)
			g.run(time.Second, false)
			holder, other := g.voterAt("a"+g.holder()), g.nonHolders()[0]
			epoch := holder.leases.Epoch(configTag)
			holder.leases.Handle(holder.env, other.address, message.LeaseVote{
				Group: "config-log", Tag: configTag, Epoch: epoch, Voter: other.name, Identity: other.quorum.Signature(),
				HighestEpoch: epoch, Reason: reason,
			})
			c.Assert(holder.leases.Holding(configTag, holder.env.Now), qt.Equals, !raises)
		})
	}
}

// TestVoteRecordsVotersInCoolDown checks that a vote for the usage tag lists the voters in cool-down, sorted
// and separated by commas, and that voters listed in a vote on disk are refused after a restart.
func TestVoteRecordsVotersInCoolDown(t *testing.T) {
	c := qt.New(t)
	g := newGroupFor(settings.UsageTag, false)
	untilRenewed := settings.Default().RenewEvery() + 100*time.Millisecond
	for range 2 {
		g.run(10*time.Second, true)
		g.run(untilRenewed, false)
		holder := g.voterAt("a" + g.holder())
		holder.leases.TransferAll(holder.env)
	}
	g.run(10*time.Second, true)
	g.run(untilRenewed, false)
	coolingDown := map[string]string{"1": "2,3", "2": "1,3", "3": "1,2"}
	for _, v := range g.voters {
		c.Check(v.votes[0].RecentHolders, qt.Equals, coolingDown[g.holder()])
	}

	asked := g.voterAt("a3")
	asked.votes = []message.Vote{{
		Tag: settings.UsageTag, Epoch: 50, Holder: "3", Identity: asked.state.Identity, PreviousHolder: "2", RecentHolders: "1,2",
	}}
	asked.boot()
	g.voterAt("a1").running, g.voterAt("a2").running = false, false
	g.run(asked.settings.Lease()+100*time.Millisecond, false)
	for _, address := range []string{"a1", "a2"} {
		c.Check(sendRequest(c, asked, newRequest(g.voterAt(address), settings.UsageTag, 100)), qt.Equals, "holder rest")
	}
}
