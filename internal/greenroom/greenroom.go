// Package greenroom is the home's side of traffic: the usher beside an upstream holds
// as facts its slots, its drain, and whether each query was started. This file
// decides, under one short lock and with the time given, so that the simulator runs
// it as it stands; calling.go does the calling.
//
// A registration is bound to address, service and incarnation. Another announcement
// from its address ends it at once; after a broken wire nothing is dialled until a
// beat of the same incarnation newer than the break; without a beat in its bound
// nothing is started. The verdict on each query id is kept a while, and asking for an
// id never seen bars it from starting later.
package greenroom

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// Announcement is what an upstream says of itself.
type Announcement struct {
	Service     string  `json:"service"`
	Instance    string  `json:"instance"`
	Incarnation int64   `json:"incarnation"`
	Address     string  `json:"address"`
	District    string  `json:"district"`
	Slots       int64   `json:"slots"`
	Warming     bool    `json:"warming"`
	Leaving     bool    `json:"leaving"`
	Load        float64 `json:"load"`
	Number      int64   `json:"number"`  // rises with each announcement of a life; 0: not told
	Cold        int64   `json:"cold_ms"` // how long it stays slow yet
}

// keptBody is the largest answer kept for a usher that lost its wire.
const keptBody = 64 << 10

const wiresReady = 16

const never = time.Duration(-1 << 62)

// Order is what is to be done with a carried query: start it, or refuse it.
type Order struct {
	Carry  script.Carry
	Start  bool
	Code   notice.Code
	Target Target
	Window int64 // of the usage in which it was counted as begun
}

// Target is the upstream as bound at the moment of starting.
type Target struct {
	Key         string
	Address     string
	Incarnation int64
	Pass        string
}

type waiting struct {
	carry script.Carry
	until time.Duration
	aim   time.Duration // until when its answer has its full worth; 0: not told
}

type upstream struct {
	announcement Announcement
	announcedAt  time.Duration
	aliveAt      time.Duration // the last sign of life: an announcement or an answer
	brokenAt     time.Duration
	broken       bool
	running      map[string]bool
	ghosts       []time.Duration
	pending      []waiting
	usual        map[string]time.Duration // by route: how long a query takes here
	whole        time.Duration            // and one of any route
}

type kept struct {
	verdict script.Verdict
	began   time.Duration
	at      time.Duration
	done    bool
	barred  bool
	pending bool
}

// Pass is what a running query may be named by when its upstream calls on.
type Pass struct {
	Tenant  string
	Service string
	Key     string
}

// Allows checks a carried query against this home's own layouts.
type Allows func(carry script.Carry) notice.Code

// Greenroom is the home of the upstreams that announce here.
type Greenroom struct {
	config    playbill.Config
	allows    Allows
	newPass   func() string
	lock      sync.Mutex
	upstreams map[string]*upstream
	verdicts  map[string]*kept
	order     []string
	heavy     []string // ids whose kept verdicts still have their answers
	passes    map[string]Pass
	leaving   bool
	sweptAt   time.Duration
	ended     map[string]time.Duration // instances that signed off: names that never come back
}

// New makes a greenroom.
func New(config playbill.Config, allows Allows) *Greenroom {
	return &Greenroom{config: config, allows: allows, newPass: randomPass, upstreams: map[string]*upstream{}, verdicts: map[string]*kept{}, passes: map[string]Pass{}, ended: map[string]time.Duration{}}
}

// UsePasses replaces the source of passes, for the simulator's dice.
func (g *Greenroom) UsePasses(newPass func() string) { g.newPass = newPass }

func randomPass() string {
	var bytes [24]byte
	rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// State gives the roster's word for an announcement.
func (a Announcement) State() string {
	switch {
	case a.Leaving:
		return script.StateLeaving
	case a.Warming:
		return script.StateWarming
	}
	return script.StateReady
}

// Registration is the announcement as the roster holds it, less the home.
func (a Announcement) Registration() script.Registration {
	return script.Registration{Service: a.Service, Instance: a.Instance, Incarnation: a.Incarnation, Address: a.Address,
		District: a.District, Slots: a.Slots, State: a.State()}
}

func (a Announcement) key() string { return a.Service + "/" + a.Instance }

// Announce takes a beat. It gives the registrations that it ended, and orders for
// queries that were pending.
func (g *Greenroom) Announce(now time.Duration, told Announcement) (accepted bool, endings []Announcement, orders []Order) {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := told.key()
	held, known := g.upstreams[key]
	if _, gone := g.ended[told.Instance]; gone || known && told.Number < held.announcement.Number && told.Incarnation == held.announcement.Incarnation {
		// A late one, behind the upstream's last word or a newer one: it alters nothing.
		return true, nil, nil
	}
	if known && told.Incarnation < held.announcement.Incarnation {
		return false, nil, nil
	}
	for _, otherKey := range g.keys() {
		other := g.upstreams[otherKey]
		replaced := otherKey == key && (told.Incarnation > other.announcement.Incarnation || told.Address != other.announcement.Address)
		if otherKey != key && other.announcement.Address == told.Address || replaced {
			if otherKey != key {
				endings = append(endings, other.announcement)
			}
			orders = append(orders, g.end(other, notice.BusyUpstreamGone)...)
			delete(g.upstreams, otherKey)
		}
	}
	held, known = g.upstreams[key]
	if !known {
		held = &upstream{running: map[string]bool{}, usual: map[string]time.Duration{}}
		g.upstreams[key] = held
	}
	if held.announcement.Leaving {
		told.Leaving = true
	}
	held.announcement, held.announcedAt, held.aliveAt = told, now, now
	if held.broken && now > held.brokenAt {
		held.broken = false
	}
	if told.Leaving {
		orders = append(orders, g.end(held, notice.BusyLeaving)...)
	}
	return true, endings, append(orders, g.fill(now, held)...)
}

// SignOff ends a registration; false when it is not here.
func (g *Greenroom) SignOff(service, instance string, incarnation int64) (bool, []Order) {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := service + "/" + instance
	held, known := g.upstreams[key]
	if !known || held.announcement.Incarnation != incarnation {
		return false, nil
	}
	delete(g.upstreams, key)
	return true, g.end(held, notice.BusyLeaving)
}

// Dismiss ends whatever an instance has registered here, and takes no announcement of
// its name any more; false when it was not registered.
func (g *Greenroom) Dismiss(now time.Duration, instance string) (ending Announcement, found bool, orders []Order) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.ended[instance] = now
	for _, key := range g.keys() {
		if held := g.upstreams[key]; held.announcement.Instance == instance {
			delete(g.upstreams, key)
			return held.announcement, true, g.end(held, notice.BusyLeaving)
		}
	}
	return Announcement{}, false, nil
}

// Held gives an upstream's announcement as it counts here.
func (g *Greenroom) Held(service, instance string) (Announcement, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, known := g.upstreams[service+"/"+instance]
	if !known {
		return Announcement{}, false
	}
	return held.announcement, true
}

// Holds says that an instance is registered here.
func (g *Greenroom) Holds(instance string) bool {
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
func (g *Greenroom) end(held *upstream, code notice.Code) []Order {
	orders := []Order{}
	for _, item := range held.pending {
		orders = append(orders, g.refuse(item.carry, code))
	}
	held.pending = nil
	return orders
}

func (g *Greenroom) refuse(carry script.Carry, code notice.Code) Order {
	return Order{Carry: carry, Code: code}
}

func (g *Greenroom) keys() []string { return slices.Sorted(maps.Keys(g.upstreams)) }

// Leave refuses all that has not started, from now on.
func (g *Greenroom) Leave() []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.leaving = true
	orders := []Order{}
	for _, key := range g.keys() {
		orders = append(orders, g.end(g.upstreams[key], notice.BusyLeaving)...)
	}
	return orders
}

// Carried takes a query from another usher (or this one): started, pending, or
// refused. A pending one gives no order now.
func (g *Greenroom) Carried(now time.Duration, carry script.Carry) []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	if old, seen := g.verdicts[carry.ID]; seen {
		if old.barred {
			return []Order{g.refuse(carry, notice.BusyHomeLost)}
		}
		return nil
	}
	held, known := g.upstreams[carry.Service+"/"+carry.Instance]
	if code := g.admits(now, held, known, carry); code != notice.OK {
		return []Order{g.refuse(carry, code)}
	}
	until := now + time.Duration(carry.Remaining)
	g.remember(carry.ID, &kept{at: until, pending: true})
	item := waiting{carry: carry, until: until}
	if carry.Aim > 0 {
		item.aim = now + time.Duration(carry.Aim)
	}
	if held.hopeless(now, item) {
		delete(g.verdicts, carry.ID)
		return []Order{g.refuse(carry, notice.BusySlotsFull)}
	}
	held.push(item)
	orders := g.fill(now, held)
	if len(held.pending) > int(held.announcement.Slots) {
		last := held.pending[len(held.pending)-1]
		held.pending = held.pending[:len(held.pending)-1]
		delete(g.verdicts, last.carry.ID)
		orders = append(orders, g.refuse(last.carry, notice.BusySlotsFull))
	}
	return orders
}

// push puts a query behind those of its own priority and better.
func (u *upstream) push(item waiting) {
	at := len(u.pending)
	for at > 0 && u.pending[at-1].carry.Priority > item.carry.Priority {
		at--
	}
	u.pending = slices.Insert(u.pending, at, item)
}

// hopeless: behind those that go before it, a query would be answered after its aim,
// and a slot that it took would be wasted on it while others can still be in time.
func (u *upstream) hopeless(now time.Duration, item waiting) bool {
	usual := u.usual[item.carry.Route]
	if item.aim == 0 || usual == 0 || int64(len(u.running)) < u.announcement.Slots {
		return false
	}
	ahead := 1
	for _, other := range u.pending {
		if other.carry.Priority <= item.carry.Priority {
			ahead++
		}
	}
	wait := u.whole * time.Duration(ahead) / time.Duration(max(1, u.announcement.Slots))
	return now+wait+usual > item.aim
}

// late: it has waited so long that even a quick answer would miss its aim.
func (u *upstream) late(now time.Duration, item waiting) bool {
	return item.aim > 0 && now+u.usual[item.carry.Route]/2 > item.aim
}

// learn takes how long a query took.
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

// admits: whether this upstream may be given this query now.
func (g *Greenroom) admits(now time.Duration, held *upstream, known bool, carry script.Carry) notice.Code {
	switch {
	case g.leaving:
		return notice.BusyLeaving
	case g.heldUp(now):
		return notice.BusyUpstreamGone
	case !known || held.announcement.Incarnation != carry.Incarnation:
		return notice.BusyUpstreamGone
	case now-held.announcedAt > g.config.HomeBound():
		return notice.BusyUpstreamGone
	case held.broken && !(g.config.ByTarget() && now-held.brokenAt > g.config.DialFresh()):
		return notice.BusyUpstreamGone
	case held.announcement.Leaving:
		return notice.BusyLeaving
	case held.announcement.Warming:
		return notice.BusyNotReady
	case carry.Remaining <= 0:
		return notice.BusyDeadline
	}
	return g.allows(carry)
}

// heldUp: this process stood still, so its upstreams may have found another home
// meanwhile, and their slots are no longer this one's to give.
func (g *Greenroom) heldUp(now time.Duration) bool {
	return !g.config.ByTarget() && g.sweptAt > 0 && now-g.sweptAt > g.config.BeatBound()/6
}

// fill starts pending queries while slots are free.
func (g *Greenroom) fill(now time.Duration, held *upstream) []Order {
	orders := []Order{}
	ghosts := held.ghosts[:0]
	for _, until := range held.ghosts {
		if now < until {
			ghosts = append(ghosts, until)
		}
	}
	held.ghosts = ghosts
	for len(held.pending) > 0 && int64(len(held.running)+len(held.ghosts)) < held.announcement.Slots {
		next := held.pending[0]
		held.pending = held.pending[1:]
		if now >= next.until {
			orders = append(orders, g.refuse(next.carry, notice.BusyDeadline))
			continue
		}
		if len(held.pending) > 0 && held.late(now, next) {
			orders = append(orders, g.refuse(next.carry, notice.BusySlotsFull))
			continue
		}
		if code := g.admits(now, held, true, next.carry); code != notice.OK {
			orders = append(orders, g.refuse(next.carry, code))
			continue
		}
		held.running[next.carry.ID] = true
		g.remember(next.carry.ID, &kept{at: now, began: now})
		pass := g.newPass()
		g.passes[pass] = Pass{next.carry.Tenant, next.carry.Service, next.carry.ID}
		carry := next.carry
		carry.Remaining = int64(next.until - now)
		orders = append(orders, Order{Carry: carry, Start: true,
			Target: Target{held.announcement.key(), held.announcement.Address, held.announcement.Incarnation, pass}})
	}
	return orders
}

func (g *Greenroom) remember(id string, verdict *kept) {
	if _, known := g.verdicts[id]; !known {
		g.order = append(g.order, id)
	}
	g.verdicts[id] = verdict
}

// bound gives the upstream that a target still names, as it was.
func (g *Greenroom) bound(target Target) (*upstream, bool) {
	held, known := g.upstreams[target.Key]
	return held, known && held.announcement.Incarnation == target.Incarnation && held.announcement.Address == target.Address
}

// Usable says whether the target is still what it was, so that wires made under its
// proof serve on.
func (g *Greenroom) Usable(now time.Duration, target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	return same && !held.broken && now-held.announcedAt <= g.config.HomeBound()
}

// Dialable says, before and after a dial, whether a new wire would be proven: the
// target gave a sign of life a moment ago, so nobody else can be at its address yet.
func (g *Greenroom) Dialable(now time.Duration, target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	return same && !held.broken && now-held.aliveAt <= g.config.DialFresh()
}

// Alive notes bytes that came on a proven wire of the target.
func (g *Greenroom) Alive(now time.Duration, target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, same := g.bound(target); same && !held.broken {
		held.aliveAt = now
	}
}

// Doubt notes that a wire to the target broke with a query on it: it proves nobody
// until the next sign of life, but the guard and the wires that stand still do.
func (g *Greenroom) Doubt(target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, same := g.bound(target); same {
		held.aliveAt = never
	}
}

// WiresReady is how many proven wires are kept for a target that idles.
func (g *Greenroom) WiresReady(target Target) int {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	if !same {
		return 0
	}
	return int(min(max(held.announcement.Slots/2, 1), wiresReady))
}

// Roster takes what the keepers say of upstreams here: one that told another usher
// that it leaves gets nothing more.
func (g *Greenroom) Roster(upstreams map[string][]script.Registration) []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	orders := []Order{}
	for _, key := range g.keys() {
		held := g.upstreams[key]
		for _, told := range upstreams[held.announcement.Service] {
			if told.Key() == key && told.Incarnation == held.announcement.Incarnation && told.State == script.StateLeaving && !held.announcement.Leaving {
				held.announcement.Leaving = true
				orders = append(orders, g.end(held, notice.BusyLeaving)...)
			}
		}
	}
	return orders
}

// Here says that the target is still registered as it was.
func (g *Greenroom) Here(target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	_, same := g.bound(target)
	return same
}

// Broke notes a refused, reset or closed wire: no dial until a newer beat.
func (g *Greenroom) Broke(now time.Duration, target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, known := g.upstreams[target.Key]; known && held.announcement.Incarnation == target.Incarnation {
		held.broken, held.brokenAt = true, now
	}
}

// Finish ends a started or refused query: the verdict is kept, the slot is free, and
// what may start next comes back as orders. A query that ended without any answer may
// still run at the upstream, so its slot stays taken for another query's time; one
// that was answered, be it with garbage, has run.
func (g *Greenroom) Finish(now time.Duration, order Order, verdict script.Verdict) (script.Verdict, []Order) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.passes, order.Target.Pass)
	verdict.ID = order.Carry.ID
	held, known := g.upstreams[order.Carry.Service+"/"+order.Carry.Instance]
	orders := []Order{}
	if known && held.running[verdict.ID] {
		delete(held.running, verdict.ID)
		if code := notice.Code(verdict.Code); verdict.Kind == script.StartedNoWhole && code != notice.AnswerMalformed && code != notice.AnswerTooLarge {
			until := now + g.config.QueryLimit()
			if code == notice.UnknownOutcome {
				// It closed the wire itself: most likely it has done with the query.
				until = now + g.config.QueryLimit()/10
			}
			if g.config.ByTarget() {
				// It was told how long it has, and that is over or the wire is.
				until = now + g.config.DialFresh()/4
			}
			held.ghosts = append(held.ghosts, until)
		}
		if verdict.Kind == script.NotStarted && verdict.Sent && notice.Code(verdict.Code) == notice.BusySlotsFull {
			// It has work that this home does not know of.
			held.ghosts = append(held.ghosts, now+g.config.DialFresh())
		}
		orders = g.fill(now, held)
	}
	if known {
		verdict.Outstanding = int64(len(held.running) + len(held.pending))
		verdict.Slots = held.announcement.Slots
		if verdict.Load == 0 {
			verdict.Load = held.announcement.Load
		}
	}
	if old, seen := g.verdicts[verdict.ID]; order.Start && seen {
		verdict.Took = int64(now - old.began)
		if known && verdict.Kind == script.StartedWhole {
			held.learn(order.Carry.Route, now-old.began)
		}
	}
	if order.Start {
		light := verdict
		if len(light.Body) > keptBody {
			// Too large to hold for the rare second asking: it then counts as lost.
			light = script.Verdict{ID: verdict.ID, Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)}
		}
		g.remember(verdict.ID, &kept{verdict: light, at: now, done: true})
		if len(light.Body) > 0 {
			g.heavy = append(g.heavy, verdict.ID)
		}
	} else if old, seen := g.verdicts[verdict.ID]; !seen || !old.barred {
		// A refused id may be carried here again by a retry with a new id only.
		g.remember(verdict.ID, &kept{verdict: verdict, at: now, done: true, barred: true})
	}
	g.forget(now)
	return verdict, orders
}

func (g *Greenroom) forget(now time.Duration) {
	for len(g.heavy) > 0 {
		held, known := g.verdicts[g.heavy[0]]
		if known && now-held.at < g.config.AnswerKept() {
			break
		}
		if known {
			// Nobody asks for the answer itself so late; that it ran stays known.
			held.verdict = script.Verdict{ID: held.verdict.ID, Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)}
		}
		g.heavy = g.heavy[1:]
	}
	for len(g.order) > 0 {
		oldest, known := g.verdicts[g.order[0]]
		if known && (!oldest.done && !oldest.barred || now-oldest.at < g.config.VerdictKept()) {
			return
		}
		delete(g.verdicts, g.order[0])
		g.order = g.order[1:]
	}
}

// Verdict answers a usher that lost the wire. An id never seen is barred: it can be
// answered as not started, for it never will be.
func (g *Greenroom) Verdict(now time.Duration, id string) script.Verdict {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, known := g.verdicts[id]
	switch {
	case !known:
		g.remember(id, &kept{at: now, barred: true, done: true})
		return script.Verdict{ID: id, Kind: script.NotStarted, Code: int64(notice.BusyHomeLost)}
	case held.done && held.barred:
		return script.Verdict{ID: id, Kind: script.NotStarted, Code: int64(notice.BusyHomeLost)}
	case held.done:
		return held.verdict
	}
	return script.Verdict{ID: id, Kind: script.StillRunning}
}

// Withdraw drops a query whose caller hung up, if it has not started.
func (g *Greenroom) Withdraw(id string) []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, key := range g.keys() {
		held := g.upstreams[key]
		for index, item := range held.pending {
			if item.carry.ID == id {
				held.pending = append(append([]waiting{}, held.pending[:index]...), held.pending[index+1:]...)
				return []Order{g.refuse(item.carry, notice.BusyDeadline)}
			}
		}
	}
	return nil
}

// Expire refuses what has waited past its time.
func (g *Greenroom) Expire(now time.Duration) []Order {
	g.lock.Lock()
	defer g.lock.Unlock()
	orders := []Order{}
	stood := g.heldUp(now)
	g.sweptAt = now
	for instance, at := range g.ended {
		if now-at > g.config.ForgetAfter() {
			delete(g.ended, instance)
		}
	}
	for _, key := range g.keys() {
		held := g.upstreams[key]
		if stood {
			held.broken, held.brokenAt = true, now
		}
		rest := []waiting{}
		for _, item := range held.pending {
			if now >= item.until {
				orders = append(orders, g.refuse(item.carry, notice.BusyDeadline))
			} else {
				rest = append(rest, item)
			}
		}
		held.pending = rest
		orders = append(orders, g.fill(now, held)...)
		if now-held.announcedAt > g.config.BeatBound()*4 && len(held.running) == 0 {
			delete(g.upstreams, key)
		}
	}
	g.forget(now)
	return orders
}

// PassOf names the tenant and calling service of a running query.
func (g *Greenroom) PassOf(pass string) (Pass, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, known := g.passes[pass]
	return held, known
}

// Running counts started queries, for a polite stop and the counters.
func (g *Greenroom) Running() (running, pending int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, held := range g.upstreams {
		running += len(held.running)
		pending += len(held.pending)
	}
	return running, pending
}
