package quorum

import (
	"time"

	"beaconvane/internal/statemachine"
)

// departure is a graceful stop under way. The request for it is answered when the process may end.
type departure struct {
	requestID int64
	answer    any
	deadline  time.Duration // the process ends then, also if its voter isn't handed over
}

// Depart begins a graceful stop: the voter is handed over to another process, where there is one, before the
// members are told that this node leaves. The answer goes out when the process may end.
func (c *ControlBase) Depart(env *statemachine.Env, requestID int64, answer any) {
	c.departure = &departure{requestID: requestID, answer: answer, deadline: env.Now}
	if c.quorum.handOver(env) {
		c.departure.deadline = env.Now + c.settings.HandoverTimeout()
	}
	c.advanceDeparture(env)
}

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
