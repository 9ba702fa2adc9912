package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// becomesCurrentWithSlowAnswers runs a node whose parents answer after answerDelay, and reports whether
// its configuration is current within limit.
func becomesCurrentWithSlowAnswers(c *qt.C, seed uint64, answerDelay, limit time.Duration) (current bool) {
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
			due = append(due, answer{tree.env.Now + answerDelay, testResponse(request.Round, []string{sent.To}, configurationItem(2))})
		}
		_, current = tree.distribution.FreshAt(ConfigurationTopic("main"))
	}
	return current
}

// Answers that arrive after the limit for a new parent's first answer are still applied: the node is
// current as soon as the first one arrives.
func TestLateAnswersAreApplied(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		cfg := newTestTree(c, seed, "near").settings
		answerDelay := cfg.UpdatesEvery() * 3
		current := becomesCurrentWithSlowAnswers(c, seed, answerDelay, answerDelay+cfg.UpdatesEvery())
		c.Assert(current, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// The limit for a new parent's first answer grows with the number of consecutive parents that did not
// answer.
func TestFirstAnswerLimitGrowsWithUnansweredParents(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	first := tree.distribution.selection.firstAnswerLimit()
	c.Assert(first, qt.Equals, tree.settings.UpdatesEvery())
	tree.distribution.selection.unanswered = answerLimitGrowthAfter
	c.Assert(tree.distribution.selection.firstAnswerLimit(), qt.Equals, first)
	tree.distribution.selection.unanswered = answerLimitGrowthAfter + 2
	c.Assert(tree.distribution.selection.firstAnswerLimit(), qt.Equals, first*4)
	tree.distribution.selection.unanswered = 100
	c.Assert(tree.distribution.selection.firstAnswerLimit(), qt.Equals, tree.settings.ReparentAfter())
}

// A node whose own ticks were delayed right after it asked a new parent does not leave the parent,
// because the answer may already have arrived.
func TestOwnDelayIsNotCountedAgainstTheParent(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		tree := newTestTree(c, seed, "near", "far")
		tree.distribution.Tick(tree.env)
		tree.env.Drain()
		parentBefore, _, changesBefore := tree.distribution.Parent()
		c.Assert(parentBefore, qt.Not(qt.Equals), "")
		tree.env.Now += tree.settings.UpdatesEvery() * 3
		tree.distribution.Tick(tree.env)
		parentAfter, _, changesAfter := tree.distribution.Parent()
		c.Assert(parentAfter, qt.Equals, parentBefore, qt.Commentf("seed %d", seed))
		c.Assert(changesAfter, qt.Equals, changesBefore)
	}
}
