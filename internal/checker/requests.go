package checker

import (
	"net/http"
	"time"
)

// requests checks what callers were told: nothing that must not run twice did, busy answers are
// true, and whole answers are an upstream's own and come at once.
func (r *Review) requests(record Record, runs map[string][]Ran) {
	for _, request := range record.Asked {
		mine := runs[request.ID]
		r.Seen["asked"]++
		if request.Once && len(mine) > 1 {
			r.add("once", "%s (%s) ran %d times", request.ID, request.Route, len(mine))
		}
		switch {
		case request.Connection:
			r.Seen["no answer"]++
		case request.Code != 0 && request.Status == http.StatusServiceUnavailable:
			r.busy(request, mine)
		case request.Code == 0:
			r.answered(record, request, mine)
		default:
			r.Seen["refused or unknown"]++
			if request.Status >= http.StatusBadGateway {
				r.Seen["unknown"]++
			}
		}
	}
}

// busy checks an answer that says that nothing ran.
func (r *Review) busy(request Asked, runs []Ran) {
	r.Seen["busy"]++
	if len(runs) > 0 {
		r.add("busy-ran", "%s was told busy (%d) and ran at %s", request.ID, request.Code, runs[0].Instance)
	}
	if !request.Retry {
		r.add("retry-after", "%s was told busy (%d) without Retry-After", request.ID, request.Code)
	}
}

// answered checks an upstream's answer: one of the request's runs sent it, and it was not held
// back, unless a machine on its way was frozen or cut off.
func (r *Review) answered(record Record, request Asked, runs []Ran) {
	r.Seen["answered"]++
	own, excused := false, false
	held := time.Duration(1 << 62)
	for _, ran := range runs {
		if !ran.sent(request) {
			continue
		}
		own = true
		held = min(held, request.Done-ran.Whole)
		excused = Within(record.Held, request.Proxy, ran.Whole, request.Done) ||
			Within(record.Held, ran.ServingProxy, ran.Whole, request.Done)
	}
	if !own {
		r.add("own-answer", "%s got status %d, mark %q and a body of %d bytes that no run of it sent",
			request.ID, request.Status, request.Mark, len(request.Body))
		return
	}
	if excused {
		r.Seen["answers over a frozen or cut machine"]++
		return
	}
	r.worst("answer-hold-ms", float64(held.Milliseconds()))
	if held > record.Bounds.AnswerHold {
		r.add("answer-hold", "%s was held for %s", request.ID, held)
	}
}

// sent says whether this run sent, whole, the answer that the caller got.
func (ran Ran) sent(request Asked) bool {
	return ran.Answer == request.Body && ran.Status == request.Status && ran.Mark == request.Mark && ran.Whole > 0
}

// runs checks each run at an upstream: it was asked for, allowed, and names tenant and caller but
// not the key.
func (r *Review) runs(record Record, asked map[string]Asked) {
	allowed := map[string]bool{}
	for _, write := range record.Writes {
		for route, service := range write.Services {
			allowed[route+">"+service] = true
		}
	}
	for _, ran := range record.Ran {
		r.Seen["ran"]++
		request, known := asked[ran.ID]
		if !known {
			r.add("stray", "%s ran unknown request %q", ran.Instance, ran.ID)
			continue
		}
		if ran.Tenant != request.Tenant || ran.Caller != request.Caller {
			r.add("identity", "%s ran as tenant %q caller %q, want %q %q", ran.ID, ran.Tenant, ran.Caller, request.Tenant, request.Caller)
		}
		if ran.KeySeen {
			r.add("key-seen", "%s showed the key to %s", ran.ID, ran.Instance)
		}
		if ran.Service != request.Service || len(allowed) > 0 && !allowed[request.Route+">"+ran.Service] {
			r.add("landing", "%s for %s landed at %s %s", ran.ID, request.Service, ran.Service, ran.Address)
		}
	}
}

// dropped checks that whoever's request was answered whole by an upstream gets that answer, unless
// its proxy, its serving proxy or the upstream was killed, frozen or cut off meanwhile.
func (r *Review) dropped(record Record, runs map[string][]Ran) {
	for _, request := range record.Asked {
		if request.Code == 0 && !request.Connection {
			continue
		}
		for _, ran := range runs[request.ID] {
			if ran.Whole == 0 || request.Done > 0 && ran.Whole > request.Done-record.Bounds.AnswerHold/4 {
				continue
			}
			excused := false
			for _, name := range []string{request.Proxy, ran.ServingProxy, ran.Instance} {
				excused = excused || Within(record.Hurt, name, request.Sent, ran.Whole+record.Bounds.AnswerHold) ||
					Within(record.Held, name, request.Sent, ran.Whole+record.Bounds.AnswerHold)
			}
			if excused {
				r.Seen["answers lost with a machine"]++
				continue
			}
			r.add("dropped", "%s was answered whole by %s at %s and its caller got %d (%d), connection %t, at %s",
				request.ID, ran.Instance, ran.Whole, request.Status, request.Code, request.Connection, request.Done)
		}
	}
}

// stops checks that a polite stop drops no request that was sent before the signal.
func (r *Review) stops(record Record) {
	for _, stop := range record.Stopped {
		r.Seen["polite stops"]++
		for _, request := range record.Asked {
			sentBefore := stop.From - request.Sent
			unanswered := request.Connection && request.Done == 0
			if request.Proxy == stop.Name && unanswered && sentBefore > 0 && sentBefore < 10*time.Second {
				r.add("dropped", "%s, sent %s before %s was stopped, was never answered", request.ID, sentBefore, stop.Name)
			}
		}
	}
}
