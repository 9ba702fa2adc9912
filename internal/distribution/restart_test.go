package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// firstRequest returns the first request of a node that has just started, and when it was sent.
func (tree *testTree) firstRequest() (message.UpdatesRequest, time.Duration) {
	for range 1000 {
		tree.distribution.Tick(tree.env)
		for _, effect := range tree.env.Drain() {
			sent, _ := effect.(statemachine.Send)
			if request, isRequest := sent.Message.(message.UpdatesRequest); isRequest {
				return request, tree.env.Now
			}
		}
		tree.env.Now += tree.settings.TickEvery()
	}
	tree.c.Fatal("no request")
	return message.UpdatesRequest{}, 0
}

// An answer to a request of a proxy's earlier run doesn't make the content current after its restart: the
// age in it counts from that request, which was sent earlier.
func TestAnswerToAnEarlierRunIsNotFresh(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		earlier := newTestTree(c, seed, "near")
		request, _ := earlier.firstRequest()
		restarted := newTestTree(c, seed+1000, "near")
		own, sentAt := restarted.firstRequest()
		restarted.distribution.Handle(restarted.env, "near", testResponse(request.Round, []string{"near"}, configurationItem(2)))
		_, fresh := restarted.distribution.FreshAt(ConfigurationTopic("main"))
		c.Assert(fresh, qt.IsFalse, qt.Commentf("seed %d", seed))
		restarted.distribution.Handle(restarted.env, "near", testResponse(own.Round, []string{"near"}, configurationItem(2)))
		freshAt, fresh := restarted.distribution.FreshAt(ConfigurationTopic("main"))
		c.Assert(fresh, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Assert(freshAt, qt.Equals, sentAt)
	}
}

// A subscriber that restarted has lost the updates in transit to it, so they are sent again; its rounds may
// then be higher than before, or lower.
func TestRestartedSubscriberGetsUpdatesAgain(t *testing.T) {
	c := qt.New(t)
	const round = int64(1) << 40
	update := message.UpdateItem{Position: message.Position{Topic: ConfigurationTopic("main"), Seq: 7}, Snapshot: true}
	for next, again := range map[int64]bool{
		round + 1:            false,
		round + 1000:         false,
		round - 1:            true,
		round + 1<<33:        true,
		round + int64(1)<<61: true,
	} {
		child := &subscriber{}
		child.update(time.Second, "a", message.UpdatesRequest{Round: round})
		c.Assert(child.beginDelivery(time.Second, update, time.Minute), qt.IsTrue)
		child.update(2*time.Second, "a", message.UpdatesRequest{Round: next})
		c.Check(child.beginDelivery(2*time.Second, update, time.Minute), qt.Equals, again, qt.Commentf("round %d", next))
	}
}
