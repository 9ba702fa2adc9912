package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// refusalOf asks a voter for the lease, and returns the reason of its answer; "" where it grants.
func refusalOf(c *qt.C, asked *voter, request message.LeaseRequest) string {
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
	c.Fatal("the voter does not answer")
	return ""
}

// requestOf is a request of one of the voters.
func requestOf(asking *voter, leaseTag string, epoch int64) message.LeaseRequest {
	return message.LeaseRequest{
		Group: "config-log", LeaseName: leaseTag, Epoch: epoch, Voter: asking.name, Identity: asking.quorum.Signature(),
	}
}

// others returns the voters that don't hold the lease, by name.
func (g *group) others() []*voter {
	others := []*voter{}
	for _, v := range g.voters {
		if v.name != g.holder() {
			others = append(others, v)
		}
	}
	return others
}

// The reasons that voters of different versions tell each other. A holder compares the one for a
// lease that is still promised, and raises its epoch for any other.
func TestRefusalsStayAsTheyAre(t *testing.T) {
	const epoch = 100
	preVote := func(request message.LeaseRequest) message.LeaseRequest {
		request.PreVote = true
		return request
	}
	for _, refused := range []struct {
		reason string
		tag    string
		ask    func(c *qt.C, g *group) string
	}{
		{"not on the member list", configTag, func(c *qt.C, g *group) string {
			request := requestOf(g.others()[1], configTag, epoch)
			request.Identity = "a stranger"
			return refusalOf(c, g.others()[0], request)
		}},
		{"lower epoch", configTag, func(c *qt.C, g *group) string {
			return refusalOf(c, g.others()[0], requestOf(g.others()[1], configTag, 0))
		}},
		{"epoch given to another", configTag, func(c *qt.C, g *group) string {
			asked := g.others()[0]
			return refusalOf(c, asked, requestOf(g.others()[1], configTag, asked.leases.Epoch(configTag)))
		}},
		{"epoch in use", configTag, func(c *qt.C, g *group) string {
			asked := g.others()[0]
			return refusalOf(c, asked, preVote(requestOf(g.at("a"+g.holder()), configTag, asked.leases.Epoch(configTag))))
		}},
		{"another holds it", configTag, func(c *qt.C, g *group) string {
			return refusalOf(c, g.others()[0], requestOf(g.others()[1], configTag, epoch))
		}},
		{"handed over to another", configTag, func(c *qt.C, g *group) string {
			asked, holder := g.others()[0], g.at("a"+g.holder())
			asked.leases.Handle(asked.env, holder.address, message.LeaseYield{
				Group: "config-log", LeaseName: configTag, Epoch: asked.leases.Epoch(configTag),
				Voter: holder.name, Identity: holder.quorum.Signature(), Successor: asked.name,
			})
			return refusalOf(c, asked, requestOf(g.others()[1], configTag, epoch))
		}},
		{"holder rest", settings.UsageLease, func(c *qt.C, g *group) string {
			first := g.at("a" + g.holder())
			g.run(time.Second, false)
			first.leases.TransferAll(first.env)
			g.run(10*time.Second, true)
			second := g.at("a" + g.holder())
			c.Assert(second, qt.Not(qt.Equals), first)
			g.run(100*time.Millisecond, false)
			asked := g.others()[0]
			if asked == first {
				asked = g.others()[1]
			}
			asked.leases.Handle(asked.env, second.address, message.LeaseYield{
				Group: "config-log", LeaseName: settings.UsageLease, Epoch: asked.leases.Epoch(settings.UsageLease),
				Voter: second.name, Identity: second.quorum.Signature(),
			})
			return refusalOf(c, asked, requestOf(first, settings.UsageLease, epoch))
		}},
		{"goes first here", configTag, func(c *qt.C, g *group) string {
			holder := g.at("a" + g.holder())
			asked, asking := g.others()[0], g.others()[1]
			holder.up, asking.up = false, false
			for range 1000 {
				g.run(5*time.Millisecond, false)
				reason := refusalOf(c, asked, preVote(requestOf(asking, configTag, epoch)))
				if reason != "another holds it" && reason != "" {
					return reason
				}
			}
			return ""
		}},
	} {
		t.Run(refused.reason, func(t *testing.T) {
			c := qt.New(t)
			g := newGroupFor(refused.tag, false)
			g.run(10*time.Second, true)
			c.Assert(g.holder(), qt.Not(qt.Equals), "")
			g.run(time.Second, false)
			c.Assert(refused.ask(c, g), qt.Equals, refused.reason)
		})
	}
}

// A refusal with this very text leaves the holder as it is; a refusal with any other text, from a
// voter that has seen the holder's epoch or a later one, has it raise its epoch.
func TestComparedRefusalStaysAsItIs(t *testing.T) {
	for reason, raises := range map[string]bool{"another holds it": false, "epoch given to another": true} {
		t.Run(reason, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(false)
			g.run(10*time.Second, true)
			g.run(time.Second, false)
			holder, other := g.at("a"+g.holder()), g.others()[0]
			epoch := holder.leases.Epoch(configTag)
			holder.leases.Handle(holder.env, other.address, message.LeaseVote{
				Group: "config-log", LeaseName: configTag, Epoch: epoch, Voter: other.name, Identity: other.quorum.Signature(),
				HighestEpoch: epoch, Reason: reason,
			})
			c.Assert(holder.leases.IsHolder(configTag, holder.env.Now), qt.Equals, !raises)
		})
	}
}

// A vote for the usage lease names the voters that cool down, in order and with a comma between; those
// that a vote on disk names are refused.
func TestRestingVotersStayAsTheyAre(t *testing.T) {
	c := qt.New(t)
	g := newGroupFor(settings.UsageLease, false)
	renewed := settings.Default().RenewEvery() + 100*time.Millisecond
	for range 2 {
		g.run(10*time.Second, true)
		g.run(renewed, false)
		holder := g.at("a" + g.holder())
		holder.leases.TransferAll(holder.env)
	}
	g.run(10*time.Second, true)
	g.run(renewed, false)
	coolingDown := map[string]string{"1": "2,3", "2": "1,3", "3": "1,2"}
	for _, v := range g.voters {
		c.Check(v.votes[0].RecentHolders, qt.Equals, coolingDown[g.holder()])
	}

	asked := g.at("a3")
	asked.votes = []message.Vote{{
		LeaseName: settings.UsageLease, Epoch: 50, Holder: "3", Identity: asked.state.Identity, PreviousHolder: "2", RecentHolders: "1,2",
	}}
	asked.boot()
	g.at("a1").up, g.at("a2").up = false, false
	g.run(asked.settings.Lease()+100*time.Millisecond, false)
	for _, address := range []string{"a1", "a2"} {
		c.Check(refusalOf(c, asked, requestOf(g.at(address), settings.UsageLease, 100)), qt.Equals, "holder rest")
	}
}
