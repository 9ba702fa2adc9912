package backend

import (
	"maps"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

const (
	// stallDivisor divides HeartbeatTimeout into the longest pause of this process after which its
	// upstreams can't have moved to another serving proxy.
	stallDivisor = 6

	// upstreamRetentionFactor is the number of heartbeat timeouts without a heartbeat after which an
	// upstream without running requests is removed.
	upstreamRetentionFactor = 4
)

// HandleForward admits a request from another proxy or from this one, and returns the resulting
// decisions. A request that is queued yields no decision yet, and neither does a duplicate of a known
// attempt that is not barred.
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

// refuseOverflow refuses the last request of a queue that is longer than the number of slots of its
// upstream.
func (b *Backend) refuseOverflow(registered *upstream) []Decision {
	if len(registered.queue) <= int(registered.announcement.Slots) {
		return nil
	}
	last := registered.queue[len(registered.queue)-1]
	registered.queue = registered.queue[:len(registered.queue)-1]
	delete(b.records, last.forward.ID)
	return []Decision{refusal(last.forward, errcode.BusySlotsFull)}
}

// checkForward checks whether a request may start at an upstream now, and returns errcode.OK or the
// reason against it. registered is nil if known is false.
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
	case registered.adoptedUntil > 0 && now >= registered.adoptedUntil:
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

// mayRedial reports whether an upstream may be dialled again after a connection loss without a new
// heartbeat. This is safe only with proof "target", where another process at the address refuses the
// request.
func (b *Backend) mayRedial(now time.Duration, registered *upstream) bool {
	return b.settings.ProofByTarget() && now-registered.brokenAt > b.settings.AddressProofTTL()
}

// stalled reports whether this process was paused for so long that its upstreams may have moved to
// another serving proxy, which then assigns their slots.
func (b *Backend) stalled(now time.Duration) bool {
	return !b.settings.ProofByTarget() && b.lastExpireAt > 0 && now-b.lastExpireAt > b.settings.HeartbeatTimeout()/stallDivisor
}

// Expire refuses queued requests past their deadlines, starts those for which slots have become free,
// and removes expired upstreams and records. It must be called at a fixed interval, since a long gap
// between calls is taken for a stall of the process.
func (b *Backend) Expire(now time.Duration) []Decision {
	b.lock.Lock()
	defer b.lock.Unlock()
	decisions := []Decision{}
	stalled := b.stalled(now)
	b.lastExpireAt = now
	b.expireRetired(now)
	for _, key := range b.sortedKeys() {
		registered := b.upstreams[key]
		if stalled {
			registered.broken, registered.brokenAt = true, now
		}
		decisions = append(decisions, registered.refuseOverdue(now)...)
		decisions = append(decisions, b.startQueued(now, registered)...)
		if now-registered.announcedAt > b.settings.HeartbeatTimeout()*upstreamRetentionFactor && len(registered.running) == 0 {
			delete(b.upstreams, key)
		}
	}
	b.expireRecords(now)
	return decisions
}

// expireRetired removes instances that were retired or replaced more than ForgetAfter ago, when no delayed
// announcement of theirs can still arrive.
func (b *Backend) expireRetired(now time.Duration) {
	for instance, retiredAt := range b.retired {
		if now-retiredAt > b.settings.ForgetAfter() {
			delete(b.retired, instance)
		}
	}
	maps.DeleteFunc(b.replaced, func(_ string, replaced replacement) bool {
		return now-replaced.at > b.settings.ForgetAfter()
	})
}
