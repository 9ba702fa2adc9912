package backend

// This file is an upstream's queue: what waits for a slot, in which order, and what is refused
// because it would be answered too late.

import (
	"slices"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

type waiting struct {
	forward message.Forward
	until   time.Duration
	aim     time.Duration // until when its answer has its full worth; 0: not told
}

// push puts a request behind those of its own priority and better.
func (u *upstream) push(item waiting) {
	at := len(u.queue)
	for at > 0 && u.queue[at-1].forward.Priority > item.forward.Priority {
		at--
	}
	u.queue = slices.Insert(u.queue, at, item)
}

// hopeless: behind those that go before it, a request would be answered after its aim,
// and a slot that it took would be wasted on it while others can still be in time.
func (u *upstream) hopeless(now time.Duration, item waiting) bool {
	usual := u.usual[item.forward.Route]
	if item.aim == 0 || usual == 0 || int64(len(u.running)) < u.announcement.Slots {
		return false
	}
	ahead := 1
	for _, other := range u.queue {
		if other.forward.Priority <= item.forward.Priority {
			ahead++
		}
	}
	wait := u.whole * time.Duration(ahead) / time.Duration(max(1, u.announcement.Slots))
	return now+wait+usual > item.aim
}

// late: it has waited so long that even a quick answer would miss its aim.
func (u *upstream) late(now time.Duration, item waiting) bool {
	return item.aim > 0 && now+u.usual[item.forward.Route]/2 > item.aim
}

// learn takes how long a request took.
func (u *upstream) learn(route string, took time.Duration) {
	if u.usual[route] == 0 {
		u.usual[route] = took
	}
	if u.whole == 0 {
		u.whole = took
	}
	u.usual[route] += (took - u.usual[route]) / 16
	u.whole += (took - u.whole) / 16
}

// fill starts pending requests while slots are free.
func (g *Backend) fill(now time.Duration, held *upstream) []Decision {
	orders := []Decision{}
	ghosts := held.ghosts[:0]
	for _, until := range held.ghosts {
		if now < until {
			ghosts = append(ghosts, until)
		}
	}
	held.ghosts = ghosts
	for len(held.queue) > 0 && int64(len(held.running)+len(held.ghosts)) < held.announcement.Slots {
		next := held.queue[0]
		held.queue = held.queue[1:]
		if now >= next.until {
			orders = append(orders, g.refuse(next.forward, errcode.BusyDeadline))
			continue
		}
		if len(held.queue) > 0 && held.late(now, next) {
			orders = append(orders, g.refuse(next.forward, errcode.BusySlotsFull))
			continue
		}
		if code := g.admits(now, held, true, next.forward); code != errcode.OK {
			orders = append(orders, g.refuse(next.forward, code))
			continue
		}
		held.running[next.forward.ID] = started{once: next.forward.AtMostOnce}
		g.noteStart(next.forward.Retried, next.forward.AtMostOnce)
		g.remember(next.forward.ID, &kept{at: now, began: now})
		pass := g.newPass()
		g.passes[pass] = Delegation{next.forward.Tenant, next.forward.Service, next.forward.ID}
		forward := next.forward
		forward.Remaining = int64(next.until - now)
		orders = append(orders, Decision{Forward: forward, Start: true,
			Target: Target{held.announcement.key(), held.announcement.Address, held.announcement.Incarnation, pass}})
	}
	return orders
}
