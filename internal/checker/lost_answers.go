package checker

import "time"

// gracefulStopLookback limits which requests checkGracefulStops attributes to a graceful stop: those
// sent less than this time before the signal.
const gracefulStopLookback = 10 * time.Second

// checkLostAnswers checks that a caller receives the answer that an upstream sent completely, unless a
// node on its path or the upstream failed.
func (r *Review) checkLostAnswers(record Record, runs map[string][]Execution) {
	for _, request := range record.Requests {
		if request.Code == 0 && !request.Connection {
			continue
		}
		for _, execution := range runs[request.ID] {
			if !sentBeforeOutcome(record.Bounds, request, execution) {
				continue
			}
			if record.failedDuring(request, execution) {
				r.count(answerLostInFailure)
				continue
			}
			r.addViolation(answerLost,
				"%s: %s sent the complete answer at %s, but the caller received status %d (code %d, connection error %t) at %s",
				request.ID, execution.Instance, execution.ResponseSent, request.Status, request.Code, request.Connection, request.Done)
		}
	}
}

// sentBeforeOutcome reports whether a run's answer was sent completely, and early enough before the
// caller received another outcome: by at least a quarter of Bounds.ResponseDelay.
func sentBeforeOutcome(bounds Bounds, request CallerRequest, execution Execution) bool {
	if execution.ResponseSent == 0 {
		return false
	}
	return request.Done <= 0 || execution.ResponseSent <= request.Done-bounds.ResponseDelay/4
}

// failedDuring reports whether the request's proxy, its serving proxy or the upstream was killed,
// frozen or disconnected between the sending of the request and the latest time at which the answer
// was due.
func (r Record) failedDuring(request CallerRequest, execution Execution) bool {
	deadline := execution.ResponseSent + r.Bounds.ResponseDelay
	for _, name := range []string{request.Proxy, execution.ServingProxy, execution.Instance} {
		if Within(r.Crashes, name, request.Sent, deadline) || Within(r.Disconnected, name, request.Sent, deadline) {
			return true
		}
	}
	return false
}

// checkGracefulStops checks that every request that was sent to a proxy before the signal of its
// graceful stop is answered.
func (r *Review) checkGracefulStops(record Record) {
	for _, stop := range record.Stopped {
		r.count(gracefulStop)
		for _, request := range record.Requests {
			sentBefore := stop.From - request.Sent
			unanswered := request.Connection && request.Done == 0
			if request.Proxy == stop.Name && unanswered && sentBefore > 0 && sentBefore < gracefulStopLookback {
				r.addViolation(answerLost, "%s was sent %s before the graceful stop of %s and never answered",
					request.ID, sentBefore, stop.Name)
			}
		}
	}
}
