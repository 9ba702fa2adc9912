package checker

import (
	"math"
	"net/http"
	"time"
)

// checkAnswers checks what callers were told: what must not run twice did not, busy answers are
// true, and upstreams' answers are their own and come at once.
func (r *Review) checkAnswers(record Record, runs map[string][]Execution) {
	for _, request := range record.Requests {
		own := runs[request.ID]
		r.count(requestSent)
		if request.Once && len(own) > 1 {
			r.violate(ranTwice, "%s (%s) ran %d times", request.ID, request.Route, len(own))
		}
		switch {
		case request.Connection:
			r.count(noAnswer)
		case request.Code != 0 && request.Status == http.StatusServiceUnavailable:
			r.checkBusyAnswer(request, own)
		case request.Code == 0:
			r.checkUpstreamAnswer(record, request, own)
		default:
			r.count(otherAnswer)
			if request.Status >= http.StatusBadGateway {
				r.count(unknownOutcome)
			}
		}
	}
}

// checkBusyAnswer checks an answer that says that nothing ran.
func (r *Review) checkBusyAnswer(request CallerRequest, runs []Execution) {
	r.count(busyAnswer)
	if len(runs) > 0 {
		r.violate(busyRan, "%s was told busy (%d) and ran at %s", request.ID, request.Code, runs[0].Instance)
	}
	if !request.Retry {
		r.violate(noRetryAfter, "%s was told busy (%d) without Retry-After", request.ID, request.Code)
	}
}

// checkUpstreamAnswer checks an upstream's answer: one of the request's runs sent it, and it was not
// held back, unless a machine on its way was frozen or cut off.
func (r *Review) checkUpstreamAnswer(record Record, request CallerRequest, runs []Execution) {
	r.count(upstreamAnswer)
	own, excused := false, false
	delay := time.Duration(math.MaxInt64)
	for _, ran := range runs {
		if !ran.sent(request) {
			continue
		}
		own = true
		delay = min(delay, request.Done-ran.ResponseSent)
		excused = Within(record.Disconnected, request.Proxy, ran.ResponseSent, request.Done) ||
			Within(record.Disconnected, ran.ServingProxy, ran.ResponseSent, request.Done)
	}
	if !own {
		r.violate(foreignAnswer, "%s got status %d, mark %q and a body of %d bytes that no run of it sent",
			request.ID, request.Status, request.ResponseMark, len(request.Body))
		return
	}
	if excused {
		r.count(answerOverFailure)
		return
	}
	r.measure(answerHoldMS, float64(delay.Milliseconds()))
	if delay > record.Bounds.ResponseDelay {
		r.violate(answerHeldBack, "%s was held for %s", request.ID, delay)
	}
}

// sent reports whether this run sent, complete, the answer that the caller got.
func (ran Execution) sent(request CallerRequest) bool {
	return ran.Answer == request.Body && ran.Status == request.Status && ran.ResponseMark == request.ResponseMark && ran.ResponseSent > 0
}
