// This file is a query's way from stage to stage, as events: a query arrives, is
// gated, chosen for, carried; a verdict comes or a wire breaks; orders of the
// greenroom are started or concluded. It keeps no goroutine, clock or socket of its
// own; those come through the Backstage port, so that the simulator drives this very
// code. stages.go is the port of the real process.
package foyer

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
)

// Stage names a queue between two steps.
type Stage int

// The stages behind the read stage; StageStart is the home's.
const (
	StageGate Stage = iota
	StageChoose
	StageJudge
	StageStart
)

// Wire carries traffic frames to one home.
type Wire interface {
	Post(message any) error
	Broken() bool
	Attached() bool
	Close()
}

// Backstage is what the desk needs of its surroundings.
type Backstage interface {
	Now() time.Duration
	Wall() time.Time
	Dice() *rand.Rand
	Queue(stage Stage, item any) bool
	Open(home string, heard func(message any), closed func(wire Wire)) Wire
	After(wait time.Duration, then func())
	Tell(tidings any)
}

// Trip is a query on its way through this usher.
type Trip struct {
	Query   *Query
	lock    sync.Mutex
	carried string // id of the attempt that is out
	wire    Wire   // the one that the attempt went out on
	judging bool   // a verdict is in; the answer or the next attempt is on its way
	over    bool
	gated   func(deadline time.Duration)
	done    func(final *Final)
	came    time.Duration
}

// claim takes the verdict of an attempt, once.
func (t *Trip) claim(id string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.over || t.carried != id {
		return false
	}
	t.carried, t.judging = "", true
	return true
}

// on says that the attempt which is out went on a certain wire.
func (t *Trip) on(wire Wire) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.wire == wire
}

// Judged is a verdict on its way to the judge stage.
type Judged struct {
	Trip    *Trip
	Verdict script.Verdict
}

// Desk joins foyer and greenroom of one usher.
type Desk struct {
	config  playbill.Config
	foyer   *Foyer
	room    *greenroom.Greenroom
	back    Backstage
	address string
	node    string
	life    int64 // an earlier life's queries are none of this one's knowledge
	born    time.Duration

	heardOf atomic.Bool // an upstream has announced itself in this life

	lock    sync.Mutex
	wires   map[string]Wire
	waiting map[string]*Trip
	replies map[string]func(message any) error
}

// NewDesk makes the desk of a usher.
func NewDesk(config playbill.Config, foyer *Foyer, room *greenroom.Greenroom, back Backstage, self script.Member) *Desk {
	return &Desk{config: config, foyer: foyer, room: room, back: back, address: self.Address, node: self.Name, life: self.Birth, born: back.Now(),
		wires: map[string]Wire{}, waiting: map[string]*Trip{}, replies: map[string]func(message any) error{}}
}

// Show takes a new view of the control state to both sides.
func (d *Desk) Show(view *usher.View) {
	d.foyer.Show(d.back.Now(), view)
	d.CarryOut(d.room.Roster(view.Upstreams))
	if d.config.ByTarget() && d.back.Now()-d.born < d.config.BeatBound() && !d.heardOf.Load() {
		d.adopt(view)
	}
}

// adopt takes over, until any upstream has announced itself here, what the roster
// says of those beside an earlier life of this home: a query names its upstream, so one
// that is no longer there refuses what is sent.
func (d *Desk) adopt(view *usher.View) {
	for _, list := range view.Upstreams {
		for _, registration := range list {
			if registration.Home == d.node && registration.HomeBirth < d.life && !d.room.Holds(registration.Instance) {
				d.take(greenroom.Announcement{Service: registration.Service, Instance: registration.Instance, Incarnation: registration.Incarnation,
					Address: registration.Address, District: registration.District, Slots: registration.Slots, Leaving: registration.State == script.StateLeaving})
			}
		}
	}
}

// Arrive begins a query's trip; gated is told once until when it may take, done is
// called once with the final answer.
func (d *Desk) Arrive(query *Query, gated func(deadline time.Duration), done func(final *Final)) *Trip {
	going := &Trip{Query: query, gated: gated, done: done, came: d.back.Now()}
	if !d.back.Queue(StageGate, going) {
		d.finish(going, Refusal(notice.BusyPendingFull))
	}
	return going
}

// Gate is the gate stage.
func (d *Desk) Gate(going *Trip) {
	if now := d.back.Now(); now-d.born < d.config.Reparent() && now-going.came < d.foyer.Moment(going.Query) && !d.foyer.Here() {
		// This usher has only just begun, and its news is a moment away.
		d.back.After(d.config.TickEvery(), func() {
			if !d.back.Queue(StageGate, going) {
				d.finish(going, Refusal(notice.BusyPendingFull))
			}
		})
		return
	}
	if final := d.foyer.Gate(d.back.Now(), d.back.Wall(), going.Query); final != nil {
		d.finish(going, final)
		return
	}
	going.gated(going.Query.Deadline)
	d.next(going)
}

func (d *Desk) next(going *Trip) {
	if !d.back.Queue(StageChoose, going) {
		d.finish(going, d.foyer.Abandon(going.Query, false, notice.BusyPendingFull))
	}
}

// Choose is the choose stage; it carries.
func (d *Desk) Choose(going *Trip) {
	if final := d.foyer.Choose(d.back.Now(), going.Query, d.back.Dice()); final != nil {
		d.finish(going, final)
		return
	}
	d.carry(going)
}

// carry sends the query to the chosen home. Where the frame provably never left, it
// was not started; otherwise only the home may say so.
func (d *Desk) carry(going *Trip) {
	query := going.Query
	frame := d.foyer.Carry(d.back.Now(), query, d.node, strconv.Itoa(query.Attempts))
	wire := d.wireTo(query.Target.HomeAddress)
	going.lock.Lock()
	if going.over {
		going.lock.Unlock()
		d.foyer.Release(query)
		return
	}
	going.carried, going.wire, going.judging = frame.ID, wire, false
	going.lock.Unlock()
	d.lock.Lock()
	d.waiting[frame.ID] = going
	d.lock.Unlock()
	if wire == nil {
		d.local(frame)
	} else if err := wire.Post(frame); err != nil {
		d.verdict(script.Verdict{ID: frame.ID, Kind: script.NotStarted, Code: int64(notice.BusyHomeLost)})
	}
}

// local passes a frame to this usher's own greenroom.
func (d *Desk) local(message any) {
	d.Inbound(message, func(reply any) error { d.heard(reply); return nil })
}

// wireTo gives the wire to a home, opened anew where it broke; nil for this usher.
func (d *Desk) wireTo(home string) Wire {
	if home == d.address {
		return nil
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	wire := d.wires[home]
	if wire == nil || wire.Broken() {
		wire = d.back.Open(home, d.heard, func(broken Wire) { d.lost(home, broken) })
		d.wires[home] = wire
	}
	return wire
}

// lost settles what was out on a wire that broke: on that one alone, since another
// wire to the same home says nothing of what this one carried.
func (d *Desk) lost(home string, wire Wire) {
	d.lock.Lock()
	out := map[string]*Trip{}
	ids := []string{}
	for id, going := range d.waiting {
		if going.on(wire) {
			out[id] = going
			ids = append(ids, id)
		}
	}
	if d.wires[home] == wire {
		delete(d.wires, home)
	}
	d.lock.Unlock()
	sort.Strings(ids)
	if len(ids) == 0 {
		return
	}
	if !wire.Attached() {
		for _, id := range ids {
			d.verdict(script.Verdict{ID: id, Kind: script.NotStarted, Code: int64(notice.BusyHomeLost)})
		}
		return
	}
	// Go back to the home for the verdicts, for a short while.
	unknown := func() {
		for _, id := range ids {
			d.verdict(script.Verdict{ID: id, Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)})
		}
	}
	again := d.back.Open(home, d.heard, func(Wire) { unknown() })
	for _, id := range ids {
		again.Post(script.VerdictAsk{ID: id, HomeBirth: out[id].Query.Target.HomeBirth})
	}
	d.back.After(d.config.NewsEvery()*2, func() {
		unknown()
		again.Close()
	})
}

// heard takes what a home says.
func (d *Desk) heard(message any) {
	if verdict, isVerdict := message.(script.Verdict); isVerdict && verdict.Kind != script.StillRunning {
		d.verdict(verdict)
	}
}

func (d *Desk) verdict(verdict script.Verdict) {
	d.lock.Lock()
	going, known := d.waiting[verdict.ID]
	delete(d.waiting, verdict.ID)
	d.lock.Unlock()
	if known && going.claim(verdict.ID) {
		d.back.Queue(StageJudge, Judged{going, verdict})
	}
}

// Judge is the judge stage.
func (d *Desk) Judge(item Judged) {
	if final := d.foyer.Judge(d.back.Now(), item.Trip.Query, item.Verdict); final != nil {
		d.finish(item.Trip, final)
		return
	}
	d.next(item.Trip)
}

func (d *Desk) finish(going *Trip, final *Final) {
	going.lock.Lock()
	if going.over {
		going.lock.Unlock()
		return
	}
	going.over = true
	going.lock.Unlock()
	final = d.foyer.soon(final)
	d.foyer.Count(time.Duration(d.back.Wall().UnixNano()), going.Query, final)
	going.done(final)
}

// Abandon ends a trip from the waiting side: its time is up, or the caller hung up.
// False when an answer was already on its way.
func (d *Desk) Abandon(going *Trip) bool {
	going.lock.Lock()
	if going.over || going.judging {
		going.lock.Unlock()
		return false
	}
	going.over = true
	carried, wire := going.carried, going.wire
	going.lock.Unlock()
	if carried != "" {
		d.lock.Lock()
		delete(d.waiting, carried)
		d.lock.Unlock()
		d.foyer.Release(going.Query)
		if withdraw := (script.Withdraw{ID: carried}); wire != nil {
			wire.Post(withdraw)
		} else {
			d.local(withdraw)
		}
	}
	final := d.foyer.Abandon(going.Query, carried != "", notice.BusyDeadline)
	d.foyer.Count(time.Duration(d.back.Wall().UnixNano()), going.Query, final)
	going.done(final)
	return true
}

// Inbound takes traffic frames from other ushers (and from this one).
func (d *Desk) Inbound(message any, back func(message any) error) bool {
	switch heard := message.(type) {
	case script.Carry:
		d.lock.Lock()
		d.replies[heard.ID] = back
		d.lock.Unlock()
		d.CarryOut(d.room.Carried(d.back.Now(), heard))
	case script.VerdictAsk:
		if heard.HomeBirth != d.life {
			back(whole(script.Verdict{ID: heard.ID, Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)}))
			return true
		}
		verdict := d.room.Verdict(d.back.Now(), heard.ID)
		if verdict.Kind == script.StillRunning {
			// The answer will go to the new wire when it is there.
			d.lock.Lock()
			d.replies[heard.ID] = back
			d.lock.Unlock()
		}
		back(whole(verdict))
	case script.Withdraw:
		d.CarryOut(d.room.Withdraw(heard.ID))
	default:
		return false
	}
	return true
}

// CarryOut queues orders for the home stage; a full queue refuses at once.
func (d *Desk) CarryOut(orders []greenroom.Order) {
	for _, order := range orders {
		if !order.Start {
			d.Conclude(order, script.Verdict{Kind: script.NotStarted, Code: int64(order.Code)})
			continue
		}
		if d.config.CountsBegun() {
			order.Window = d.foyer.Began(time.Duration(d.back.Wall().UnixNano()), order.Carry.Tenant)
		}
		if !d.back.Queue(StageStart, order) {
			d.Conclude(order, script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusyPendingFull)})
		}
	}
}

// Conclude sends a verdict back and starts what may start next.
func (d *Desk) Conclude(order greenroom.Order, verdict script.Verdict) {
	if order.Start && verdict.Kind == script.NotStarted && d.config.CountsBegun() {
		d.foyer.Unbegun(order.Window, order.Carry.Tenant)
	}
	verdict, next := d.room.Finish(d.back.Now(), order, verdict)
	d.lock.Lock()
	back := d.replies[verdict.ID]
	delete(d.replies, verdict.ID)
	d.lock.Unlock()
	if back != nil {
		back(whole(verdict))
	}
	d.CarryOut(next)
}

// whole fills what the encoding wants.
func whole(verdict script.Verdict) script.Verdict {
	if verdict.Headers == nil {
		verdict.Headers = []script.HeaderLine{}
	}
	if verdict.Body == nil {
		verdict.Body = []byte{}
	}
	return verdict
}

// Expire is the steady sweep of the home.
func (d *Desk) Expire() { d.CarryOut(d.room.Expire(d.back.Now())) }

// Leave is the home's part of a polite stop.
func (d *Desk) Leave() { d.CarryOut(d.room.Leave()) }

// Announce takes a checked announcement; false when a higher incarnation is known.
func (d *Desk) Announce(told greenroom.Announcement) bool {
	d.heardOf.Store(true)
	return d.take(told)
}

func (d *Desk) take(told greenroom.Announcement) bool {
	accepted, endings, orders := d.room.Announce(d.back.Now(), told)
	if !accepted {
		return false
	}
	for _, ending := range endings {
		d.back.Tell(usher.SignedOff{Service: ending.Service, Instance: ending.Instance, Incarnation: ending.Incarnation})
	}
	// What the home holds now, which a late announcement has not altered.
	if held, known := d.room.Held(told.Service, told.Instance); known {
		d.back.Tell(usher.Announced{Registration: held.Registration()})
	}
	d.CarryOut(orders)
	return true
}

// Dismiss takes an instance's last word, whatever it had registered; its name never
// comes back.
func (d *Desk) Dismiss(instance string) {
	ending, found, orders := d.room.Dismiss(d.back.Now(), instance)
	if found {
		d.back.Tell(usher.SignedOff{Service: ending.Service, Instance: instance, Incarnation: ending.Incarnation})
	}
	d.CarryOut(orders)
}

// SignOff takes an upstream's last word; false when it is not registered here.
func (d *Desk) SignOff(service, instance string, incarnation int64) bool {
	found, orders := d.room.SignOff(service, instance, incarnation)
	d.back.Tell(usher.SignedOff{Service: service, Instance: instance, Incarnation: incarnation})
	d.CarryOut(orders)
	return found
}
