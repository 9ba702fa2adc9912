package backend

// This file takes what upstreams say of themselves: announcements, sign-offs, and what the
// roster tells of them.

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// Announcement is what an upstream says of itself.
type Announcement struct {
	Service     string  `json:"service"`
	Instance    string  `json:"instance"`
	Incarnation int64   `json:"incarnation"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Slots       int64   `json:"slots"`
	Warming     bool    `json:"warming"`
	Leaving     bool    `json:"leaving"`
	Load        float64 `json:"load"`
	Sequence    int64   `json:"number"`  // rises with each announcement of a life; 0: not told
	Cold        int64   `json:"cold_ms"` // how long it stays slow yet
}

// State gives the roster's word for an announcement.
func (a Announcement) State() string {
	switch {
	case a.Leaving:
		return message.StateLeaving
	case a.Warming:
		return message.StateWarming
	}
	return message.StateReady
}

// Registration is the announcement as the roster holds it, less the serving proxy.
func (a Announcement) Registration() message.Registration {
	return message.Registration{Service: a.Service, Instance: a.Instance, Incarnation: a.Incarnation, Address: a.Address,
		Zone: a.Zone, Slots: a.Slots, State: a.State()}
}

func (a Announcement) key() string { return a.Service + "/" + a.Instance }

// Announce takes a heartbeat. It gives the registrations that it ended, and orders for
// requests that were pending.
func (g *Backend) Announce(now time.Duration, response Announcement) (accepted bool, endings []Announcement, orders []Decision) {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := response.key()
	held, known := g.upstreams[key]
	if _, gone := g.ended[response.Instance]; gone || known && response.Sequence < held.announcement.Sequence && response.Incarnation == held.announcement.Incarnation {
		// A late one, behind the upstream's last word or a newer one: it alters nothing.
		return true, nil, nil
	}
	if known && response.Incarnation < held.announcement.Incarnation {
		return false, nil, nil
	}
	for _, otherKey := range g.keys() {
		other := g.upstreams[otherKey]
		replaced := otherKey == key && (response.Incarnation > other.announcement.Incarnation || response.Address != other.announcement.Address)
		if otherKey != key && other.announcement.Address == response.Address || replaced {
			if otherKey != key {
				endings = append(endings, other.announcement)
			}
			orders = append(orders, g.end(other, errcode.BusyUpstreamGone)...)
			delete(g.upstreams, otherKey)
		}
	}
	held, known = g.upstreams[key]
	if !known {
		held = &upstream{running: map[string]started{}, usual: map[string]time.Duration{}}
		g.upstreams[key] = held
	}
	if held.announcement.Leaving {
		response.Leaving = true
	}
	held.announcement, held.announcedAt, held.aliveAt = response, now, now
	if held.broken && now > held.brokenAt {
		held.broken = false
	}
	if response.Leaving {
		orders = append(orders, g.end(held, errcode.BusyLeaving)...)
	}
	return true, endings, append(orders, g.fill(now, held)...)
}

// Deregister ends a registration; false when it is not here.
func (g *Backend) Deregister(service, instance string, incarnation int64) (bool, []Decision) {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := service + "/" + instance
	held, known := g.upstreams[key]
	if !known || held.announcement.Incarnation != incarnation {
		return false, nil
	}
	delete(g.upstreams, key)
	return true, g.end(held, errcode.BusyLeaving)
}

// RetireInstance ends whatever an instance has registered here, and takes no announcement of
// its name any more; false when it was not registered.
func (g *Backend) RetireInstance(now time.Duration, instance string) (ending Announcement, found bool, orders []Decision) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.ended[instance] = now
	for _, key := range g.keys() {
		if held := g.upstreams[key]; held.announcement.Instance == instance {
			delete(g.upstreams, key)
			return held.announcement, true, g.end(held, errcode.BusyLeaving)
		}
	}
	return Announcement{}, false, nil
}

// Held gives an upstream's announcement as it counts here.
func (g *Backend) Held(service, instance string) (Announcement, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, known := g.upstreams[service+"/"+instance]
	if !known {
		return Announcement{}, false
	}
	return held.announcement, true
}

// Holds says that an instance is registered here.
func (g *Backend) Holds(instance string) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, held := range g.upstreams {
		if held.announcement.Instance == instance {
			return true
		}
	}
	return false
}

// end refuses everything pending at an upstream.
func (g *Backend) end(held *upstream, code errcode.Code) []Decision {
	orders := []Decision{}
	for _, item := range held.queue {
		orders = append(orders, g.refuse(item.forward, code))
	}
	held.queue = nil
	return orders
}

// Roster takes what the holders say of upstreams here: one that told another proxy
// that it leaves gets nothing more.
func (g *Backend) Roster(upstreams map[string][]message.Registration) []Decision {
	g.lock.Lock()
	defer g.lock.Unlock()
	orders := []Decision{}
	for _, key := range g.keys() {
		held := g.upstreams[key]
		for _, response := range upstreams[held.announcement.Service] {
			if response.Key() == key && response.Incarnation == held.announcement.Incarnation && response.State == message.StateLeaving && !held.announcement.Leaving {
				held.announcement.Leaving = true
				orders = append(orders, g.end(held, errcode.BusyLeaving)...)
			}
		}
	}
	return orders
}
