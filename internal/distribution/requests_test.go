package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// slowAnswers plays a node whose parents answer after a while each, and says whether it has
// the configuration current in time.
func slowAnswers(c *qt.C, seed uint64, slow, limit time.Duration) (current bool) {
	tree := newTestTree(c, seed, "near", "far")
	type answer struct {
		at       time.Duration
		response message.UpdatesResponse
	}
	due := []answer{}
	for end := tree.env.Now + limit; tree.env.Now < end && !current; tree.env.Now += tree.settings.TickEvery() {
		tree.distribution.Tick(tree.env)
		for len(due) > 0 && due[0].at <= tree.env.Now {
			tree.distribution.Handle(tree.env, due[0].response.Parent, due[0].response)
			due = due[1:]
		}
		for _, effect := range tree.env.Drain() {
			sent, _ := effect.(statemachine.Send)
			request, isRequest := sent.Message.(message.UpdatesRequest)
			if !isRequest {
				continue
			}
			due = append(due, answer{tree.env.Now + slow, testResponse(request.Round, []string{sent.To}, configurationItem(2))})
		}
		_, current = tree.distribution.FreshAt(ConfigurationTopic("main"))
	}
	return current
}

// Every answer comes later than a new parent is waited for at first: the node has the configuration
// all the same, as soon as the first answer is there.
func TestLateAnswersAreTaken(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		cfg := newTestTree(c, seed, "near").settings
		slow := cfg.UpdatesEvery() * 3
		c.Assert(slowAnswers(c, seed, slow, slow+cfg.UpdatesEvery()), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// A new parent is waited for longer with each that never answered.
func TestFirstAnswerLimitGrowsWithUnansweredParents(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	first := tree.distribution.selection.firstAnswerLimit()
	c.Assert(first, qt.Equals, tree.settings.UpdatesEvery())
	tree.distribution.selection.unanswered = constantAnswerLimits
	c.Assert(tree.distribution.selection.firstAnswerLimit(), qt.Equals, first)
	tree.distribution.selection.unanswered = constantAnswerLimits + 2
	c.Assert(tree.distribution.selection.firstAnswerLimit(), qt.Equals, first*4)
	tree.distribution.selection.unanswered = 100
	c.Assert(tree.distribution.selection.firstAnswerLimit(), qt.Equals, tree.settings.ReparentAfter())
}

// A node that was held up itself, right after it asked a new parent, does not leave that one: the
// answer may be waiting for it.
func TestOwnDelayIsNotCountedAgainstTheParent(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		tree := newTestTree(c, seed, "near", "far")
		tree.distribution.Tick(tree.env)
		tree.env.Drain()
		asked, _, moves := tree.distribution.Parent()
		c.Assert(asked, qt.Not(qt.Equals), "")
		tree.env.Now += tree.settings.UpdatesEvery() * 3
		tree.distribution.Tick(tree.env)
		parent, _, later := tree.distribution.Parent()
		c.Assert(parent, qt.Equals, asked, qt.Commentf("seed %d", seed))
		c.Assert(later, qt.Equals, moves)
	}
}
