package backend

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

const (
	// stallDivisor makes, of the heartbeat bound, how long this process may stand still before
	// its upstreams may have found another serving proxy.
	stallDivisor = 6

	// forgetFactor is after how many heartbeat bounds without a heartbeat an upstream at rest is
	// forgotten.
	forgetFactor = 4
)

// HandleForward takes a request from another proxy, or from this one, and returns the decisions
// that follow. A request that waits in the queue gives none now.
func (b *Backend) HandleForward(now time.Duration, forward message.Forward) []Decision {
	b.lock.Lock()
	defer b.lock.Unlock()
	if record, seen := b.records[forward.ID]; seen {
		if record.barred {
			return []Decision{refusal(forward, errcode.BusyServingProxyLost)}
		}
		return nil
	}
	registered, known := b.upstreams[upstreamKey(forward.Service, forward.Instance)]
	if code := b.checkForward(now, registered, known, forward); code != errcode.OK {
		return []Decision{refusal(forward, code)}
	}
	item := queuedRequest{forward: forward, deadline: now + time.Duration(forward.Remaining)}
	if forward.LatencyTargetRemaining > 0 {
		item.latencyTarget = now + time.Duration(forward.LatencyTargetRemaining)
	}
	b.record(forward.ID, &attemptRecord{updatedAt: item.deadline})
	if registered.cannotMeetLatencyTarget(now, item) {
		delete(b.records, forward.ID)
		return []Decision{refusal(forward, errcode.BusySlotsFull)}
	}
	registered.enqueue(item)
	decisions := b.startQueued(now, registered)
	return append(decisions, b.refuseOverflow(registered)...)
}

// refuseOverflow refuses the last in a queue that has become longer than the upstream has slots.
func (b *Backend) refuseOverflow(registered *upstream) []Decision {
	if len(registered.queue) <= int(registered.announcement.Slots) {
		return nil
	}
	last := registered.queue[len(registered.queue)-1]
	registered.queue = registered.queue[:len(registered.queue)-1]
	delete(b.records, last.forward.ID)
	return []Decision{refusal(last.forward, errcode.BusySlotsFull)}
}

// checkForward checks whether an upstream may be given a request now. held is nil for an upstream
// that is not known here.
func (b *Backend) checkForward(now time.Duration, registered *upstream, known bool, forward message.Forward) errcode.Code {
	switch {
	case b.draining:
		return errcode.BusyLeaving
	case b.stalled(now):
		return errcode.BusyUpstreamGone
	case !known || registered.announcement.Incarnation != forward.Incarnation:
		return errcode.BusyUpstreamGone
	case now-registered.announcedAt > b.settings.ServingProxyTimeout():
		return errcode.BusyUpstreamGone
	case registered.broken && !b.mayRedial(now, registered):
		return errcode.BusyUpstreamGone
	case registered.announcement.Draining:
		return errcode.BusyLeaving
	case registered.announcement.Warming:
		return errcode.BusyNotReady
	case forward.Remaining <= 0:
		return errcode.BusyDeadline
	case forward.Retried && now < b.retriesPausedUntil:
		return errcode.BusyBudget
	}
	return b.authorize(forward)
}

// mayRedial reports whether a broken upstream may be tried again without a heartbeat, which is
// safe only where upstreams prove themselves.
func (b *Backend) mayRedial(now time.Duration, registered *upstream) bool {
	return b.settings.ProofByTarget() && now-registered.brokenAt > b.settings.AddressProofTTL()
}

// stalled reports whether this process stood still for so long that its upstreams may have found
// another serving proxy meanwhile. Their slots are then no longer this one's to give.
func (b *Backend) stalled(now time.Duration) bool {
	return !b.settings.ProofByTarget() && b.lastExpireAt > 0 && now-b.lastExpireAt > b.settings.HeartbeatTimeout()/stallDivisor
}

// Expire refuses requests that have waited past their deadlines, starts those that now can, and
// forgets what is too old. It is called in steady steps.
func (b *Backend) Expire(now time.Duration) []Decision {
	b.lock.Lock()
	defer b.lock.Unlock()
	decisions := []Decision{}
	stalled := b.stalled(now)
	b.lastExpireAt = now
	b.forgetRetired(now)
	for _, key := range b.sortedKeys() {
		registered := b.upstreams[key]
		if stalled {
			registered.broken, registered.brokenAt = true, now
		}
		decisions = append(decisions, registered.refuseOverdue(now)...)
		decisions = append(decisions, b.startQueued(now, registered)...)
		if now-registered.announcedAt > b.settings.HeartbeatTimeout()*forgetFactor && len(registered.running) == 0 {
			delete(b.upstreams, key)
		}
	}
	b.expireRecords(now)
	return decisions
}

// forgetRetired drops the instances that were retired so long ago that no late announcement of
// theirs can still come.
func (b *Backend) forgetRetired(now time.Duration) {
	for instance, retiredAt := range b.retired {
		if now-retiredAt > b.settings.ForgetAfter() {
			delete(b.retired, instance)
		}
	}
}
