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
		Group: "config-log", Tag: leaseTag, Epoch: epoch, Voter: asking.voter, Identity: asking.quorum.Signature(),
	}
}

// others returns the voters that don't hold the lease, by name.
func (e *electorate) others() []*voter {
	others := []*voter{}
	for _, v := range e.voters {
		if v.voter != e.holder() {
			others = append(others, v)
		}
	}
	return others
}

// The reasons that voters of different versions tell each other. A holder compares the one for a
// lease that is still promised, and raises its epoch for any other.
func TestRefusalsStayAsTheyAre(t *testing.T) {
	const epoch = 100
	trial := func(request message.LeaseRequest) message.LeaseRequest {
		request.Trial = true
		return request
	}
	for _, refused := range []struct {
		reason string
		tag    string
		ask    func(c *qt.C, e *electorate) string
	}{
		{"not on the member list", tag, func(c *qt.C, e *electorate) string {
			request := requestOf(e.others()[1], tag, epoch)
			request.Identity = "a stranger"
			return refusalOf(c, e.others()[0], request)
		}},
		{"lower epoch", tag, func(c *qt.C, e *electorate) string {
			return refusalOf(c, e.others()[0], requestOf(e.others()[1], tag, 0))
		}},
		{"epoch given to another", tag, func(c *qt.C, e *electorate) string {
			asked := e.others()[0]
			return refusalOf(c, asked, requestOf(e.others()[1], tag, asked.leases.Epoch(tag)))
		}},
		{"epoch in use", tag, func(c *qt.C, e *electorate) string {
			asked := e.others()[0]
			return refusalOf(c, asked, trial(requestOf(e.at("a"+e.holder()), tag, asked.leases.Epoch(tag))))
		}},
		{"another holds it", tag, func(c *qt.C, e *electorate) string {
			return refusalOf(c, e.others()[0], requestOf(e.others()[1], tag, epoch))
		}},
		{"handed over to another", tag, func(c *qt.C, e *electorate) string {
			asked, holder := e.others()[0], e.at("a"+e.holder())
			asked.leases.Handle(asked.env, holder.address, message.LeaseYield{
				Group: "config-log", Tag: tag, Epoch: asked.leases.Epoch(tag),
				Voter: holder.voter, Identity: holder.quorum.Signature(), To: asked.voter,
			})
			return refusalOf(c, asked, requestOf(e.others()[1], tag, epoch))
		}},
		{"holder rest", settings.UsageTag, func(c *qt.C, e *electorate) string {
			first := e.at("a" + e.holder())
			e.run(time.Second, false)
			first.leases.Yield(first.env)
			e.run(10*time.Second, true)
			second := e.at("a" + e.holder())
			c.Assert(second, qt.Not(qt.Equals), first)
			e.run(100*time.Millisecond, false)
			asked := e.others()[0]
			if asked == first {
				asked = e.others()[1]
			}
			asked.leases.Handle(asked.env, second.address, message.LeaseYield{
				Group: "config-log", Tag: settings.UsageTag, Epoch: asked.leases.Epoch(settings.UsageTag),
				Voter: second.voter, Identity: second.quorum.Signature(),
			})
			return refusalOf(c, asked, requestOf(first, settings.UsageTag, epoch))
		}},
		{"goes first here", tag, func(c *qt.C, e *electorate) string {
			holder := e.at("a" + e.holder())
			asked, asking := e.others()[0], e.others()[1]
			holder.up, asking.up = false, false
			for range 1000 {
				e.run(5*time.Millisecond, false)
				reason := refusalOf(c, asked, trial(requestOf(asking, tag, epoch)))
				if reason != "another holds it" && reason != "" {
					return reason
				}
			}
			return ""
		}},
	} {
		t.Run(refused.reason, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorateFor(refused.tag, false)
			e.run(10*time.Second, true)
			c.Assert(e.holder(), qt.Not(qt.Equals), "")
			e.run(time.Second, false)
			c.Assert(refused.ask(c, e), qt.Equals, refused.reason)
		})
	}
}

// A refusal with this very text leaves the holder as it is; a refusal with any other text, from a
// voter that has seen the holder's epoch or a later one, has it raise its epoch.
func TestComparedRefusalStaysAsItIs(t *testing.T) {
	for reason, raises := range map[string]bool{"another holds it": false, "epoch given to another": true} {
		t.Run(reason, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorate(false)
			e.run(10*time.Second, true)
			e.run(time.Second, false)
			holder, other := e.at("a"+e.holder()), e.others()[0]
			epoch := holder.leases.Epoch(tag)
			holder.leases.Handle(holder.env, other.address, message.LeaseVote{
				Group: "config-log", Tag: tag, Epoch: epoch, Voter: other.voter, Identity: other.quorum.Signature(),
				Seen: epoch, Reason: reason,
			})
			c.Assert(holder.leases.Holding(tag, holder.env.Now), qt.Equals, !raises)
		})
	}
}

// A vote for the usage lease names the voters that rest, in order and with a comma between; those
// that a vote on disk names are refused.
func TestRestingVotersStayAsTheyAre(t *testing.T) {
	c := qt.New(t)
	e := newElectorateFor(settings.UsageTag, false)
	renewed := settings.Default().RenewEvery() + 100*time.Millisecond
	for range 2 {
		e.run(10*time.Second, true)
		e.run(renewed, false)
		holder := e.at("a" + e.holder())
		holder.leases.Yield(holder.env)
	}
	e.run(10*time.Second, true)
	e.run(renewed, false)
	resting := map[string]string{"1": "2,3", "2": "1,3", "3": "1,2"}
	for _, v := range e.voters {
		c.Check(v.votes[0].Resting, qt.Equals, resting[e.holder()])
	}

	asked := e.at("a3")
	asked.votes = []message.Vote{{
		Tag: settings.UsageTag, Epoch: 50, Holder: "3", Identity: asked.state.Identity, Former: "2", Resting: "1,2",
	}}
	asked.boot()
	e.at("a1").up, e.at("a2").up = false, false
	e.run(asked.settings.Lease()+100*time.Millisecond, false)
	for _, address := range []string{"a1", "a2"} {
		c.Check(refusalOf(c, asked, requestOf(e.at(address), settings.UsageTag, 100)), qt.Equals, "holder rest")
	}
}
