package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// budgetFreeAttempts is the number of attempts that a request may make without spending the retry
// budget, while none of them has reached an upstream.
const budgetFreeAttempts = 4

// attemptStatus is the result of one attempt, as far as the proxy knows it.
type attemptStatus int

const (
	// statusNotSent means that the attempt has not reached an upstream and never will.
	statusNotSent attemptStatus = iota
	// statusRejected means that an upstream received the attempt and reported that it did not run.
	statusRejected
	// statusAnswered means that the upstream's complete answer has arrived.
	statusAnswered
	// statusUnknown means that the attempt has run, is running, or may run later.
	statusUnknown
)

// attemptStatusOf returns the status that an outcome describes. Unrecognized kinds count as unknown.
func attemptStatusOf(outcome message.Outcome) attemptStatus {
	switch {
	case outcome.Kind == message.Completed:
		return statusAnswered
	case outcome.Kind == message.NotStarted && outcome.ReachedUpstream:
		return statusRejected
	case outcome.Kind == message.NotStarted:
		return statusNotSent
	}
	return statusUnknown
}

// attemptEffect is the effect of an attempt's status on further attempts and on the answer.
type attemptEffect struct {
	usesUpstream bool // counts towards the route's maximum number of attempts
	mayHaveRun   bool // from now on, no answer may state that the request did not run
}

// attemptEffects lists the effect of each status.
var attemptEffects = map[attemptStatus]attemptEffect{
	statusNotSent:  {},
	statusRejected: {usesUpstream: true},
	statusAnswered: {usesUpstream: true, mayHaveRun: true},
	statusUnknown:  {usesUpstream: true, mayHaveRun: true},
}

// recordAttempt applies the status of an attempt to the request.
func (r *Request) recordAttempt(status attemptStatus) {
	effect := attemptEffects[status]
	if effect.usesUpstream {
		r.UpstreamAttempts++
	}
	r.MayHaveRun = r.MayHaveRun || effect.mayHaveRun
}

// provablyNotRun reports whether an answer may state that the request did not run.
func (r *Request) provablyNotRun() bool { return !r.MayHaveRun || !safeguard.NoPromiseAfterRun.On() }

// upstreamLimitReached reports whether the request has made the route's maximum number of attempts
// at upstreams.
func (r *Request) upstreamLimitReached() bool {
	return r.Route.MaxAttempts > 0 && r.UpstreamAttempts >= r.Route.MaxAttempts && safeguard.MostUpstreams.On()
}

// decideRetry returns the final answer after an attempt without an upstream's answer, or nil for
// another attempt. No other function decides on retries. It implements the table "After an attempt"
// of docs/request-safety.md.
func (f *Frontend) decideRetry(now time.Duration, request *Request, status attemptStatus, code errcode.Code) *Response {
	if status == statusUnknown {
		if request.Route.AtMostOnce && safeguard.OnceOnly.On() || now >= request.Deadline {
			return NewRefusal(codeForUnknownStatus(code))
		}
	} else {
		if now >= request.Deadline || code == errcode.BusyDeadline {
			return request.refuse(errcode.BusyDeadline)
		}
		if code.Status() != http.StatusServiceUnavailable {
			return request.refuse(code)
		}
	}
	switch {
	case request.upstreamLimitReached():
		return request.refuse(code)
	case f.settings.ProofByTarget() && request.UpstreamAttempts == 0 && request.Attempts < budgetFreeAttempts:
		// The attempt put no load on an upstream, so the retry budget isn't charged.
		return nil
	case !f.spendRetry(now, request.Service):
		return request.refuse(errcode.BusyBudget)
	}
	return nil
}

// codeForUnknownStatus returns the code for the caller of a request that may have run. It replaces
// codes that state that the request did not run.
func codeForUnknownStatus(code errcode.Code) errcode.Code {
	if code == errcode.OK || code.Status() == http.StatusServiceUnavailable {
		return errcode.UnknownOutcome
	}
	return code
}

// refuse returns the answer to a request that gets no further attempt. The answer states that the
// request did not run only if no attempt may have run.
func (r *Request) refuse(code errcode.Code) *Response {
	if !r.provablyNotRun() {
		return NewRefusal(errcode.UnknownOutcome)
	}
	return NewRefusal(code)
}
