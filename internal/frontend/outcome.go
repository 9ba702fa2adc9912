package frontend

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// reservedHeaderPrefix is the prefix of response headers that only the mesh may send.
const reservedHeaderPrefix = "X-Beacon-"

// The backoff of a saturated upstream doubles up to maxBackoffDoublings times. Its upper bound
// grows by one shortest backoff for every proxiesPerBackoff proxies.
const (
	maxBackoffDoublings = 4
	proxiesPerBackoff   = 8
)

// evaluateOutcome updates the upstream's statistics with the outcome of an attempt. It returns the
// final answer, or nil for another attempt.
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

// upstreamResponse returns an upstream's answer without headers reserved for the mesh, so that an
// upstream can't impersonate the mesh.
func upstreamResponse(outcome message.Outcome) *Response {
	headers := slices.DeleteFunc(slices.Clone(outcome.Headers), func(line message.HeaderLine) bool {
		return strings.HasPrefix(http.CanonicalHeaderKey(line.Name), reservedHeaderPrefix)
	})
	return &Response{Code: errcode.OK, Status: int(outcome.Status), Headers: headers, Body: outcome.Body}
}

// observeRefusal excludes the refusing upstream, or all upstreams of a lost serving proxy, from
// selection for a time that depends on the code.
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

// avoidServingProxy excludes every upstream of a serving proxy from selection for two update
// intervals.
func (f *Frontend) avoidServingProxy(now time.Duration, address string) {
	for _, registrations := range f.currentSnapshot().Upstreams {
		for _, registration := range registrations {
			if registration.ServingProxyAddress == address {
				f.statsOf(upstreamKey(registration)).avoidUntil = now + f.settings.UpdatesEvery()*2
			}
		}
	}
}

// saturationBackoff returns how long an upstream gets no requests after a number of consecutive
// refusals because its slots or its queue were full. With many proxies, each must try less often:
// otherwise requests that are only refused fill the link of the upstream's serving proxy.
func (f *Frontend) saturationBackoff(refusals int) time.Duration {
	shortest := f.settings.UpdatesEvery() / 4
	longest := min(shortest*time.Duration(max(1, f.currentSnapshot().ProxyCount/proxiesPerBackoff)), f.settings.UpdatesEvery()*4)
	return min(shortest<<min(refusals-1, maxBackoffDoublings), longest)
}

// abandon returns the answer to a request that ends without an outcome. attemptOut reports whether
// an attempt was sent; it is then unknown whether the attempt ran.
func (f *Frontend) abandon(request *Request, attemptOut bool, codes abandonCodes) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	if attemptOut {
		return NewRefusal(codes.attemptOut)
	}
	return request.refuse(codes.notStarted)
}

// release decrements the upstream's attempts in flight for an attempt that will have no outcome.
func (f *Frontend) release(request *Request) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.statsOf(upstreamKey(request.Target)).attemptEnded()
}

// abandonAttempt updates the upstream's transit delay with an attempt that was abandoned before its
// outcome arrived.
func (f *Frontend) abandonAttempt(now time.Duration, request *Request) {
	f.lock.Lock()
	defer f.lock.Unlock()
	typical := f.typicalLatency(request.Route.Name)
	f.statsOf(upstreamKey(request.Target)).observeUnanswered(now, now-request.selectedAt-typical)
}
