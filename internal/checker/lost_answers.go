package checker

import "time"

// stopReach is how long before a polite stop a request may have been sent to be held against it.
const stopReach = 10 * time.Second

// checkLostAnswers checks that a caller gets the answer that an upstream sent completely, unless a
// machine on its way failed.
func (r *Review) checkLostAnswers(record Record, runs map[string][]Execution) {
	for _, request := range record.Requests {
		if request.Code == 0 && !request.Connection {
			continue
		}
		for _, ran := range runs[request.ID] {
			if !answeredInTime(record.Bounds, request, ran) {
				continue
			}
			if record.failedMeanwhile(request, ran) {
				r.count(answerLostWithMachine)
				continue
			}
			r.violate(answerLost, "%s was answered whole by %s at %s and its caller got %d (%d), connection %t, at %s",
				request.ID, ran.Instance, ran.ResponseSent, request.Status, request.Code, request.Connection, request.Done)
		}
	}
}

// answeredInTime reports whether a run's answer was sent completely, and clearly before the caller
// was told something else.
func answeredInTime(bounds Bounds, request CallerRequest, ran Execution) bool {
	if ran.ResponseSent == 0 {
		return false
	}
	return request.Done <= 0 || ran.ResponseSent <= request.Done-bounds.ResponseDelay/4
}

// failedMeanwhile reports whether the request's proxy, its serving proxy or the upstream was killed,
// frozen or cut off while the request was under way.
func (record Record) failedMeanwhile(request CallerRequest, ran Execution) bool {
	until := ran.ResponseSent + record.Bounds.ResponseDelay
	for _, name := range []string{request.Proxy, ran.ServingProxy, ran.Instance} {
		if Within(record.Crashes, name, request.Sent, until) || Within(record.Disconnected, name, request.Sent, until) {
			return true
		}
	}
	return false
}

// checkPoliteStops checks that a polite stop loses no request that was sent before the signal.
func (r *Review) checkPoliteStops(record Record) {
	for _, stop := range record.Stopped {
		r.count(politeStop)
		for _, request := range record.Requests {
			sentBefore := stop.From - request.Sent
			unanswered := request.Connection && request.Done == 0
			if request.Proxy == stop.Name && unanswered && sentBefore > 0 && sentBefore < stopReach {
				r.violate(answerLost, "%s, sent %s before %s was stopped, was never answered", request.ID, sentBefore, stop.Name)
			}
		}
	}
}
