package frontend

import (
	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
	"beaconvane/internal/transport"
)

// HandleFrame processes a frame that another proxy, or this one, sent to this proxy as a serving
// proxy. Replies are sent with reply. It returns false if the frame is not request traffic.
func (d *Dispatcher) HandleFrame(msg any, reply func(msg any) error) bool {
	switch frame := msg.(type) {
	case message.Forward:
		d.handleForward(frame, reply)
	case message.OutcomeRequest:
		d.handleOutcomeRequest(frame, reply)
	case message.Cancel:
		d.handleCancel(frame)
	default:
		return false
	}
	return true
}

// deliverLocally passes a frame to the backend of this proxy.
func (d *Dispatcher) deliverLocally(frame any) {
	d.HandleFrame(frame, func(reply any) error {
		d.handleReply(reply)
		return nil
	})
}

// handleForward passes a forwarded request to the backend and executes the resulting decisions.
func (d *Dispatcher) handleForward(forward message.Forward, reply func(msg any) error) {
	d.registerReply(forward.ID, reply)
	d.execute(d.serving.HandleForward(d.environment.Now(), forward))
}

// handleOutcomeRequest sends the outcome of an attempt to a proxy whose connection was lost. If the
// attempt is still running, it replies so and sends the outcome once the attempt has ended.
func (d *Dispatcher) handleOutcomeRequest(request message.OutcomeRequest, reply func(msg any) error) {
	if request.ServingProxyStartTime != d.processStartTime && safeguard.OtherLife.On() {
		// The attempt was sent to an earlier run of this process.
		sendReply(reply, unknownOutcome(request.ID))
		return
	}
	// Registered before the backend is queried, since the attempt may complete concurrently.
	d.registerReply(request.ID, reply)
	outcome := d.serving.Outcome(d.environment.Now(), request.ID)
	if outcome.Kind != message.StillRunning {
		d.takeReply(request.ID)
	}
	sendReply(reply, outcome)
}

// handleCancel removes a queued attempt, or aborts a running one if the backend allows it.
func (d *Dispatcher) handleCancel(cancellation message.Cancel) {
	decisions, cancel := d.serving.Withdraw(cancellation.ID)
	d.execute(decisions)
	if cancel {
		d.environment.Cancel(cancellation.ID)
	}
}

// registerReply stores the function that sends an attempt's outcome. It replaces an earlier one.
func (d *Dispatcher) registerReply(attemptID string, reply func(msg any) error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.replies[attemptID] = reply
}

// takeReply removes and returns the function that sends an attempt's outcome, or nil.
func (d *Dispatcher) takeReply(attemptID string) func(msg any) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	reply := d.replies[attemptID]
	delete(d.replies, attemptID)
	return reply
}

// sendReply sends an outcome to the caller's proxy. The encoding requires non-nil lists. Errors are
// ignored: the other side detects the broken connection and sends an outcome request.
func sendReply(reply func(msg any) error, outcome message.Outcome) {
	if outcome.Headers == nil {
		outcome.Headers = []message.HeaderLine{}
	}
	if outcome.Body == nil {
		outcome.Body = []byte{}
	}
	_ = reply(outcome)
}

// execute executes the backend's decisions: it sends refusals, and enqueues requests that may start
// for StageStart. If that queue is full, the request is refused.
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

// Complete sends the outcome of a decision to the caller's proxy, and executes the decisions that
// follow from the freed slot.
func (d *Dispatcher) Complete(decision backend.Decision, outcome message.Outcome) {
	if decision.Start && outcome.Kind == message.NotStarted && d.settings.CountsBegun() {
		d.frontend.uncountStarted(decision.Window, decision.Forward.Tenant)
	}
	outcome, next := d.serving.Complete(d.environment.Now(), decision, outcome)
	if len(outcome.Body) >= transport.LargeFrameBytes {
		// The reply waits until it was written.
		d.execute(next)
		next = nil
	}
	d.forwardEnded(outcome.ID)
	if reply := d.takeReply(outcome.ID); reply != nil {
		sendReply(reply, outcome)
	}
	d.execute(next)
}

// Expire refuses expired queued requests. It is called periodically.
func (d *Dispatcher) Expire() { d.execute(d.serving.Expire(d.environment.Now())) }

// Drain refuses, from now on, all requests that have not started at this proxy's upstreams.
func (d *Dispatcher) Drain() { d.execute(d.serving.Drain()) }
