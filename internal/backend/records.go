package backend

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// maxRecordedBody is the size in bytes of the largest response body that is retained for a proxy that
// lost its connection.
const maxRecordedBody = 64 << 10

const (
	// lingerDivisor divides RequestTimeout into the time for which the slot of a request is held after
	// its upstream closed the connection. Most likely the upstream has finished the request.
	lingerDivisor = 10

	// targetLingerDivisor divides AddressProofTTL into the same time for proof "target", where the
	// upstream was sent the remaining time of the request: that time or the connection has ended.
	targetLingerDivisor = 4
)

// attemptRecord is the state of an attempt, which a proxy queries after it lost its connection.
type attemptRecord struct {
	outcome   message.Outcome
	startedAt time.Duration
	updatedAt time.Duration // time of the last change; for a queued attempt its deadline
	done      bool
	barred    bool // it must never start
}

// record adds or replaces the record of an attempt.
func (b *Backend) record(id string, record *attemptRecord) {
	if _, known := b.records[id]; !known {
		b.recordOrder = append(b.recordOrder, id)
	}
	b.records[id] = record
}

// Complete ends a started or refused request: it records the outcome, frees the slot and returns the
// decisions on queued requests that follow. It returns the outcome with its id, the service time and
// the load of the upstream filled in.
func (b *Backend) Complete(now time.Duration, decision Decision, outcome message.Outcome) (message.Outcome, []Decision) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delete(b.delegations, decision.Target.DelegationToken)
	outcome.ID = decision.Forward.ID
	registered, known := b.upstreams[upstreamKey(decision.Forward.Service, decision.Forward.Instance)]
	decisions := []Decision{}
	if _, running := registered.findRunning(outcome.ID); running {
		delete(registered.running, outcome.ID)
		b.holdSlot(now, registered, outcome)
		decisions = b.startQueued(now, registered)
	}
	if known {
		registered.reportLoad(&outcome)
	}
	if record, seen := b.records[outcome.ID]; decision.Start && seen {
		serviceTime := now - record.startedAt
		outcome.ServiceTime = int64(serviceTime)
		if known && outcome.Kind == message.Completed {
			registered.observeLatency(decision.Forward.Route, serviceTime)
		}
	}
	b.recordOutcome(now, decision, outcome)
	b.expireRecords(now)
	return outcome, decisions
}

// holdSlot keeps the slot of an ended request occupied for a time if the upstream may still be working.
// A request that ended without a response may still run; one with a response, even a malformed one, has
// ended.
func (b *Backend) holdSlot(now time.Duration, registered *upstream, outcome message.Outcome) {
	code := errcode.Code(outcome.Code)
	if outcome.Kind == message.OutcomeUnknown && code != errcode.AnswerMalformed && code != errcode.AnswerTooLarge {
		registered.lingering = append(registered.lingering, now+b.lingerTime(code))
	}
	if outcome.Kind == message.NotStarted && outcome.ReachedUpstream && code == errcode.BusySlotsFull {
		// The upstream has requests that did not come from this serving proxy.
		registered.lingering = append(registered.lingering, now+b.settings.AddressProofTTL())
	}
}

// lingerTime returns the time for which a request that ended without a response may still run.
func (b *Backend) lingerTime(code errcode.Code) time.Duration {
	switch {
	case b.settings.ProofByTarget():
		return b.settings.AddressProofTTL() / targetLingerDivisor
	case code == errcode.UnknownOutcome:
		return b.settings.RequestTimeout() / lingerDivisor
	}
	return b.settings.RequestTimeout()
}

// reportLoad sets the load of the upstream in an outcome.
func (u *upstream) reportLoad(outcome *message.Outcome) {
	outcome.Outstanding = int64(len(u.running) + len(u.queue))
	outcome.Slots = u.announcement.Slots
	if outcome.Load == 0 {
		outcome.Load = u.announcement.Load
	}
}

// recordOutcome records the outcome of a decision.
func (b *Backend) recordOutcome(now time.Duration, decision Decision, outcome message.Outcome) {
	if !decision.Start {
		if record, seen := b.records[outcome.ID]; !seen || !record.barred {
			// A retry has an id of its own, so barring this one does not affect it.
			b.record(outcome.ID, &attemptRecord{outcome: outcome, updatedAt: now, done: true, barred: true})
		}
		return
	}
	if len(outcome.Body) > maxRecordedBody {
		// Too large to retain for the rare query: such a query reports the outcome as unknown.
		outcome = unknownOutcome(outcome.ID)
	}
	b.record(outcome.ID, &attemptRecord{outcome: outcome, updatedAt: now, done: true})
	if len(outcome.Body) > 0 {
		b.recordsWithBody = append(b.recordsWithBody, outcome.ID)
	}
}

// unknownOutcome returns the outcome of an attempt that may have run and whose response is not available.
func unknownOutcome(id string) message.Outcome {
	return message.Outcome{ID: id, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
}

// notStartedOutcome returns the outcome of an attempt that has not started and is barred from starting.
func notStartedOutcome(id string) message.Outcome {
	return message.Outcome{ID: id, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)}
}

// expireRecords removes response bodies after ResponseRetention, and records of ended attempts after
// OutcomeRetention, when no proxy queries them any longer.
func (b *Backend) expireRecords(now time.Duration) {
	b.expireBodies(now)
	for len(b.recordOrder) > 0 {
		oldest, known := b.records[b.recordOrder[0]]
		if known && (!oldest.done && !oldest.barred || now-oldest.updatedAt < b.settings.OutcomeRetention()) {
			return
		}
		delete(b.records, b.recordOrder[0])
		b.recordOrder = b.recordOrder[1:]
	}
}

// expireBodies replaces the outcomes of old records by unknown outcomes without a body, so that the
// requests remain known to have run.
func (b *Backend) expireBodies(now time.Duration) {
	for len(b.recordsWithBody) > 0 {
		record, known := b.records[b.recordsWithBody[0]]
		if known && now-record.updatedAt < b.settings.ResponseRetention() {
			return
		}
		if known {
			record.outcome = unknownOutcome(record.outcome.ID)
		}
		b.recordsWithBody = b.recordsWithBody[1:]
	}
}

// Outcome returns the outcome of an attempt to a proxy that lost the connection on which it sent it. An
// unknown attempt is barred from starting later, so it is reported as not started.
func (b *Backend) Outcome(now time.Duration, id string) message.Outcome {
	b.lock.Lock()
	defer b.lock.Unlock()
	record, known := b.records[id]
	switch {
	case !known:
		if safeguard.BarredQuestion.On() {
			b.record(id, &attemptRecord{updatedAt: now, barred: true, done: true})
		}
		return notStartedOutcome(id)
	case record.done && record.barred:
		return notStartedOutcome(id)
	case record.done:
		return record.outcome
	}
	return message.Outcome{ID: id, Kind: message.StillRunning}
}

// findRunning returns a running request of the upstream. It returns false if the request is not running
// or the upstream is nil.
func (u *upstream) findRunning(id string) (runningRequest, bool) {
	if u == nil {
		return runningRequest{}, false
	}
	request, running := u.running[id]
	return request, running
}

// Withdraw refuses a queued request whose caller has disconnected. For a running request it returns no
// decision; cancel then reports whether the request is repeatable, so that it may be cancelled.
func (b *Backend) Withdraw(id string) (decisions []Decision, cancel bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, key := range b.sortedKeys() {
		registered := b.upstreams[key]
		if request, running := registered.findRunning(id); running {
			return nil, !request.atMostOnce
		}
		for index, item := range registered.queue {
			if item.forward.ID == id {
				registered.queue = append(append([]queuedRequest{}, registered.queue[:index]...), registered.queue[index+1:]...)
				return []Decision{refusal(item.forward, errcode.BusyDeadline)}, false
			}
		}
	}
	return nil, false
}
