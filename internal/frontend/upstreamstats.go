package frontend

import (
	"math"
	"time"

	"beaconvane/internal/message"
)

const (
	// latencyWeight is how much one observation moves an upstream's relative latency, and
	// routeLatencyWeight how much it moves the usual latency of its route.
	latencyWeight      = 1.0 / 24
	routeLatencyWeight = 1.0 / 64

	// maxRelativeLatency bounds the logarithm of an upstream's relative latency, either way.
	maxRelativeLatency = 1.4

	// failureWeight is how much one attempt moves an upstream's failure rate.
	failureWeight = 1.0 / 8

	// transitDelayWeight is how much one attempt moves the delay on the way to an upstream. A
	// delay that is not seen again counts half after each transitDelayHalfLife.
	transitDelayWeight   = 1.0 / 2
	transitDelayHalfLife = 3 * time.Second
)

// upstreamStats is what this proxy has learned of one upstream.
type upstreamStats struct {
	inFlight   int64         // attempts from here
	readySince time.Duration // when it was first seen ready
	readySeen  bool
	load       float64 // as it told last

	reportedOutstanding int64 // work that its serving proxy told last
	reportedAt          time.Duration
	inFlightAtReport    int64

	relativeLatency float64 // logarithm of its time for a request against the usual
	failureRate     float64 // of late, of attempts without its whole answer
	transitDelay    time.Duration
	transitDelayAt  time.Duration

	avoidUntil        time.Duration
	saturatedUntil    time.Duration // only requests of running requests are sent to it
	saturatedRefusals int           // in a row
}

// upstreamKey names an upstream at one address.
func upstreamKey(registration message.Registration) string {
	return registration.Key() + "/" + registration.Address
}

// statsOf returns the stats of an upstream, which begin with the first asking.
func (f *Frontend) statsOf(key string) *upstreamStats {
	stats, known := f.upstreams[key]
	if !known {
		stats = &upstreamStats{}
		f.upstreams[key] = stats
	}
	return stats
}

// observeLatency takes the time that an upstream took for a whole answer. Upstreams are compared
// by logarithms, since times of work have long tails, and against the usual time of the route,
// which is learned beside them.
func (f *Frontend) observeLatency(stats *upstreamStats, route string, took time.Duration) {
	if took <= 0 {
		return
	}
	observed := math.Log(float64(took))
	usual, known := f.routeLatency[route]
	if !known {
		f.routeLatency[route] = observed - stats.relativeLatency
		return
	}
	stats.relativeLatency += (observed - usual - stats.relativeLatency) * latencyWeight
	stats.relativeLatency = min(max(stats.relativeLatency, -maxRelativeLatency), maxRelativeLatency)
	f.routeLatency[route] = usual + (observed-stats.relativeLatency-usual)*routeLatencyWeight
}

// usualLatency is the time that a request of a route takes, or 0 where it is not known.
func (f *Frontend) usualLatency(route string) time.Duration {
	logarithm, known := f.routeLatency[route]
	if !known {
		return 0
	}
	return time.Duration(math.Exp(logarithm))
}

// observeTransitDelay takes how long an attempt took besides the upstream's own work: on the
// links of both machines and in the serving proxy's queue. A link that is full delays requests by
// seconds, while the upstream behind it, which few of them reach, looks idle and fast.
func (s *upstreamStats) observeTransitDelay(now, delay time.Duration) {
	known := s.transitDelayNow(now)
	s.transitDelay = known + time.Duration(float64(max(0, delay)-known)*transitDelayWeight)
	s.transitDelayAt = now
}

// observeUnanswered takes the time after which an attempt was given up. It counts as a delay only
// if it is longer than the known one, since the upstream may have been at work.
func (s *upstreamStats) observeUnanswered(now, delay time.Duration) {
	if delay > s.transitDelayNow(now) {
		s.observeTransitDelay(now, delay)
	}
}

// transitDelayNow is the delay as it counts now.
func (s *upstreamStats) transitDelayNow(now time.Duration) time.Duration {
	halfLives := float64(now-s.transitDelayAt) / float64(transitDelayHalfLife)
	return time.Duration(float64(s.transitDelay) * math.Exp2(-halfLives))
}

// observeFailure takes whether an attempt ended without the upstream's whole answer.
func (s *upstreamStats) observeFailure(failed bool) {
	observed := 0.0
	if failed {
		observed = 1
	}
	s.failureRate += (observed - s.failureRate) * failureWeight
}

// observeReport takes the work that the serving proxy told with an outcome.
func (s *upstreamStats) observeReport(now time.Duration, outcome message.Outcome) {
	s.reportedOutstanding = outcome.Outstanding
	s.reportedAt = now
	s.inFlightAtReport = s.inFlight
	s.load = outcome.Load
}

// attemptEnded takes back the count of an attempt in flight.
func (s *upstreamStats) attemptEnded() { s.inFlight = max(0, s.inFlight-1) }

// clearSaturation notes that the upstream has begun a request.
func (s *upstreamStats) clearSaturation() { s.saturatedRefusals, s.saturatedUntil = 0, 0 }
