package distribution

// This file is about answers that take long. A node that has no parent tries one after the
// other, each for a short while, since any of them may be dead. Where links are crowded no
// answer comes in that while: asking on would only add to what the links carry. So the while
// grows with each parent that was tried in vain, and an answer that comes late is taken,
// whoever the parent is by then: what it says is no less true.

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// patientTries is how many parents are tried before the time for each begins to grow.
const patientTries = 2

// ticksForgiven is how many ticks may pass without one before a node counts as held up.
const ticksForgiven = 2

// earlierRequest is a request to a parent that was left before it answered.
type earlierRequest struct {
	parent string
	at     time.Duration
}

// firstPatience is how long a new parent has to answer.
func (c *Distribution) firstPatience() time.Duration {
	patience := c.settings.UpdatesEvery()
	for range max(c.fruitless-patientTries, 0) {
		patience = min(patience*2, c.settings.Reparent())
	}
	return patience
}

// forgiveOwnLateness gives the parent more time when this node itself was held up: its own
// lateness is no silence of the parent's.
func (c *Distribution) forgiveOwnLateness(now time.Duration) {
	gap := now - c.tickedAt
	c.tickedAt = now
	if gap > c.settings.TickEvery()*ticksForgiven {
		c.answered = min(c.answered+gap, now)
	}
}

// forgetRequests begins anew with a parent; what the one before was asked is kept apart for
// as long as an answer may be on its way.
func (c *Distribution) forgetRequests(now time.Duration) {
	for round, request := range c.earlier {
		if now-request.at > c.settings.Reparent()*2 {
			delete(c.earlier, round)
		}
	}
	c.requests = map[int64]time.Duration{}
}

// leaveRequests notes what a parent that is left has not answered.
func (c *Distribution) leaveRequests() {
	for round, at := range c.requests {
		c.earlier[round] = earlierRequest{c.parent, at}
	}
	c.requests = map[int64]time.Duration{}
}

// takeLate takes what an earlier parent sends: whole contents and changes, but no parts.
func (c *Distribution) takeLate(s *statemachine.Env, response message.UpdatesResponse) {
	request, isAnswer := c.earlier[response.Round]
	isAnswer = isAnswer && request.parent == response.Parent
	if response.Refused {
		return
	}
	if isAnswer {
		delete(c.earlier, response.Round)
		c.fruitless = 0
	}
	for _, item := range response.Items {
		if !item.Snapshot || item.Offset == 0 && item.Total == int64(len(item.Body)) {
			c.take(s, item, request.at, isAnswer)
		}
	}
}
