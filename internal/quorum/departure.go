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
func (c *Core) Depart(s *statemachine.Env, requestID int64, answer any) {
	c.departure = &departure{requestID: requestID, answer: answer, deadline: s.Now}
	if c.quorum.handOver(s) {
		c.departure.deadline = s.Now + c.settings.HandOverLimit()
	}
	c.advanceDeparture(s)
}

func (c *Core) advanceDeparture(s *statemachine.Env) {
	if c.departure == nil {
		return
	}
	if s.Now < c.departure.deadline && !c.quorum.handedOver() {
		return
	}
	c.membership.Leave(s)
	s.Reply(c.departure.requestID, c.departure.answer)
	c.departure = nil
}
