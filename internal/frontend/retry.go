// This file is the one place that decides, after an attempt, what becomes of a request:
// its final answer, or another attempt. It mirrors the table "After an attempt" of
// docs/request-safety.md. An attempt has one of four endings. Two of them say that the
// request did not run, and never will, by that attempt; one is the upstream's answer;
// after the last nobody knows.

package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// Ending is what a proxy knows of a request after one attempt.
type Ending int

// The endings of an attempt.
const (
	// NeverOffered: no upstream has seen the attempt, and none will.
	NeverOffered Ending = iota
	// TurnedAway: an upstream has seen it, and said that it has not run it.
	TurnedAway
	// Answered: the upstream's own whole answer is here.
	Answered
	// Unsure: it has run, runs, or may yet run.
	Unsure
)

// EndingOf reads an outcome; whatever it does not know counts as unsure.
func EndingOf(outcome message.Outcome) Ending {
	switch {
	case outcome.Kind == message.Completed:
		return Answered
	case outcome.Kind == message.NotStarted && outcome.ReachedUpstream:
		return TurnedAway
	case outcome.Kind == message.NotStarted:
		return NeverOffered
	}
	return Unsure
}

// consequence is what an ending means for the attempts that may follow.
type consequence struct {
	offered bool // it has used up one of the upstreams that the route allows
	mayRun  bool // from now on nobody may be told that the request has not run
	once    bool // a request that may run only once may go on
}

var consequences = map[Ending]consequence{
	NeverOffered: {once: true},
	TurnedAway:   {offered: true, once: true},
	Answered:     {offered: true, mayRun: true},
	Unsure:       {offered: true, mayRun: true},
}

// note takes an ending into the request.
func (r *Request) note(ending Ending) {
	meaning := consequences[ending]
	if meaning.offered {
		r.Sent++
	}
	r.Started = r.Started || meaning.mayRun
}

// promised: the request may still be told that it has not run.
func (r *Request) promised() bool { return !r.Started || !safeguard.NoPromiseAfterRun.On() }

// mostReached: no further upstream may be offered the request.
func (r *Request) mostReached() bool {
	return r.Route.MaxAttempts > 0 && r.Sent >= r.Route.MaxAttempts && safeguard.MostUpstreams.On()
}

// afterAttempt gives the final answer after an attempt that brought none, or nil for
// another attempt.
func (f *Frontend) afterAttempt(now time.Duration, request *Request, ending Ending, code errcode.Code) *Response {
	unsure := code
	if code == errcode.OK || ending != Unsure || code.Status() == http.StatusServiceUnavailable {
		// Nothing that promises "not run" is said of a request that may have run.
		unsure = errcode.UnknownOutcome
	}
	switch {
	case ending == Unsure && (request.Route.AtMostOnce && safeguard.OnceOnly.On() || now >= request.Deadline):
		return NewRefusal(unsure)
	case ending != Unsure && (now >= request.Deadline || code == errcode.BusyDeadline):
		return f.giveUp(request, errcode.BusyDeadline)
	case ending != Unsure && code.Status() != http.StatusServiceUnavailable:
		return f.giveUp(request, code)
	case request.mostReached():
		return f.giveUp(request, code)
	case f.settings.ByTarget() && request.Sent == 0 && request.Attempts < looks:
		// No upstream has seen it, so nothing is spent.
		return nil
	case !f.mayRetry(now, request.Service):
		return f.giveUp(request, errcode.BusyBudget)
	}
	return nil
}

// giveUp ends a request that gets no further attempt: with a promise that it has not run
// only while that is so.
func (f *Frontend) giveUp(request *Request, code errcode.Code) *Response {
	if !request.promised() {
		return NewRefusal(errcode.UnknownOutcome)
	}
	return NewRefusal(code)
}
