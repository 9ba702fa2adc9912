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
func sendRequest(c *qt.C, acceptor *testVoter, request message.LeaseRequest) string {
	acceptor.env.Drain()
	acceptor.leases.Handle(acceptor.env, "a"+request.Voter, request)
	for _, effect := range acceptor.env.Drain() {
		sent, isSend := effect.(statemachine.Send)
		if !isSend {
			continue
		}
		if vote, isVote := sent.Message.(message.LeaseVote); isVote && sent.To == "a"+request.Voter {
			c.Assert(vote.Granted, qt.Equals, vote.Reason == "")
			return vote.Reason
		}
	}
	c.Fatalf("voter %s did not answer the request of voter %s", acceptor.name, request.Voter)
	return ""
}

// newRequest returns a signed lease request of a voter.
func newRequest(candidate *testVoter, leaseTag string, epoch int64) message.LeaseRequest {
	return message.LeaseRequest{
		Group: "config-log", LeaseName: leaseTag, Epoch: epoch, Voter: candidate.name, Identity: candidate.quorum.Signature(),
	}
}

// nonHolders returns the voters that don't hold the tag, in the order of their names.
func (g *testGroup) nonHolders() []*testVoter {
	others := []*testVoter{}
	for _, voter := range g.voters {
		if voter.name != g.holder() {
			others = append(others, voter)
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
		ask    func(c *qt.C, group *testGroup) string
	}{
		{"not on the member list", configTag, func(c *qt.C, group *testGroup) string {
			request := newRequest(group.nonHolders()[1], configTag, epoch)
			request.Identity = "unknown identity"
			return sendRequest(c, group.nonHolders()[0], request)
		}},
		{"lower epoch", configTag, func(c *qt.C, group *testGroup) string {
			return sendRequest(c, group.nonHolders()[0], newRequest(group.nonHolders()[1], configTag, 0))
		}},
		{"epoch given to another", configTag, func(c *qt.C, group *testGroup) string {
			acceptor := group.nonHolders()[0]
			return sendRequest(c, acceptor, newRequest(group.nonHolders()[1], configTag, acceptor.leases.Epoch(configTag)))
		}},
		{"epoch in use", configTag, func(c *qt.C, group *testGroup) string {
			acceptor := group.nonHolders()[0]
			return sendRequest(c, acceptor, preVote(newRequest(group.voterAt("a"+group.holder()), configTag,
				acceptor.leases.Epoch(configTag))))
		}},
		{"another holds it", configTag, func(c *qt.C, group *testGroup) string {
			return sendRequest(c, group.nonHolders()[0], newRequest(group.nonHolders()[1], configTag, epoch))
		}},
		{"handed over to another", configTag, func(c *qt.C, group *testGroup) string {
			acceptor, holder := group.nonHolders()[0], group.voterAt("a"+group.holder())
			acceptor.leases.Handle(acceptor.env, holder.address, message.LeaseYield{
				Group: "config-log", LeaseName: configTag, Epoch: acceptor.leases.Epoch(configTag),
				Voter: holder.name, Identity: holder.quorum.Signature(), Successor: acceptor.name,
			})
			return sendRequest(c, acceptor, newRequest(group.nonHolders()[1], configTag, epoch))
		}},
		{"holder rest", settings.UsageLease, func(c *qt.C, group *testGroup) string {
			firstHolder := group.voterAt("a" + group.holder())
			group.run(time.Second, false)
			firstHolder.leases.TransferAll(firstHolder.env)
			group.run(10*time.Second, true)
			secondHolder := group.voterAt("a" + group.holder())
			c.Assert(secondHolder, qt.Not(qt.Equals), firstHolder)
			group.run(100*time.Millisecond, false)
			acceptor := group.nonHolders()[0]
			if acceptor == firstHolder {
				acceptor = group.nonHolders()[1]
			}
			acceptor.leases.Handle(acceptor.env, secondHolder.address, message.LeaseYield{
				Group: "config-log", LeaseName: settings.UsageLease, Epoch: acceptor.leases.Epoch(settings.UsageLease),
				Voter: secondHolder.name, Identity: secondHolder.quorum.Signature(),
			})
			return sendRequest(c, acceptor, newRequest(firstHolder, settings.UsageLease, epoch))
		}},
		{"goes first here", configTag, func(c *qt.C, group *testGroup) string {
			holder := group.voterAt("a" + group.holder())
			acceptor, candidate := group.nonHolders()[0], group.nonHolders()[1]
			holder.running, candidate.running = false, false
			for range 1000 {
				group.run(5*time.Millisecond, false)
				reason := sendRequest(c, acceptor, preVote(newRequest(candidate, configTag, epoch)))
				if reason != "another holds it" && reason != "" {
					return reason
				}
			}
			return ""
		}},
	} {
		t.Run(testCase.reason, func(t *testing.T) {
			c := qt.New(t)
			group := newGroupFor(testCase.tag, false)
			group.run(10*time.Second, true)
			c.Assert(group.holder(), qt.Not(qt.Equals), "")
			group.run(time.Second, false)
			c.Assert(testCase.ask(c, group), qt.Equals, testCase.reason)
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
			group := newGroup(false)
			group.run(10*time.Second, true)
			group.run(time.Second, false)
			holder, other := group.voterAt("a"+group.holder()), group.nonHolders()[0]
			epoch := holder.leases.Epoch(configTag)
			holder.leases.Handle(holder.env, other.address, message.LeaseVote{
				Group: "config-log", LeaseName: configTag, Epoch: epoch, Voter: other.name, Identity: other.quorum.Signature(),
				HighestEpoch: epoch, Reason: reason,
			})
			c.Assert(holder.leases.IsHolder(configTag, holder.env.Now), qt.Equals, !raises)
		})
	}
}

// TestVoteRecordsVotersInCoolDown checks that a vote for the usage tag lists the voters in cool-down, sorted
// and separated by commas, and that voters listed in a vote on disk are refused after a restart.
func TestVoteRecordsVotersInCoolDown(t *testing.T) {
	c := qt.New(t)
	group := newGroupFor(settings.UsageLease, false)
	untilRenewed := settings.Default().RenewEvery() + 100*time.Millisecond
	for range 2 {
		group.run(10*time.Second, true)
		group.run(untilRenewed, false)
		holder := group.voterAt("a" + group.holder())
		holder.leases.TransferAll(holder.env)
	}
	group.run(10*time.Second, true)
	group.run(untilRenewed, false)
	coolingDown := map[string]string{"1": "2,3", "2": "1,3", "3": "1,2"}
	for _, voter := range group.voters {
		c.Check(voter.votes[0].RecentHolders, qt.Equals, coolingDown[group.holder()])
	}

	acceptor := group.voterAt("a3")
	acceptor.votes = []message.Vote{{
		LeaseName: settings.UsageLease, Epoch: 50, Holder: "3", Identity: acceptor.state.Identity,
		PreviousHolder: "2", RecentHolders: "1,2",
	}}
	acceptor.boot()
	group.voterAt("a1").running, group.voterAt("a2").running = false, false
	group.run(acceptor.settings.Lease()+100*time.Millisecond, false)
	for _, address := range []string{"a1", "a2"} {
		c.Check(sendRequest(c, acceptor, newRequest(group.voterAt(address), settings.UsageLease, 100)), qt.Equals, "holder rest")
	}
}
