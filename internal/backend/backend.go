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
	"beaconvane/internal/safeguard"
	"beaconvane/internal/settings"
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
	Number      int64   `json:"number"`  // rises with each announcement of a life; 0: not told
	Cold        int64   `json:"cold_ms"` // how long it stays slow yet
}

// keptBody is the largest answer kept for a proxy that lost its connection.
const keptBody = 64 << 10

const connectionsReady = 16

const never = time.Duration(-1 << 62)

// Order is what is to be done with a carried request: start it, or refuse it.
type Order struct {
	Forward message.Forward
	Start   bool
	Code    errcode.Code
	Target  Target
	Window  int64 // of the usage in which it was counted as begun
}

// Target is the upstream as bound at the moment of starting.
type Target struct {
	Key         string
	Address     string
	Incarnation int64
	Pass        string
}

type waiting struct {
	forward message.Forward
	until   time.Duration
	aim     time.Duration // until when its answer has its full worth; 0: not told
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

// Pass is what a running request may be named by when its upstream calls on.
type Pass struct {
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
	passes    map[string]Pass
	leaving   bool

	repeatsFrom time.Duration // no repeat starts before
	repeatShare float64       // of repeats among the starts of requests that may be repeated
	sweptAt     time.Duration
	ended       map[string]time.Duration // instances that signed off: names that never come back
}

// New makes a backend.
func New(cfg settings.Settings, allows Allows) *Backend {
	return &Backend{settings: cfg, allows: allows, newPass: randomPass, upstreams: map[string]*upstream{}, outcomes: map[string]*kept{}, passes: map[string]Pass{}, ended: map[string]time.Duration{}}
}

// UsePasses replaces the source of passes, for the simulator's random source.
func (g *Backend) UsePasses(newPass func() string) { g.newPass = newPass }

func randomPass() string {
	var bytes [24]byte
	rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
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
func (g *Backend) Announce(now time.Duration, response Announcement) (accepted bool, endings []Announcement, orders []Order) {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := response.key()
	held, known := g.upstreams[key]
	if _, gone := g.ended[response.Instance]; gone || known && response.Number < held.announcement.Number && response.Incarnation == held.announcement.Incarnation {
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

// SignOff ends a registration; false when it is not here.
func (g *Backend) SignOff(service, instance string, incarnation int64) (bool, []Order) {
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

// Dismiss ends whatever an instance has registered here, and takes no announcement of
// its name any more; false when it was not registered.
func (g *Backend) Dismiss(now time.Duration, instance string) (ending Announcement, found bool, orders []Order) {
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
func (g *Backend) end(held *upstream, code errcode.Code) []Order {
	orders := []Order{}
	for _, item := range held.queue {
		orders = append(orders, g.refuse(item.forward, code))
	}
	held.queue = nil
	return orders
}

func (g *Backend) refuse(forward message.Forward, code errcode.Code) Order {
	return Order{Forward: forward, Code: code}
}

func (g *Backend) keys() []string { return slices.Sorted(maps.Keys(g.upstreams)) }

// Leave refuses all that has not started, from now on.
func (g *Backend) Leave() []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.leaving = true
	orders := []Order{}
	for _, key := range g.keys() {
		orders = append(orders, g.end(g.upstreams[key], errcode.BusyLeaving)...)
	}
	return orders
}

// Forwarded takes a request from another proxy, or from this one, and returns the orders that follow:
// it is started or refused; one that waits in the queue gives no order now.
func (g *Backend) Forwarded(now time.Duration, forward message.Forward) []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	if old, seen := g.outcomes[forward.ID]; seen {
		if old.barred {
			return []Order{g.refuse(forward, errcode.BusyServingProxyLost)}
		}
		return nil
	}
	held, known := g.upstreams[forward.Service+"/"+forward.Instance]
	if code := g.admits(now, held, known, forward); code != errcode.OK {
		return []Order{g.refuse(forward, code)}
	}
	until := now + time.Duration(forward.Remaining)
	g.remember(forward.ID, &kept{at: until, queue: true})
	item := waiting{forward: forward, until: until}
	if forward.Aim > 0 {
		item.aim = now + time.Duration(forward.Aim)
	}
	if held.hopeless(now, item) {
		delete(g.outcomes, forward.ID)
		return []Order{g.refuse(forward, errcode.BusySlotsFull)}
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

// admits: whether this upstream may be given this request now.
func (g *Backend) admits(now time.Duration, held *upstream, known bool, forward message.Forward) errcode.Code {
	switch {
	case g.leaving:
		return errcode.BusyLeaving
	case g.heldUp(now):
		return errcode.BusyUpstreamGone
	case !known || held.announcement.Incarnation != forward.Incarnation:
		return errcode.BusyUpstreamGone
	case now-held.announcedAt > g.settings.ServingProxyBound():
		return errcode.BusyUpstreamGone
	case held.broken && !(g.settings.ByTarget() && now-held.brokenAt > g.settings.DialFresh()):
		return errcode.BusyUpstreamGone
	case held.announcement.Leaving:
		return errcode.BusyLeaving
	case held.announcement.Warming:
		return errcode.BusyNotReady
	case forward.Remaining <= 0:
		return errcode.BusyDeadline
	case forward.Repeat && now < g.repeatsFrom:
		return errcode.BusyBudget
	}
	return g.allows(forward)
}

// heldUp: this process stood still, so its upstreams may have found another serving proxy
// meanwhile, and their slots are no longer this one's to give.
func (g *Backend) heldUp(now time.Duration) bool {
	return !g.settings.ByTarget() && g.sweptAt > 0 && now-g.sweptAt > g.settings.HeartbeatBound()/6
}

// fill starts pending requests while slots are free.
func (g *Backend) fill(now time.Duration, held *upstream) []Order {
	orders := []Order{}
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
		held.running[next.forward.ID] = started{once: next.forward.Once}
		g.noteStart(next.forward.Repeat, next.forward.Once)
		g.remember(next.forward.ID, &kept{at: now, began: now})
		pass := g.newPass()
		g.passes[pass] = Pass{next.forward.Tenant, next.forward.Service, next.forward.ID}
		forward := next.forward
		forward.Remaining = int64(next.until - now)
		orders = append(orders, Order{Forward: forward, Start: true,
			Target: Target{held.announcement.key(), held.announcement.Address, held.announcement.Incarnation, pass}})
	}
	return orders
}

func (g *Backend) remember(id string, outcome *kept) {
	if _, known := g.outcomes[id]; !known {
		g.order = append(g.order, id)
	}
	g.outcomes[id] = outcome
}

// bound gives the upstream that a target still names, as it was.
func (g *Backend) bound(target Target) (*upstream, bool) {
	held, known := g.upstreams[target.Key]
	return held, known && held.announcement.Incarnation == target.Incarnation && held.announcement.Address == target.Address
}

// Usable says whether the target is still what it was, so that connections made under its
// proof serve on.
func (g *Backend) Usable(now time.Duration, target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	return same && !held.broken && now-held.announcedAt <= g.settings.ServingProxyBound()
}

// Dialable says, before and after a dial, whether a new connection would be proven: the
// target gave a sign of life a moment ago, so nobody else can be at its address yet.
func (g *Backend) Dialable(now time.Duration, target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	return same && !held.broken && now-held.aliveAt <= g.settings.DialFresh()
}

// Alive notes bytes that came on a proven connection of the target.
func (g *Backend) Alive(now time.Duration, target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, same := g.bound(target); same && !held.broken {
		held.aliveAt = now
	}
}

// Doubt notes that a connection to the target broke with a request on it: it proves nobody
// until the next sign of life, but the guard and the connections that stand still do.
func (g *Backend) Doubt(target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, same := g.bound(target); same {
		held.aliveAt = never
	}
}

// ConnectionsReady is how many proven connections are kept for a target that idles.
func (g *Backend) ConnectionsReady(target Target) int {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	if !same {
		return 0
	}
	return int(min(max(held.announcement.Slots/2, 1), connectionsReady))
}

// Roster takes what the holders say of upstreams here: one that told another proxy
// that it leaves gets nothing more.
func (g *Backend) Roster(upstreams map[string][]message.Registration) []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	orders := []Order{}
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

// Here says that the target is still registered as it was.
func (g *Backend) Here(target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	_, same := g.bound(target)
	return same
}

// Broke notes a refused, reset or closed connection: no dial until a newer heartbeat.
func (g *Backend) Broke(now time.Duration, target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, known := g.upstreams[target.Key]; known && held.announcement.Incarnation == target.Incarnation {
		held.broken, held.brokenAt = true, now
	}
}

// Finish ends a started or refused request: the outcome is kept, the slot is free, and
// what may start next comes back as orders. A request that ended without any answer may
// still run at the upstream, so its slot stays taken for another request's time; one
// that was answered, be it with garbage, has run.
func (g *Backend) Finish(now time.Duration, order Order, outcome message.Outcome) (message.Outcome, []Order) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.passes, order.Target.Pass)
	outcome.ID = order.Forward.ID
	held, known := g.upstreams[order.Forward.Service+"/"+order.Forward.Instance]
	orders := []Order{}
	if _, runs := held.runs(outcome.ID); runs {
		delete(held.running, outcome.ID)
		if code := errcode.Code(outcome.Code); outcome.Kind == message.StartedNoWhole && code != errcode.AnswerMalformed && code != errcode.AnswerTooLarge {
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
		if outcome.Kind == message.NotStarted && outcome.Sent && errcode.Code(outcome.Code) == errcode.BusySlotsFull {
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
		outcome.Took = int64(now - old.began)
		if known && outcome.Kind == message.StartedWhole {
			held.learn(order.Forward.Route, now-old.began)
		}
	}
	if order.Start {
		light := outcome
		if len(light.Body) > keptBody {
			// Too large to hold for the rare second asking: it then counts as lost.
			light = message.Outcome{ID: outcome.ID, Kind: message.StartedNoWhole, Code: int64(errcode.UnknownOutcome)}
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
		if known && now-held.at < g.settings.AnswerKept() {
			break
		}
		if known {
			// Nobody asks for the answer itself so late; that it ran stays known.
			held.outcome = message.Outcome{ID: held.outcome.ID, Kind: message.StartedNoWhole, Code: int64(errcode.UnknownOutcome)}
		}
		g.heavy = g.heavy[1:]
	}
	for len(g.order) > 0 {
		oldest, known := g.outcomes[g.order[0]]
		if known && (!oldest.done && !oldest.barred || now-oldest.at < g.settings.OutcomeKept()) {
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
func (g *Backend) Withdraw(id string) (orders []Order, cancel bool) {
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
				return []Order{g.refuse(item.forward, errcode.BusyDeadline)}, false
			}
		}
	}
	return nil, false
}

// Expire refuses what has waited past its time.
func (g *Backend) Expire(now time.Duration) []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	orders := []Order{}
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
		if now-held.announcedAt > g.settings.HeartbeatBound()*4 && len(held.running) == 0 {
			delete(g.upstreams, key)
		}
	}
	g.forget(now)
	return orders
}

// PassOf names the tenant and calling service of a running request.
func (g *Backend) PassOf(pass string) (Pass, bool) {
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
