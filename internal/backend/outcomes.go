package backend

// This file keeps what became of each attempt, so that a proxy that lost its connection may ask
// for it, and frees the slot of one that ended.

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// keptBody is the largest answer kept for a proxy that lost its connection.
const keptBody = 64 << 10

// started is a request that an upstream works on.
type started struct {
	once bool // it must not run twice, so it isn't broken off either
}

type kept struct {
	outcome message.Outcome
	began   time.Duration
	at      time.Duration
	done    bool
	barred  bool
	queue   bool
}

func (g *Backend) remember(id string, outcome *kept) {
	if _, known := g.outcomes[id]; !known {
		g.order = append(g.order, id)
	}
	g.outcomes[id] = outcome
}

// Finish ends a started or refused request: the outcome is kept, the slot is free, and
// what may start next comes back as orders. A request that ended without any answer may
// still run at the upstream, so its slot stays taken for another request's time; one
// that was answered, be it with garbage, has run.
func (g *Backend) Finish(now time.Duration, order Decision, outcome message.Outcome) (message.Outcome, []Decision) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.passes, order.Target.DelegationToken)
	outcome.ID = order.Forward.ID
	held, known := g.upstreams[order.Forward.Service+"/"+order.Forward.Instance]
	orders := []Decision{}
	if _, runs := held.runs(outcome.ID); runs {
		delete(held.running, outcome.ID)
		if code := errcode.Code(outcome.Code); outcome.Kind == message.OutcomeUnknown && code != errcode.AnswerMalformed && code != errcode.AnswerTooLarge {
			until := now + g.settings.RequestLimit()
			if code == errcode.UnknownOutcome {
				// It closed the connection itself: most likely it has done with the request.
				until = now + g.settings.RequestLimit()/10
			}
			if g.settings.ByTarget() {
				// It was told how long it has, and that is over or the connection is.
				until = now + g.settings.DialFresh()/4
			}
			held.ghosts = append(held.ghosts, until)
		}
		if outcome.Kind == message.NotStarted && outcome.ReachedUpstream && errcode.Code(outcome.Code) == errcode.BusySlotsFull {
			// It has work that this serving proxy does not know of.
			held.ghosts = append(held.ghosts, now+g.settings.DialFresh())
		}
		orders = g.fill(now, held)
	}
	if known {
		outcome.Outstanding = int64(len(held.running) + len(held.queue))
		outcome.Slots = held.announcement.Slots
		if outcome.Load == 0 {
			outcome.Load = held.announcement.Load
		}
	}
	if old, seen := g.outcomes[outcome.ID]; order.Start && seen {
		outcome.ServiceTime = int64(now - old.began)
		if known && outcome.Kind == message.Completed {
			held.learn(order.Forward.Route, now-old.began)
		}
	}
	if order.Start {
		light := outcome
		if len(light.Body) > keptBody {
			// Too large to hold for the rare second asking: it then counts as lost.
			light = message.Outcome{ID: outcome.ID, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
		}
		g.remember(outcome.ID, &kept{outcome: light, at: now, done: true})
		if len(light.Body) > 0 {
			g.heavy = append(g.heavy, outcome.ID)
		}
	} else if old, seen := g.outcomes[outcome.ID]; !seen || !old.barred {
		// A refused id may be carried here again by a retry with a new id only.
		g.remember(outcome.ID, &kept{outcome: outcome, at: now, done: true, barred: true})
	}
	g.forget(now)
	return outcome, orders
}

func (g *Backend) forget(now time.Duration) {
	for len(g.heavy) > 0 {
		held, known := g.outcomes[g.heavy[0]]
		if known && now-held.at < g.settings.AnswerRetention() {
			break
		}
		if known {
			// Nobody asks for the answer itself so late; that it ran stays known.
			held.outcome = message.Outcome{ID: held.outcome.ID, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
		}
		g.heavy = g.heavy[1:]
	}
	for len(g.order) > 0 {
		oldest, known := g.outcomes[g.order[0]]
		if known && (!oldest.done && !oldest.barred || now-oldest.at < g.settings.OutcomeRetention()) {
			return
		}
		delete(g.outcomes, g.order[0])
		g.order = g.order[1:]
	}
}

// Outcome answers a proxy that lost the connection. An id never seen is barred: it can be
// answered as not started, for it never will be.
func (g *Backend) Outcome(now time.Duration, id string) message.Outcome {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, known := g.outcomes[id]
	switch {
	case !known:
		if safeguard.BarredQuestion.On() {
			g.remember(id, &kept{at: now, barred: true, done: true})
		}
		return message.Outcome{ID: id, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)}
	case held.done && held.barred:
		return message.Outcome{ID: id, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)}
	case held.done:
		return held.outcome
	}
	return message.Outcome{ID: id, Kind: message.StillRunning}
}

// runs gives a request that the upstream works on; false where it doesn't, or there is no
// such upstream.
func (u *upstream) runs(id string) (started, bool) {
	if u == nil {
		return started{}, false
	}
	held, running := u.running[id]
	return held, running
}

// Withdraw drops a request whose caller hung up, if it has not started. Where an upstream
// works on it and it may be repeated, cancel says that the work may be broken off.
func (g *Backend) Withdraw(id string) (orders []Decision, cancel bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, key := range g.keys() {
		held := g.upstreams[key]
		if work, running := held.runs(id); running {
			return nil, !work.once
		}
		for index, item := range held.queue {
			if item.forward.ID == id {
				held.queue = append(append([]waiting{}, held.queue[:index]...), held.queue[index+1:]...)
				return []Decision{g.refuse(item.forward, errcode.BusyDeadline)}, false
			}
		}
	}
	return nil, false
}
