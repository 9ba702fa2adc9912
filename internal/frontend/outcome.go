package frontend

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// reservedHeaderPrefix begins the headers that only the mesh itself may send.
const reservedHeaderPrefix = "X-Beacon-"

// A saturated upstream's backoff doubles up to maxBackoffDoublings times, and is bounded by one
// shortest backoff for every proxiesPerBackoff proxies.
const (
	maxBackoffDoublings = 4
	proxiesPerBackoff   = 8
)

// evaluateOutcome takes the outcome of an attempt: it learns from it, and returns the final answer,
// or nil for another attempt.
func (f *Frontend) evaluateOutcome(now time.Duration, request *Request, outcome message.Outcome) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	code, status := errcode.Code(outcome.Code), attemptStatusOf(outcome)
	request.recordAttempt(status)
	stats := f.statsOf(upstreamKey(request.Target))
	stats.attemptEnded()
	if outcome.Slots > 0 {
		stats.observeReport(now, outcome)
	}
	stats.observeTransitDelay(now, now-request.selectedAt-time.Duration(outcome.ServiceTime))
	switch status {
	case statusAnswered:
		stats.clearSaturation()
		stats.observeFailure(false)
		f.observeLatency(stats, request.Route.Name, time.Duration(outcome.ServiceTime))
		return upstreamResponse(outcome)
	case statusUnknown:
		stats.clearSaturation()
		stats.observeFailure(true)
	default:
		f.observeRefusal(now, stats, request, code)
	}
	return f.decideRetry(now, request, status, code)
}

// upstreamResponse is an upstream's own answer. An upstream that sends a header of the mesh's must
// not pass for the mesh.
func upstreamResponse(outcome message.Outcome) *Response {
	headers := slices.DeleteFunc(slices.Clone(outcome.Headers), func(line message.HeaderLine) bool {
		return strings.HasPrefix(http.CanonicalHeaderKey(line.Name), reservedHeaderPrefix)
	})
	return &Response{Code: errcode.OK, Status: int(outcome.Status), Headers: headers, Body: outcome.Body}
}

// observeRefusal takes a serving proxy's refusal into the selection at once.
func (f *Frontend) observeRefusal(now time.Duration, stats *upstreamStats, request *Request, code errcode.Code) {
	switch code {
	case errcode.BusySlotsFull, errcode.BusyQueueFull:
		stats.saturatedRefusals++
		stats.saturatedUntil = now + f.saturationBackoff(stats.saturatedRefusals)
	case errcode.BusyUnproven:
		stats.avoidUntil = now + f.settings.UpdatesEvery()/4
	case errcode.BusyServingProxyLost:
		f.avoidServingProxy(now, request.Target.ServingProxyAddress)
	case errcode.BusyUpstreamGone, errcode.BusyLeaving:
		stats.avoidUntil = now + f.settings.HeartbeatEvery()*2
		stats.readySeen = false
	case errcode.BusyNotReady, errcode.BusyConfigurationDiffers:
		stats.avoidUntil = now + f.settings.UpdatesEvery()
	}
}

// avoidServingProxy keeps requests for a while from every upstream beside a serving proxy.
func (f *Frontend) avoidServingProxy(now time.Duration, address string) {
	for _, registrations := range f.snapshot.Upstreams {
		for _, registration := range registrations {
			if registration.ServingProxyAddress == address {
				f.statsOf(upstreamKey(registration)).avoidUntil = now + f.settings.UpdatesEvery()*2
			}
		}
	}
}

// saturationBackoff is how long an upstream that refused so many times in a row for want of a slot
// is left alone. Where many proxies ask the same upstreams each may ask more seldom, and their
// requests must not fill its proxy's link only to be refused.
func (f *Frontend) saturationBackoff(refusals int) time.Duration {
	shortest := f.settings.UpdatesEvery() / 4
	longest := min(shortest*time.Duration(max(1, f.snapshot.ProxyCount/proxiesPerBackoff)), f.settings.UpdatesEvery()*4)
	return min(shortest<<min(refusals-1, maxBackoffDoublings), longest)
}

// abandon gives the answer to a request that ends without an outcome. Where an attempt is out,
// nobody knows whether it runs.
func (f *Frontend) abandon(request *Request, attemptOut bool, code errcode.Code) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	if attemptOut {
		return NewRefusal(errcode.UnknownTimeout)
	}
	return request.refuse(code)
}

// release takes back the count of an attempt that no outcome will end.
func (f *Frontend) release(request *Request) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.statsOf(upstreamKey(request.Target)).attemptEnded()
}

// abandonAttempt learns from an attempt that was given up before its outcome was here.
func (f *Frontend) abandonAttempt(now time.Duration, request *Request) {
	f.lock.Lock()
	defer f.lock.Unlock()
	usual := f.usualLatency(request.Route.Name)
	f.statsOf(upstreamKey(request.Target)).observeUnanswered(now, now-request.selectedAt-usual)
}
