package quorum

import (
	"time"

	"beaconvane/internal/statemachine"
)

// departure is a graceful stop in progress. The request for it is answered when the process may exit.
type departure struct {
	requestID int64
	answer    any
	deadline  time.Duration // when the process may exit even if its voter has not been handed over
}

// Depart begins a graceful stop. The voter is first handed over to another process, if one is eligible, for at most
// HandoverTimeout; then this node leaves the membership and the answer is sent, after which the process may exit.
func (c *ControlBase) Depart(env *statemachine.Env, requestID int64, answer any) {
	c.departure = &departure{requestID: requestID, answer: answer, deadline: env.Now}
	if c.quorum.handOver(env) {
		c.departure.deadline = env.Now + c.settings.HandoverTimeout()
	}
	c.advanceDeparture(env)
}

// advanceDeparture completes a departure once the voter is handed over or the deadline has passed.
func (c *ControlBase) advanceDeparture(env *statemachine.Env) {
	if c.departure == nil {
		return
	}
	if env.Now < c.departure.deadline && !c.quorum.handedOver() {
		return
	}
	c.membership.Leave(env)
	env.Reply(c.departure.requestID, c.departure.answer)
	c.departure = nil
}
