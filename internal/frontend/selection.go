package frontend

import (
	"math"
	"math/rand/v2"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// The cost of an upstream, in units of the usual time of a request.
const (
	candidateSamples = 6   // drawn from each kind of candidates
	utilizationCost  = 0.5 // when all slots are taken
	failureCost      = 4.0 // when every attempt failed lately
	transitDelayCost = 4.0 // for a second's delay
)

// selectUpstream picks the upstream for a request's next attempt. It returns nil, or the final
// answer where no attempt can be made.
func (f *Frontend) selectUpstream(now time.Duration, request *Request, random *rand.Rand) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	if now >= request.Deadline {
		return request.refuse(errcode.BusyDeadline)
	}
	if request.Service == "" {
		request.Service = request.Route.PickService(random.Float64())
	}
	near, far, ready := f.candidates(now, request, false)
	if len(near)+len(far) == 0 && request.nested() {
		near, far, ready = f.candidates(now, request, true)
	}
	if len(near)+len(far) == 0 {
		if ready > 0 {
			return request.refuse(errcode.BusySlotsFull)
		}
		return request.refuse(errcode.BusyNoUpstream)
	}
	chosen, cost := f.pickCheapest(now, near, random)
	if other, otherCost := f.pickCheapest(now, far, random); otherCost < cost {
		chosen = other
	}
	if request.Attempts == 0 && !f.spendFirstAttempt(now, request, random) {
		return request.refuse(errcode.BusyBudget)
	}
	f.beginAttempt(now, request, chosen)
	return nil
}

// beginAttempt notes that the request's next attempt goes to an upstream.
func (f *Frontend) beginAttempt(now time.Duration, request *Request, target message.Registration) {
	key := upstreamKey(target)
	request.Target = target
	request.Tried[key] = true
	request.Attempts++
	request.selectedAt = now
	f.statsOf(key).inFlight++
}

// candidates lists the upstreams of a request's service that may be tried now, those in this zone
// apart from the others, and counts those that are ready at all.
func (f *Frontend) candidates(now time.Duration, request *Request, evenSaturated bool) (near, far []message.Registration, ready int) {
	for _, registration := range f.snapshot.Upstreams[request.Service] {
		if registration.State != message.StateReady {
			continue
		}
		ready++
		key := upstreamKey(registration)
		stats := f.statsOf(key)
		saturated := now < stats.saturatedUntil && !evenSaturated
		if request.Tried[key] || now < stats.avoidUntil || saturated {
			continue
		}
		if registration.Zone == f.settings.Zone {
			near = append(near, registration)
		} else {
			far = append(far, registration)
		}
	}
	return near, far, ready
}

// pickCheapest draws some candidates at random and keeps the one of least cost.
func (f *Frontend) pickCheapest(
	now time.Duration,
	candidates []message.Registration,
	random *rand.Rand,
) (chosen message.Registration, least float64) {
	least = math.Inf(1)
	for number := range min(candidateSamples, len(candidates)) {
		// Drawn without replacement: the drawn one changes places with the first that is left.
		other := number + random.IntN(len(candidates)-number)
		candidates[number], candidates[other] = candidates[other], candidates[number]
		if cost := f.cost(now, candidates[number]); cost < least {
			chosen, least = candidates[number], cost
		}
	}
	return chosen, least
}

// cost of giving an upstream one more request. It is the upstream's relative latency, more when
// its slots fill up, when it failed lately, when it has only just become ready, when requests are
// delayed on their way to it, and by a margin when it is in another zone.
func (f *Frontend) cost(now time.Duration, registration message.Registration) float64 {
	stats := f.statsOf(upstreamKey(registration))
	use := (f.outstanding(now, stats) + 1) / float64(max(1, registration.Slots))
	cost := math.Exp(stats.relativeLatency) * (1 + utilizationCost*use*use + max(0, use-1) + min(max(stats.load, 0), 1)/4)
	if since := now - stats.readySince; since < f.settings.WarmUpTime() {
		cost *= 2 - float64(since)/float64(f.settings.WarmUpTime())
	}
	cost += failureCost * stats.failureRate
	cost += transitDelayCost * stats.transitDelayNow(now).Seconds()
	if registration.Zone != f.settings.Zone {
		cost += f.settings.Limits.SpillMargin
	}
	return cost
}

// outstanding is the work that an upstream has, as far as this proxy can tell: what its serving
// proxy reported last, and what was sent from here since.
func (f *Frontend) outstanding(now time.Duration, stats *upstreamStats) float64 {
	if now-stats.reportedAt > f.settings.UpdatesEvery()*2 {
		return float64(stats.inFlight)
	}
	return float64(max(stats.inFlight, stats.reportedOutstanding+stats.inFlight-stats.inFlightAtReport))
}
