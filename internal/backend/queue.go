package backend

import (
	"slices"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// latencyDivisor is the part by which one request moves the usual times.
const latencyDivisor = 16

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	forward       message.Forward
	deadline      time.Duration
	latencyTarget time.Duration // until when its answer has its full worth; 0: not told
}

// runningRequest is a request that an upstream works on.
type runningRequest struct {
	once bool // it must not run twice, so it isn't broken off either
}

// enqueue puts a request behind those of its own priority and better.
func (u *upstream) enqueue(item queuedRequest) {
	position := len(u.queue)
	for position > 0 && u.queue[position-1].forward.Priority > item.forward.Priority {
		position--
	}
	u.queue = slices.Insert(u.queue, position, item)
}

// cannotMeetLatencyTarget reports whether a request would be answered after its aim, behind those that go
// before it. A slot that it took would be wasted on it while others can still be in time.
func (u *upstream) cannotMeetLatencyTarget(now time.Duration, item queuedRequest) bool {
	usual := u.routeLatency[item.forward.Route]
	if item.latencyTarget == 0 || usual == 0 || int64(len(u.running)) < u.announcement.Slots {
		return false
	}
	ahead := 1
	for _, other := range u.queue {
		if other.forward.Priority <= item.forward.Priority {
			ahead++
		}
	}
	wait := u.meanLatency * time.Duration(ahead) / time.Duration(max(1, u.announcement.Slots))
	return now+wait+usual > item.latencyTarget
}

// missesLatencyTarget reports whether a request has waited so long that even a quick answer would miss its
// aim.
func (u *upstream) missesLatencyTarget(now time.Duration, item queuedRequest) bool {
	return item.latencyTarget > 0 && now+u.routeLatency[item.forward.Route]/2 > item.latencyTarget
}

// observeLatency takes how long a request took.
func (u *upstream) observeLatency(route string, took time.Duration) {
	if u.routeLatency[route] == 0 {
		u.routeLatency[route] = took
	}
	if u.meanLatency == 0 {
		u.meanLatency = took
	}
	u.routeLatency[route] += (took - u.routeLatency[route]) / latencyDivisor
	u.meanLatency += (took - u.meanLatency) / latencyDivisor
}

// refuseQueued refuses everything that waits for a slot.
func (u *upstream) refuseQueued(code errcode.Code) []Decision {
	decisions := []Decision{}
	for _, item := range u.queue {
		decisions = append(decisions, refusal(item.forward, code))
	}
	u.queue = nil
	return decisions
}

// refuseOverdue refuses what has waited past its deadline.
func (u *upstream) refuseOverdue(now time.Duration) []Decision {
	decisions := []Decision{}
	kept := []queuedRequest{}
	for _, item := range u.queue {
		if now >= item.deadline {
			decisions = append(decisions, refusal(item.forward, errcode.BusyDeadline))
		} else {
			kept = append(kept, item)
		}
	}
	u.queue = kept
	return decisions
}

// dropLingering frees the slots of ended requests that can no longer run.
func (u *upstream) dropLingering(now time.Duration) {
	u.lingering = slices.DeleteFunc(u.lingering, func(until time.Duration) bool { return now >= until })
}

// hasFreeSlot reports whether another request may start.
func (u *upstream) hasFreeSlot() bool {
	return int64(len(u.running)+len(u.lingering)) < u.announcement.Slots
}

// startQueued starts waiting requests while slots are free, and refuses those of them that can't
// be started any more.
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

// checkQueued checks whether a request that was taken from the queue may be started.
func (b *Backend) checkQueued(now time.Duration, registered *upstream, item queuedRequest) errcode.Code {
	switch {
	case now >= item.deadline:
		return errcode.BusyDeadline
	case len(registered.queue) > 0 && registered.missesLatencyTarget(now, item):
		return errcode.BusySlotsFull
	}
	return b.checkForward(now, registered, true, item.forward)
}

// start takes a slot for a request.
func (b *Backend) start(now time.Duration, registered *upstream, item queuedRequest) Decision {
	forward := item.forward
	registered.running[forward.ID] = runningRequest{once: forward.AtMostOnce}
	b.observeStart(forward.Retried, forward.AtMostOnce)
	b.record(forward.ID, &attemptRecord{updatedAt: now, startedAt: now})
	token := b.newToken()
	b.delegations[token] = Delegation{Tenant: forward.Tenant, Service: forward.Service, Key: forward.ID}
	forward.Remaining = int64(item.deadline - now)
	target := registered.target()
	target.DelegationToken = token
	return Decision{Forward: forward, Start: true, Target: target}
}

// target is the upstream as it is registered now.
func (u *upstream) target() Target { return u.announcement.target() }
