package frontend

import (
	"math"
	"time"

	"beaconvane/internal/message"
)

const (
	// latencyWeight is the weight of one observation in an upstream's relative latency, and
	// routeLatencyWeight its weight in the typical latency of the route (moving averages).
	latencyWeight      = 1.0 / 24
	routeLatencyWeight = 1.0 / 64

	// maxRelativeLatency bounds the absolute value of the logarithm of an upstream's relative
	// latency.
	maxRelativeLatency = 1.4

	// failureWeight is the weight of one attempt in an upstream's failure rate.
	failureWeight = 1.0 / 8

	// transitDelayWeight is the weight of one attempt in an upstream's transit delay. Without new
	// observations, the delay decays to half in each transitDelayHalfLife.
	transitDelayWeight   = 1.0 / 2
	transitDelayHalfLife = 3 * time.Second
)

// upstreamStats holds this proxy's statistics of one upstream. Frontend.lock guards it.
type upstreamStats struct {
	inFlight   int64         // attempts of this proxy without an outcome
	readySince time.Duration // when it was first seen ready
	readySeen  bool
	load       float64 // as last reported

	reportedOutstanding int64 // requests, as last reported by the serving proxy
	reportedAt          time.Duration
	inFlightAtReport    int64 // inFlight when the report arrived

	relativeLatency float64 // natural logarithm of its service time divided by the route's typical one
	failureRate     float64 // moving average of attempts without a complete answer
	transitDelay    time.Duration
	transitDelayAt  time.Duration

	avoidUntil        time.Duration
	saturatedUntil    time.Duration // until then, only nested calls are sent to it
	saturatedRefusals int           // consecutive
}

// upstreamKey returns the key of an upstream at its address.
func upstreamKey(registration message.Registration) string {
	return registration.Key() + "/" + registration.Address
}

// statsOf returns the statistics of an upstream and creates them on first use.
func (f *Frontend) statsOf(key string) *upstreamStats {
	stats, known := f.upstreams[key]
	if !known {
		stats = &upstreamStats{}
		f.upstreams[key] = stats
	}
	return stats
}

// observeLatency updates the latency statistics with the service time of a complete answer. It uses
// logarithms, since service times have long tails. An upstream's latency is relative to the typical
// latency of the route, which is estimated from the same observations.
func (f *Frontend) observeLatency(stats *upstreamStats, route string, latency time.Duration) {
	if latency <= 0 {
		return
	}
	logLatency := math.Log(float64(latency))
	typical, known := f.routeLatency[route]
	if !known {
		f.routeLatency[route] = logLatency - stats.relativeLatency
		return
	}
	stats.relativeLatency += (logLatency - typical - stats.relativeLatency) * latencyWeight
	stats.relativeLatency = min(max(stats.relativeLatency, -maxRelativeLatency), maxRelativeLatency)
	f.routeLatency[route] = typical + (logLatency-stats.relativeLatency-typical)*routeLatencyWeight
}

// typicalLatency returns the typical service time of a route's requests, or 0 if it is unknown.
func (f *Frontend) typicalLatency(route string) time.Duration {
	logarithm, known := f.routeLatency[route]
	if !known {
		return 0
	}
	return time.Duration(math.Exp(logarithm))
}

// observeTransitDelay updates the transit delay: the time of an attempt without the upstream's
// service time, spent on the links of both machines and in the serving proxy's queue. A saturated
// link delays requests by seconds, while the upstream behind it receives few of them and so appears
// idle and fast.
func (s *upstreamStats) observeTransitDelay(now, delay time.Duration) {
	current := s.transitDelayNow(now)
	s.transitDelay = current + time.Duration(float64(max(0, delay)-current)*transitDelayWeight)
	s.transitDelayAt = now
}

// observeUnanswered updates the transit delay with an attempt that was abandoned without an outcome.
// The time counts only if it exceeds the present delay, since the upstream may have been processing
// the request.
func (s *upstreamStats) observeUnanswered(now, delay time.Duration) {
	if delay > s.transitDelayNow(now) {
		s.observeTransitDelay(now, delay)
	}
}

// transitDelayNow returns the transit delay after its decay until now.
func (s *upstreamStats) transitDelayNow(now time.Duration) time.Duration {
	halfLives := float64(now-s.transitDelayAt) / float64(transitDelayHalfLife)
	return time.Duration(float64(s.transitDelay) * math.Exp2(-halfLives))
}

// observeFailure updates the failure rate. failed means that the attempt ended without the
// upstream's complete answer.
func (s *upstreamStats) observeFailure(failed bool) {
	observed := 0.0
	if failed {
		observed = 1
	}
	s.failureRate += (observed - s.failureRate) * failureWeight
}

// observeReport stores the outstanding requests and the load that the serving proxy reported with an
// outcome.
func (s *upstreamStats) observeReport(now time.Duration, outcome message.Outcome) {
	s.reportedOutstanding = outcome.Outstanding
	s.reportedAt = now
	s.inFlightAtReport = s.inFlight
	s.load = outcome.Load
}

// attemptEnded decrements the number of attempts in flight.
func (s *upstreamStats) attemptEnded() { s.inFlight = max(0, s.inFlight-1) }

// clearSaturation ends the saturation backoff, since the upstream has started a request.
func (s *upstreamStats) clearSaturation() { s.saturatedRefusals, s.saturatedUntil = 0, 0 }
