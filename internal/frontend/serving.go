package frontend

import (
	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// HandleFrame takes a frame from another proxy, or from this one, as the serving proxy of the
// upstreams here. Replies go back through reply. It returns false for frames that are not part of
// the traffic of requests.
func (d *Dispatcher) HandleFrame(msg any, reply func(msg any) error) bool {
	switch frame := msg.(type) {
	case message.Forward:
		d.handleForward(frame, reply)
	case message.OutcomeRequest:
		d.handleOutcomeRequest(frame, reply)
	case message.Cancel:
		d.handleWithdraw(frame)
	default:
		return false
	}
	return true
}

// deliverLocally passes a frame to this proxy's own backend.
func (d *Dispatcher) deliverLocally(frame any) {
	d.HandleFrame(frame, func(reply any) error {
		d.handleReply(reply)
		return nil
	})
}

func (d *Dispatcher) handleForward(forward message.Forward, reply func(msg any) error) {
	d.noteReply(forward.ID, reply)
	d.execute(d.serving.HandleForward(d.environment.Now(), forward))
}

// handleOutcomeRequest tells a proxy that lost its connection what became of an attempt. Where
// there is no outcome yet, the proxy gets it later.
func (d *Dispatcher) handleOutcomeRequest(request message.OutcomeRequest, reply func(msg any) error) {
	if request.ServingProxyStartTime != d.birth && safeguard.OtherLife.On() {
		// The attempt was sent to an earlier run of this process.
		sendReply(reply, unknownOutcome(request.ID))
		return
	}
	// Noted before the backend is asked, since the outcome may come at that very moment.
	d.noteReply(request.ID, reply)
	outcome := d.serving.Outcome(d.environment.Now(), request.ID)
	if outcome.Kind != message.StillRunning {
		d.takeReply(request.ID)
	}
	sendReply(reply, outcome)
}

func (d *Dispatcher) handleWithdraw(withdrawal message.Cancel) {
	decisions, cancel := d.serving.Withdraw(withdrawal.ID)
	d.execute(decisions)
	if cancel {
		d.environment.Cancel(withdrawal.ID)
	}
}

// noteReply keeps the way back for an attempt's outcome. A later asking replaces an earlier one.
func (d *Dispatcher) noteReply(attemptID string, reply func(msg any) error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.replies[attemptID] = reply
}

// takeReply returns the way back for an attempt's outcome, and forgets it.
func (d *Dispatcher) takeReply(attemptID string) func(msg any) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	reply := d.replies[attemptID]
	delete(d.replies, attemptID)
	return reply
}

// sendReply sends an outcome back. The encoding wants lists that are not nil. An error needs no
// answer here: the other side sees its connection break, and asks again.
func sendReply(reply func(msg any) error, outcome message.Outcome) {
	if outcome.Headers == nil {
		outcome.Headers = []message.HeaderLine{}
	}
	if outcome.Body == nil {
		outcome.Body = []byte{}
	}
	_ = reply(outcome)
}

// execute carries out the backend's decisions: refusals are sent back, and what is to start goes
// to StageStart. A full queue refuses at once.
func (d *Dispatcher) execute(decisions []backend.Decision) {
	for _, decision := range decisions {
		if !decision.Start {
			d.Complete(decision, message.Outcome{Kind: message.NotStarted, Code: int64(decision.Code)})
			continue
		}
		if d.settings.CountsBegun() {
			decision.Window = d.frontend.countStarted(d.wallClock(), decision.Forward.Tenant)
		}
		if !d.environment.Enqueue(StageStart, decision) {
			d.Complete(decision, message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyQueueFull)})
		}
	}
}

// Complete takes the outcome of a decision: it is sent back, and what may start next is started.
func (d *Dispatcher) Complete(decision backend.Decision, outcome message.Outcome) {
	if decision.Start && outcome.Kind == message.NotStarted && d.settings.CountsBegun() {
		d.frontend.uncountStarted(decision.Window, decision.Forward.Tenant)
	}
	outcome, next := d.serving.Complete(d.environment.Now(), decision, outcome)
	if reply := d.takeReply(outcome.ID); reply != nil {
		sendReply(reply, outcome)
	}
	d.execute(next)
}

// Expire refuses queued requests whose time is up. It is called in steady steps.
func (d *Dispatcher) Expire() { d.execute(d.serving.Expire(d.environment.Now())) }

// Drain refuses all that has not started at the upstreams here, from now on.
func (d *Dispatcher) Drain() { d.execute(d.serving.Drain()) }
