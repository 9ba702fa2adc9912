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
	held, known := b.upstreams[upstreamKey(forward.Service, forward.Instance)]
	if code := b.checkForward(now, held, known, forward); code != errcode.OK {
		return []Decision{refusal(forward, code)}
	}
	item := queuedRequest{forward: forward, deadline: now + time.Duration(forward.Remaining)}
	if forward.TargetRemaining > 0 {
		item.aim = now + time.Duration(forward.TargetRemaining)
	}
	b.record(forward.ID, &attemptRecord{updatedAt: item.deadline})
	if held.cannotMeetAim(now, item) {
		delete(b.records, forward.ID)
		return []Decision{refusal(forward, errcode.BusySlotsFull)}
	}
	held.enqueue(item)
	decisions := b.startQueued(now, held)
	return append(decisions, b.refuseOverflow(held)...)
}

// refuseOverflow refuses the last in a queue that has become longer than the upstream has slots.
func (b *Backend) refuseOverflow(held *upstream) []Decision {
	if len(held.queue) <= int(held.announcement.Slots) {
		return nil
	}
	last := held.queue[len(held.queue)-1]
	held.queue = held.queue[:len(held.queue)-1]
	delete(b.records, last.forward.ID)
	return []Decision{refusal(last.forward, errcode.BusySlotsFull)}
}

// checkForward checks whether an upstream may be given a request now. held is nil for an upstream
// that is not known here.
func (b *Backend) checkForward(now time.Duration, held *upstream, known bool, forward message.Forward) errcode.Code {
	switch {
	case b.draining:
		return errcode.BusyLeaving
	case b.stalled(now):
		return errcode.BusyUpstreamGone
	case !known || held.announcement.Incarnation != forward.Incarnation:
		return errcode.BusyUpstreamGone
	case now-held.announcedAt > b.settings.ServingProxyTimeout():
		return errcode.BusyUpstreamGone
	case held.broken && !b.mayRedial(now, held):
		return errcode.BusyUpstreamGone
	case held.announcement.Leaving:
		return errcode.BusyLeaving
	case held.announcement.Warming:
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
func (b *Backend) mayRedial(now time.Duration, held *upstream) bool {
	return b.settings.ByTarget() && now-held.brokenAt > b.settings.DialFresh()
}

// stalled reports whether this process stood still for so long that its upstreams may have found
// another serving proxy meanwhile. Their slots are then no longer this one's to give.
func (b *Backend) stalled(now time.Duration) bool {
	return !b.settings.ByTarget() && b.lastExpireAt > 0 && now-b.lastExpireAt > b.settings.HeartbeatTimeout()/stallDivisor
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
		held := b.upstreams[key]
		if stalled {
			held.broken, held.brokenAt = true, now
		}
		decisions = append(decisions, held.refuseOverdue(now)...)
		decisions = append(decisions, b.startQueued(now, held)...)
		if now-held.announcedAt > b.settings.HeartbeatTimeout()*forgetFactor && len(held.running) == 0 {
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
