package frontend

import (
	"math"
	"math/rand/v2"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// The terms of an upstream's cost, in units of a request's typical service time.
const (
	candidateSamples = 6   // drawn from each list of candidates
	utilizationCost  = 0.5 // when all slots are in use
	failureCost      = 4.0 // when every recent attempt failed
	transitDelayCost = 4.0 // per second of delay
)

// selectUpstream picks the upstream for a request's next attempt and stores it in the request. It
// returns the final answer if no attempt can be made, and nil otherwise. When the budget for the calls
// of retries is exhausted, refusing calls alone would mostly hit calls of first attempts; so retries are
// also prevented from starting here for one bucket span, which stops their calls at the source.
func (f *Frontend) selectUpstream(now time.Duration, request *Request, random *rand.Rand) *Response {
	callOfRetry := f.isCallOfRetry(request, random)
	refused := f.beginSelectedAttempt(now, request, random, callOfRetry)
	if callOfRetry && refused != nil && refused.Code == errcode.BusyBudget {
		f.retryMonitor.PauseRetries(now + f.bucketSpan())
	}
	return refused
}

// beginSelectedAttempt implements selectUpstream for a request that counts as the call of a running
// retry, or doesn't.
func (f *Frontend) beginSelectedAttempt(
	now time.Duration,
	request *Request,
	random *rand.Rand,
	callOfRetry bool,
) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	if now >= request.Deadline {
		return request.refuse(errcode.BusyDeadline)
	}
	if request.Service == "" {
		request.Service = request.Route.PickService(random.Float64())
	}
	sameZone, otherZones, ready := f.candidates(now, request, false)
	if len(sameZone)+len(otherZones) == 0 && request.nested() {
		sameZone, otherZones, ready = f.candidates(now, request, true)
	}
	if len(sameZone)+len(otherZones) == 0 {
		if ready > 0 {
			return request.refuse(errcode.BusySlotsFull)
		}
		return request.refuse(errcode.BusyNoUpstream)
	}
	chosen, cost := f.pickCheapest(now, sameZone, random)
	if farther, otherCost := f.pickCheapest(now, otherZones, random); otherCost < cost {
		chosen = farther
	}
	if request.Attempts == 0 && !f.spendFirstAttempt(now, request, callOfRetry) {
		return request.refuse(errcode.BusyBudget)
	}
	f.beginAttempt(now, request, chosen)
	return nil
}

// beginAttempt records that the request's next attempt goes to the target.
func (f *Frontend) beginAttempt(now time.Duration, request *Request, target message.Registration) {
	key := upstreamKey(target)
	request.Target = target
	request.Tried[key] = true
	request.Attempts++
	request.selectedAt = now
	f.statsOf(key).inFlight++
}

// candidates lists the upstreams of a request's service that may be tried now, separately for this
// zone and for other zones. ready is the number of ready upstreams, including those that may not be
// tried now.
func (f *Frontend) candidates(
	now time.Duration,
	request *Request,
	includeSaturated bool,
) (sameZone, otherZones []message.Registration, ready int) {
	for _, registration := range f.currentSnapshot().Upstreams[request.Service] {
		if registration.State != message.StateReady {
			continue
		}
		ready++
		key := upstreamKey(registration)
		stats := f.statsOf(key)
		saturated := now < stats.saturatedUntil && !includeSaturated
		if request.Tried[key] || now < stats.avoidUntil || saturated {
			continue
		}
		if registration.Zone == f.settings.Zone {
			sameZone = append(sameZone, registration)
		} else {
			otherZones = append(otherZones, registration)
		}
	}
	return sameZone, otherZones, ready
}

// pickCheapest draws up to candidateSamples candidates at random and returns the one with the lowest
// cost. It reorders candidates.
func (f *Frontend) pickCheapest(
	now time.Duration,
	candidates []message.Registration,
	random *rand.Rand,
) (chosen message.Registration, lowestCost float64) {
	lowestCost = math.Inf(1)
	for index := range min(candidateSamples, len(candidates)) {
		// Drawn without replacement: the drawn candidate is swapped to the front of the remaining ones.
		swapIndex := index + random.IntN(len(candidates)-index)
		candidates[index], candidates[swapIndex] = candidates[swapIndex], candidates[index]
		if cost := f.cost(now, candidates[index]); cost < lowestCost {
			chosen, lowestCost = candidates[index], cost
		}
	}
	return chosen, lowestCost
}

// cost returns the cost of sending an upstream one more request. It is the upstream's relative
// latency, increased by the use of its slots, by recent failures, during warm-up, by the transit
// delay, and by a margin if it is in another zone.
func (f *Frontend) cost(now time.Duration, registration message.Registration) float64 {
	stats := f.statsOf(upstreamKey(registration))
	utilization := (f.outstanding(now, stats) + 1) / float64(max(1, registration.Slots))
	cost := math.Exp(stats.relativeLatency) *
		(1 + utilizationCost*utilization*utilization + max(0, utilization-1) + min(max(stats.load, 0), 1)/4)
	if readyFor := now - stats.readySince; readyFor < f.settings.WarmUpTime() {
		cost *= 2 - float64(readyFor)/float64(f.settings.WarmUpTime())
	}
	cost += failureCost * stats.failureRate
	cost += transitDelayCost * stats.transitDelayNow(now).Seconds()
	if registration.Zone != f.settings.Zone {
		cost += f.settings.Limits.SpillMargin
	}
	return cost
}

// outstanding estimates an upstream's outstanding requests: those that its serving proxy reported
// last, plus those sent from this proxy since. Reports older than two update intervals are ignored.
func (f *Frontend) outstanding(now time.Duration, stats *upstreamStats) float64 {
	if now-stats.reportedAt > f.settings.UpdatesEvery()*2 {
		return float64(stats.inFlight)
	}
	return float64(max(stats.inFlight, stats.reportedOutstanding+stats.inFlight-stats.inFlightAtReport))
}
