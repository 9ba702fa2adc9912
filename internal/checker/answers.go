package checker

import (
	"math"
	"net/http"
	"time"
)

// checkAnswers checks the answers that callers received: a request marked "once" ran at most once, a
// request that was answered as busy ran nowhere, and an upstream's answer is that of one of the
// request's runs and was delivered without delay.
func (r *Review) checkAnswers(record Record, runs map[string][]Execution) {
	for _, request := range record.Requests {
		executions := runs[request.ID]
		r.count(requestSent)
		if request.Once && len(executions) > 1 {
			r.addViolation(onceRequestRanTwice, "%s (%s) ran %d times", request.ID, request.Route, len(executions))
		}
		switch {
		case request.Connection:
			r.count(connectionError)
		case request.Code != 0 && request.Status == http.StatusServiceUnavailable:
			r.checkBusyAnswer(request, executions)
		case request.Code == 0:
			r.checkUpstreamAnswer(record, request, executions)
		default:
			r.count(otherAnswer)
			if request.Status >= http.StatusBadGateway {
				r.count(unknownOutcome)
			}
		}
	}
}

// checkBusyAnswer checks a busy answer, by which the mesh reports that the request did not run.
func (r *Review) checkBusyAnswer(request CallerRequest, runs []Execution) {
	r.count(busyAnswer)
	if len(runs) > 0 {
		r.addViolation(busyRequestRan, "%s was answered as busy (%d), but ran at %s", request.ID, request.Code, runs[0].Instance)
	}
	if !request.Retry {
		r.addViolation(noRetryAfter, "%s was answered as busy (%d) without a Retry-After header", request.ID, request.Code)
	}
}

// checkUpstreamAnswer checks an upstream's answer: one of the request's runs sent it, and it reached
// the caller within Bounds.ResponseDelay, unless a proxy on its path was frozen or disconnected.
func (r *Review) checkUpstreamAnswer(record Record, request CallerRequest, runs []Execution) {
	r.count(upstreamAnswer)
	matched, failedMeanwhile := false, false
	delay := time.Duration(math.MaxInt64)
	for _, execution := range runs {
		if !execution.produced(request) {
			continue
		}
		matched = true
		delay = min(delay, request.Done-execution.ResponseSent)
		failedMeanwhile = Within(record.Disconnected, request.Proxy, execution.ResponseSent, request.Done) ||
			Within(record.Disconnected, execution.ServingProxy, execution.ResponseSent, request.Done)
	}
	if !matched {
		r.addViolation(answerOfNoRun, "%s received status %d, mark %q and a body of %d bytes, which none of its runs sent",
			request.ID, request.Status, request.ResponseMark, len(request.Body))
		return
	}
	if failedMeanwhile {
		r.count(answerDuringFailure)
		return
	}
	r.recordWorst(answerDelayMS, float64(delay.Milliseconds()))
	if delay > record.Bounds.ResponseDelay {
		r.addViolation(answerDelayed, "%s received its answer %s after it was sent, bound %s",
			request.ID, delay, record.Bounds.ResponseDelay)
	}
}

// produced reports whether this run sent, completely, the answer that the caller received.
func (e Execution) produced(request CallerRequest) bool {
	return e.Answer == request.Body && e.Status == request.Status && e.ResponseMark == request.ResponseMark && e.ResponseSent > 0
}
