package backend

import (
	"slices"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// latencyDivisor is the reciprocal of the weight of one sample in the moving averages of service times.
const latencyDivisor = 16

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	forward       message.Forward
	deadline      time.Duration
	latencyTarget time.Duration // time after which the response has less value; 0 if not set
}

// runningRequest is a request that has started at an upstream and has not ended.
type runningRequest struct {
	atMostOnce bool // it must not run twice; such a request isn't cancelled either
}

// enqueue inserts a request after the queued requests of the same or a better (numerically lower)
// priority.
func (u *upstream) enqueue(item queuedRequest) {
	position := len(u.queue)
	for position > 0 && u.queue[position-1].forward.Priority > item.forward.Priority {
		position--
	}
	u.queue = slices.Insert(u.queue, position, item)
}

// cannotMeetLatencyTarget reports whether a request is expected to miss its latency target, given the
// requests ahead of it in the queue. It would take a slot that another request could still use in time.
func (u *upstream) cannotMeetLatencyTarget(now time.Duration, item queuedRequest) bool {
	typicalLatency := u.routeLatency[item.forward.Route]
	if item.latencyTarget == 0 || typicalLatency == 0 || int64(len(u.running)) < u.announcement.Slots {
		return false
	}
	ahead := 1
	for _, other := range u.queue {
		if other.forward.Priority <= item.forward.Priority {
			ahead++
		}
	}
	wait := u.meanLatency * time.Duration(ahead) / time.Duration(max(1, u.announcement.Slots))
	return now+wait+typicalLatency > item.latencyTarget
}

// missesLatencyTarget reports whether a request has been queued for so long that it would miss its
// latency target even in half the average time of its route.
func (u *upstream) missesLatencyTarget(now time.Duration, item queuedRequest) bool {
	return item.latencyTarget > 0 && now+u.routeLatency[item.forward.Route]/2 > item.latencyTarget
}

// observeLatency adds the service time of a completed request to the moving averages.
func (u *upstream) observeLatency(route string, latency time.Duration) {
	if u.routeLatency[route] == 0 {
		u.routeLatency[route] = latency
	}
	if u.meanLatency == 0 {
		u.meanLatency = latency
	}
	u.routeLatency[route] += (latency - u.routeLatency[route]) / latencyDivisor
	u.meanLatency += (latency - u.meanLatency) / latencyDivisor
}

// refuseQueued empties the queue and refuses its requests with a code.
func (u *upstream) refuseQueued(code errcode.Code) []Decision {
	decisions := []Decision{}
	for _, item := range u.queue {
		decisions = append(decisions, refusal(item.forward, code))
	}
	u.queue = nil
	return decisions
}

// refuseOverdue removes the queued requests that are past their deadlines, and refuses them.
func (u *upstream) refuseOverdue(now time.Duration) []Decision {
	decisions := []Decision{}
	remaining := []queuedRequest{}
	for _, item := range u.queue {
		if now >= item.deadline {
			decisions = append(decisions, refusal(item.forward, errcode.BusyDeadline))
		} else {
			remaining = append(remaining, item)
		}
	}
	u.queue = remaining
	return decisions
}

// dropLingering frees the slots held for ended requests that can no longer run.
func (u *upstream) dropLingering(now time.Duration) {
	u.lingering = slices.DeleteFunc(u.lingering, func(until time.Duration) bool { return now >= until })
}

// hasFreeSlot reports whether fewer slots are occupied or held than the upstream has.
func (u *upstream) hasFreeSlot() bool {
	return int64(len(u.running)+len(u.lingering)) < u.announcement.Slots
}

// startQueued starts queued requests while slots are free, and refuses those that may no longer start.
func (b *Backend) startQueued(now time.Duration, registered *upstream) []Decision {
	decisions := []Decision{}
	registered.dropLingering(now)
	for len(registered.queue) > 0 && registered.hasFreeSlot() {
		next := registered.queue[0]
		registered.queue = registered.queue[1:]
		if code := b.checkQueued(now, registered, next); code != errcode.OK {
			decisions = append(decisions, refusal(next.forward, code))
			continue
		}
		decisions = append(decisions, b.start(now, registered, next))
	}
	return decisions
}

// checkQueued checks whether a request that was removed from the queue may start.
func (b *Backend) checkQueued(now time.Duration, registered *upstream, item queuedRequest) errcode.Code {
	switch {
	case now >= item.deadline:
		return errcode.BusyDeadline
	case len(registered.queue) > 0 && registered.missesLatencyTarget(now, item):
		return errcode.BusySlotsFull
	}
	return b.checkForward(now, registered, true, item.forward)
}

// start occupies a slot for a request, issues its delegation token and returns the decision to start.
func (b *Backend) start(now time.Duration, registered *upstream, item queuedRequest) Decision {
	forward := item.forward
	registered.running[forward.ID] = runningRequest{atMostOnce: forward.AtMostOnce}
	b.observeStart(forward.Retried, forward.AtMostOnce)
	b.record(forward.ID, &attemptRecord{updatedAt: now, startedAt: now})
	token := b.newToken()
	b.delegations[token] = Delegation{Tenant: forward.Tenant, Service: forward.Service, Key: forward.ID}
	forward.Remaining = int64(item.deadline - now)
	target := registered.target()
	target.DelegationToken = token
	return Decision{Forward: forward, Start: true, Target: target}
}

// target returns the current registration of the upstream, without a delegation token.
func (u *upstream) target() Target { return u.announcement.target() }
