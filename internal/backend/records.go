package backend

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// maxRecordedBody is the largest answer kept for a proxy that lost its connection.
const maxRecordedBody = 64 << 10

const (
	// lingerDivisor makes, of a request's time, how long the slot of one whose upstream closed
	// the connection stays taken: most likely the upstream has done with it.
	lingerDivisor = 10

	// targetLingerDivisor makes the same of AddressProofTTL, where upstreams were told how long a
	// request has: that time is over, or the connection is.
	targetLingerDivisor = 4
)

// attemptRecord is what became of an attempt, for a proxy that lost its connection and asks.
type attemptRecord struct {
	outcome   message.Outcome
	startedAt time.Duration
	updatedAt time.Duration // its deadline, while it waits in the queue
	done      bool
	barred    bool // it never starts
}

// record keeps what became of an attempt.
func (b *Backend) record(id string, record *attemptRecord) {
	if _, known := b.records[id]; !known {
		b.recordOrder = append(b.recordOrder, id)
	}
	b.records[id] = record
}

// Complete ends a started or refused request: the outcome is kept, the slot is freed, and what may
// start next comes back as decisions. It returns the outcome with what this side knows besides.
func (b *Backend) Complete(now time.Duration, decision Decision, outcome message.Outcome) (message.Outcome, []Decision) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delete(b.delegations, decision.Target.DelegationToken)
	outcome.ID = decision.Forward.ID
	registered, known := b.upstreams[upstreamKey(decision.Forward.Service, decision.Forward.Instance)]
	decisions := []Decision{}
	if _, running := registered.findRunning(outcome.ID); running {
		delete(registered.running, outcome.ID)
		b.keepSlotTaken(now, registered, outcome)
		decisions = b.startQueued(now, registered)
	}
	if known {
		registered.report(&outcome)
	}
	if record, seen := b.records[outcome.ID]; decision.Start && seen {
		took := now - record.startedAt
		outcome.ServiceTime = int64(took)
		if known && outcome.Kind == message.Completed {
			registered.observeLatency(decision.Forward.Route, took)
		}
	}
	b.recordOutcome(now, decision, outcome)
	b.expireRecords(now)
	return outcome, decisions
}

// keepSlotTaken keeps the slot of an ended request where the upstream may still be at work. A
// request that ended without any answer may run on; one that was answered, be it with garbage,
// has run.
func (b *Backend) keepSlotTaken(now time.Duration, registered *upstream, outcome message.Outcome) {
	code := errcode.Code(outcome.Code)
	if outcome.Kind == message.OutcomeUnknown && code != errcode.AnswerMalformed && code != errcode.AnswerTooLarge {
		registered.lingering = append(registered.lingering, now+b.lingerTime(code))
	}
	if outcome.Kind == message.NotStarted && outcome.ReachedUpstream && code == errcode.BusySlotsFull {
		// It has work that this serving proxy does not know of.
		registered.lingering = append(registered.lingering, now+b.settings.AddressProofTTL())
	}
}

// lingerTime is how long a request that ended without an answer may run on.
func (b *Backend) lingerTime(code errcode.Code) time.Duration {
	switch {
	case b.settings.ProofByTarget():
		return b.settings.AddressProofTTL() / targetLingerDivisor
	case code == errcode.UnknownOutcome:
		return b.settings.RequestTimeout() / lingerDivisor
	}
	return b.settings.RequestTimeout()
}

// report tells with an outcome how loaded the upstream is.
func (u *upstream) report(outcome *message.Outcome) {
	outcome.Outstanding = int64(len(u.running) + len(u.queue))
	outcome.Slots = u.announcement.Slots
	if outcome.Load == 0 {
		outcome.Load = u.announcement.Load
	}
}

// recordOutcome keeps the outcome of a decision.
func (b *Backend) recordOutcome(now time.Duration, decision Decision, outcome message.Outcome) {
	if !decision.Start {
		if record, seen := b.records[outcome.ID]; !seen || !record.barred {
			// A retry comes under an id of its own, so this one may be barred.
			b.record(outcome.ID, &attemptRecord{outcome: outcome, updatedAt: now, done: true, barred: true})
		}
		return
	}
	if len(outcome.Body) > maxRecordedBody {
		// Too large to hold for the rare second asking: it then counts as lost.
		outcome = unknownOutcome(outcome.ID)
	}
	b.record(outcome.ID, &attemptRecord{outcome: outcome, updatedAt: now, done: true})
	if len(outcome.Body) > 0 {
		b.recordsWithBody = append(b.recordsWithBody, outcome.ID)
	}
}

// unknownOutcome is the outcome of an attempt that has run, and of which no more is known.
func unknownOutcome(id string) message.Outcome {
	return message.Outcome{ID: id, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
}

// notStartedOutcome is the outcome of an attempt that has not started and never will.
func notStartedOutcome(id string) message.Outcome {
	return message.Outcome{ID: id, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)}
}

// expireRecords drops answers, and later whole records, that are too old for anybody to ask for.
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

// expireBodies drops old answers. That their requests ran stays known.
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

// Outcome answers a proxy that lost the connection on which it sent an attempt. An attempt never
// seen is barred: it is answered as not started, since it never will be.
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

// findRunning returns a request that the upstream works on. It returns false where it doesn't, and
// where there is no such upstream.
func (u *upstream) findRunning(id string) (runningRequest, bool) {
	if u == nil {
		return runningRequest{}, false
	}
	request, running := u.running[id]
	return request, running
}

// Withdraw drops a request whose caller hung up, if it has not started. Where an upstream works on
// it and it may be repeated, cancel says that the work may be broken off.
func (b *Backend) Withdraw(id string) (decisions []Decision, cancel bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, key := range b.sortedKeys() {
		registered := b.upstreams[key]
		if request, running := registered.findRunning(id); running {
			return nil, !request.once
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
