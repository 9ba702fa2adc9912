package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// freeAttempts is how many attempts a request has that no upstream has seen before retries of it
// draw on the retry budget.
const freeAttempts = 4

// attemptStatus is what a proxy knows of a request after one attempt.
type attemptStatus int

const (
	// statusNotSent: no upstream has seen the attempt, and none will.
	statusNotSent attemptStatus = iota
	// statusRejected: an upstream has seen it, and said that it has not run it.
	statusRejected
	// statusAnswered: the upstream's own whole answer is here.
	statusAnswered
	// statusUnknown: it has run, runs, or may yet run.
	statusUnknown
)

// attemptStatusOf reads an outcome. Whatever it does not know counts as unknown.
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

// attemptEffect is what the status of an attempt means for those that may follow.
type attemptEffect struct {
	usesUpstream bool // it has used up one of the upstreams that the route allows
	mayHaveRun   bool // from now on nobody may be told that the request has not run
}

var attemptEffects = map[attemptStatus]attemptEffect{
	statusNotSent:  {},
	statusRejected: {usesUpstream: true},
	statusAnswered: {usesUpstream: true, mayHaveRun: true},
	statusUnknown:  {usesUpstream: true, mayHaveRun: true},
}

// recordAttempt notes the status of an attempt in the request.
func (r *Request) recordAttempt(status attemptStatus) {
	effect := attemptEffects[status]
	if effect.usesUpstream {
		r.UpstreamAttempts++
	}
	r.MayHaveRun = r.MayHaveRun || effect.mayHaveRun
}

// provablyNotRun reports whether the caller may still be told that the request has not run.
func (r *Request) provablyNotRun() bool { return !r.MayHaveRun || !safeguard.NoPromiseAfterRun.On() }

// upstreamLimitReached reports whether no further upstream may be offered the request.
func (r *Request) upstreamLimitReached() bool {
	return r.Route.MaxAttempts > 0 && r.UpstreamAttempts >= r.Route.MaxAttempts && safeguard.MostUpstreams.On()
}

// decideRetry returns the final answer after an attempt that brought none, or nil for another
// attempt. It is the only place that decides on another attempt; the table "After an attempt" of
// docs/request-safety.md says the same.
func (f *Frontend) decideRetry(now time.Duration, request *Request, status attemptStatus, code errcode.Code) *Response {
	if status == statusUnknown {
		if request.Route.AtMostOnce && safeguard.OnceOnly.On() || now >= request.Deadline {
			return NewRefusal(unknownStatusCode(code))
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
	case f.settings.ProofByTarget() && request.UpstreamAttempts == 0 && request.Attempts < freeAttempts:
		// No upstream has seen it, so nothing is spent.
		return nil
	case !f.spendRetry(now, request.Service):
		return request.refuse(errcode.BusyBudget)
	}
	return nil
}

// unknownStatusCode is what the caller of a request that may have run is told. A code that
// promises that it has not run is replaced.
func unknownStatusCode(code errcode.Code) errcode.Code {
	if code == errcode.OK || code.Status() == http.StatusServiceUnavailable {
		return errcode.UnknownOutcome
	}
	return code
}

// refuse ends a request that gets no further attempt. Its answer promises that the request has
// not run only while that is so.
func (r *Request) refuse(code errcode.Code) *Response {
	if !r.provablyNotRun() {
		return NewRefusal(errcode.UnknownOutcome)
	}
	return NewRefusal(code)
}
