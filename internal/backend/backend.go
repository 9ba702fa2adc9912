// Package backend is the serving proxy's side of traffic: the proxy beside an upstream holds
// as facts its slots, its drain, and whether each request was started. This file
// decides, under one short lock and with the time given, so that the simulator runs
// it as it stands; calling.go does the calling.
//
// A registration is bound to address, service and incarnation. Another announcement
// from its address ends it at once; after a broken connection nothing is dialled until a
// heartbeat of the same incarnation newer than the break; without a heartbeat in its bound
// nothing is started. The outcome on each request id is kept a while, and asking for an
// id never seen bars it from starting later.
package backend

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

const connectionsReady = 16

const never = time.Duration(-1 << 62)

// Decision is what is to be done with a carried request: start it, or refuse it.
type Decision struct {
	Forward message.Forward
	Start   bool
	Code    errcode.Code
	Target  Target
	Window  int64 // of the usage in which it was counted as begun
}

// Target is the upstream as bound at the moment of starting.
type Target struct {
	Key             string
	Address         string
	Incarnation     int64
	DelegationToken string
}

type upstream struct {
	announcement Announcement
	announcedAt  time.Duration
	aliveAt      time.Duration // the last sign of life: an announcement or an answer
	brokenAt     time.Duration
	broken       bool
	running      map[string]started // by attempt
	ghosts       []time.Duration
	queue        []waiting
	usual        map[string]time.Duration // by route: how long a request takes here
	whole        time.Duration            // and one of any route
}

// Delegation is what a running request may be named by when its upstream calls on.
type Delegation struct {
	Tenant  string
	Service string
	Key     string
}

// Allows checks a carried request against this serving proxy's own configurations.
type Allows func(forward message.Forward) errcode.Code

// Backend is the serving proxy of the upstreams that announce here.
type Backend struct {
	settings  settings.Settings
	allows    Allows
	newPass   func() string
	lock      sync.Mutex
	upstreams map[string]*upstream
	outcomes  map[string]*kept
	order     []string
	heavy     []string // ids whose kept outcomes still have their answers
	passes    map[string]Delegation
	leaving   bool

	repeatsFrom time.Duration // no repeat starts before
	repeatShare float64       // of repeats among the starts of requests that may be repeated
	sweptAt     time.Duration
	ended       map[string]time.Duration // instances that signed off: names that never come back
}

// New makes a backend.
func New(cfg settings.Settings, allows Allows) *Backend {
	return &Backend{settings: cfg, allows: allows, newPass: randomPass, upstreams: map[string]*upstream{}, outcomes: map[string]*kept{}, passes: map[string]Delegation{}, ended: map[string]time.Duration{}}
}

// UseTokenSource replaces the source of passes, for the simulator's random source.
func (g *Backend) UseTokenSource(newPass func() string) { g.newPass = newPass }

func randomPass() string {
	var bytes [24]byte
	rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

func (g *Backend) refuse(forward message.Forward, code errcode.Code) Decision {
	return Decision{Forward: forward, Code: code}
}

func (g *Backend) keys() []string { return slices.Sorted(maps.Keys(g.upstreams)) }

// Drain refuses all that has not started, from now on.
func (g *Backend) Drain() []Decision {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.leaving = true
	orders := []Decision{}
	for _, key := range g.keys() {
		orders = append(orders, g.end(g.upstreams[key], errcode.BusyLeaving)...)
	}
	return orders
}

// Forwarded takes a request from another proxy, or from this one, and returns the orders that follow:
// it is started or refused; one that waits in the queue gives no order now.
func (g *Backend) Forwarded(now time.Duration, forward message.Forward) []Decision {
	g.lock.Lock()
	defer g.lock.Unlock()
	if old, seen := g.outcomes[forward.ID]; seen {
		if old.barred {
			return []Decision{g.refuse(forward, errcode.BusyServingProxyLost)}
		}
		return nil
	}
	held, known := g.upstreams[forward.Service+"/"+forward.Instance]
	if code := g.admits(now, held, known, forward); code != errcode.OK {
		return []Decision{g.refuse(forward, code)}
	}
	until := now + time.Duration(forward.Remaining)
	g.remember(forward.ID, &kept{at: until, queue: true})
	item := waiting{forward: forward, until: until}
	if forward.TargetRemaining > 0 {
		item.aim = now + time.Duration(forward.TargetRemaining)
	}
	if held.hopeless(now, item) {
		delete(g.outcomes, forward.ID)
		return []Decision{g.refuse(forward, errcode.BusySlotsFull)}
	}
	held.push(item)
	orders := g.fill(now, held)
	if len(held.queue) > int(held.announcement.Slots) {
		last := held.queue[len(held.queue)-1]
		held.queue = held.queue[:len(held.queue)-1]
		delete(g.outcomes, last.forward.ID)
		orders = append(orders, g.refuse(last.forward, errcode.BusySlotsFull))
	}
	return orders
}

// admits: whether this upstream may be given this request now.
func (g *Backend) admits(now time.Duration, held *upstream, known bool, forward message.Forward) errcode.Code {
	switch {
	case g.leaving:
		return errcode.BusyLeaving
	case g.heldUp(now):
		return errcode.BusyUpstreamGone
	case !known || held.announcement.Incarnation != forward.Incarnation:
		return errcode.BusyUpstreamGone
	case now-held.announcedAt > g.settings.ServingProxyTimeout():
		return errcode.BusyUpstreamGone
	case held.broken && !(g.settings.ByTarget() && now-held.brokenAt > g.settings.DialFresh()):
		return errcode.BusyUpstreamGone
	case held.announcement.Leaving:
		return errcode.BusyLeaving
	case held.announcement.Warming:
		return errcode.BusyNotReady
	case forward.Remaining <= 0:
		return errcode.BusyDeadline
	case forward.Retried && now < g.repeatsFrom:
		return errcode.BusyBudget
	}
	return g.allows(forward)
}

// heldUp: this process stood still, so its upstreams may have found another serving proxy
// meanwhile, and their slots are no longer this one's to give.
func (g *Backend) heldUp(now time.Duration) bool {
	return !g.settings.ByTarget() && g.sweptAt > 0 && now-g.sweptAt > g.settings.HeartbeatTimeout()/6
}

// Expire refuses what has waited past its time.
func (g *Backend) Expire(now time.Duration) []Decision {
	g.lock.Lock()
	defer g.lock.Unlock()
	orders := []Decision{}
	stood := g.heldUp(now)
	g.sweptAt = now
	for instance, at := range g.ended {
		if now-at > g.settings.ForgetAfter() {
			delete(g.ended, instance)
		}
	}
	for _, key := range g.keys() {
		held := g.upstreams[key]
		if stood {
			held.broken, held.brokenAt = true, now
		}
		rest := []waiting{}
		for _, item := range held.queue {
			if now >= item.until {
				orders = append(orders, g.refuse(item.forward, errcode.BusyDeadline))
			} else {
				rest = append(rest, item)
			}
		}
		held.queue = rest
		orders = append(orders, g.fill(now, held)...)
		if now-held.announcedAt > g.settings.HeartbeatTimeout()*4 && len(held.running) == 0 {
			delete(g.upstreams, key)
		}
	}
	g.forget(now)
	return orders
}

// LookupDelegation names the tenant and calling service of a running request.
func (g *Backend) LookupDelegation(pass string) (Delegation, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, known := g.passes[pass]
	return held, known
}

// Running counts started requests, for a polite stop and the counters.
func (g *Backend) Running() (running, queue int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, held := range g.upstreams {
		running += len(held.running)
		queue += len(held.queue)
	}
	return running, queue
}
