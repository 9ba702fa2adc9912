// This file is a request's way from stage to stage, as events: a request arrives, is
// gated, chosen for, carried; a outcome comes or a connection breaks; orders of the
// backend are started or concluded. It keeps no goroutine, clock or socket of its
// own; those come through the Environment port, so that the simulator drives this very
// code. stages.go is the port of the real process.

package frontend

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/safeguard"
	"beaconvane/internal/settings"
)

// Stage names a queue between two steps.
type Stage int

// The stages behind the read stage; StageStart is the serving proxy's.
const (
	StageAdmit Stage = iota
	StageSelect
	StageOutcome
	StageStart
)

// Connection carries traffic frames to one serving proxy.
type Connection interface {
	Post(msg any) error
	Broken() bool
	Attached() bool
	Close()
}

// Environment is what the desk needs of its surroundings.
type Environment interface {
	Now() time.Duration
	Wall() time.Time
	Random() *rand.Rand
	Enqueue(env Stage, item any) bool
	Open(servingProxy string, received func(msg any), closed func(connection Connection)) Connection
	After(wait time.Duration, then func())
	Notify(notice any)

	// Cancel breaks off the exchange of an attempt that this serving proxy has started; its
	// outcome is concluded as any other.
	Cancel(id string)

	// Backlog is how long a frame that was posted now would wait for the machine's link.
	Backlog() time.Duration
}

// PendingRequest is a request on its way through this proxy.
type PendingRequest struct {
	Request    *Request
	lock       sync.Mutex
	forwarded  string     // id of the attempt that is out
	connection Connection // the one that the attempt went out on
	judging    bool       // a outcome is in; the answer or the next attempt is on its way
	over       bool
	gated      func(deadline time.Duration)
	done       func(final *Response)
	came       time.Duration
}

// claim takes the outcome of an attempt, once.
func (t *PendingRequest) claim(id string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.over || t.forwarded != id {
		return false
	}
	t.forwarded, t.judging = "", true
	return true
}

// on says that the attempt which is out went on a certain connection.
func (t *PendingRequest) on(connection Connection) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.connection == connection
}

// AttemptOutcome is a outcome on its way to the judge stage.
type AttemptOutcome struct {
	Trip    *PendingRequest
	Outcome message.Outcome
}

// Dispatcher joins frontend and backend of one proxy.
type Dispatcher struct {
	settings settings.Settings
	frontend *Frontend
	serving  *backend.Backend
	back     Environment
	address  string
	node     string
	life     int64 // an earlier life's requests are none of this one's knowledge
	born     time.Duration

	receivedOf atomic.Bool // an upstream has announced itself in this life

	lock        sync.Mutex
	connections map[string]Connection
	waiting     map[string]*PendingRequest
	replies     map[string]func(msg any) error
}

// NewDispatcher makes the desk of a proxy.
func NewDispatcher(cfg settings.Settings, front *Frontend, serving *backend.Backend, back Environment, self message.Member) *Dispatcher {
	return &Dispatcher{settings: cfg, frontend: front, serving: serving, back: back, address: self.Address, node: self.Name, life: self.StartTime, born: back.Now(),
		connections: map[string]Connection{}, waiting: map[string]*PendingRequest{}, replies: map[string]func(msg any) error{}}
}

// UpdateSnapshot takes a new snapshot of the control state to both sides.
func (d *Dispatcher) UpdateSnapshot(snapshot *proxy.Snapshot) {
	d.frontend.UpdateSnapshot(d.back.Now(), snapshot)
	d.ForwardOut(d.serving.Roster(snapshot.Upstreams))
	if d.settings.ByTarget() && d.back.Now()-d.born < d.settings.HeartbeatTimeout() && !d.receivedOf.Load() {
		d.adopt(snapshot)
	}
}

// adopt takes over, until any upstream has announced itself here, what the roster
// says of those beside an earlier life of this serving proxy: a request names its upstream, so one
// that is no longer there refuses what is sent.
func (d *Dispatcher) adopt(snapshot *proxy.Snapshot) {
	for _, list := range snapshot.Upstreams {
		for _, registration := range list {
			if registration.ServingProxy == d.node && registration.ServingProxyStartTime < d.life && !d.serving.Holds(registration.Instance) {
				d.take(backend.Announcement{Service: registration.Service, Instance: registration.Instance, Incarnation: registration.Incarnation,
					Address: registration.Address, Zone: registration.Zone, Slots: registration.Slots, Leaving: registration.State == message.StateLeaving})
			}
		}
	}
}

// Submit begins a request's trip; gated is told once until when it may take, done is
// called once with the final answer.
func (d *Dispatcher) Submit(request *Request, gated func(deadline time.Duration), done func(final *Response)) *PendingRequest {
	trip := &PendingRequest{Request: request, gated: gated, done: done, came: d.back.Now()}
	if !d.back.Enqueue(StageAdmit, trip) {
		d.finish(trip, NewRefusal(errcode.BusyQueueFull))
	}
	return trip
}

// Admit is the gate stage.
func (d *Dispatcher) Admit(trip *PendingRequest) {
	if now := d.back.Now(); now-d.born < d.settings.Reparent() && now-trip.came < d.frontend.Moment(trip.Request) && !d.frontend.Here() {
		// This proxy has only just begun, and its updates is a moment away.
		d.back.After(d.settings.TickEvery(), func() {
			if !d.back.Enqueue(StageAdmit, trip) {
				d.finish(trip, NewRefusal(errcode.BusyQueueFull))
			}
		})
		return
	}
	if final := d.frontend.Admit(d.back.Now(), d.back.Wall(), trip.Request); final != nil {
		d.finish(trip, final)
		return
	}
	trip.gated(trip.Request.Deadline)
	d.next(trip)
}

func (d *Dispatcher) next(trip *PendingRequest) {
	if !d.back.Enqueue(StageSelect, trip) {
		d.finish(trip, d.frontend.Abandon(trip.Request, false, errcode.BusyQueueFull))
	}
}

// SelectUpstream is the choose stage; it carries.
func (d *Dispatcher) SelectUpstream(trip *PendingRequest) {
	if final := d.frontend.SelectUpstream(d.back.Now(), trip.Request, d.back.Random()); final != nil {
		d.finish(trip, final)
		return
	}
	d.forward(trip)
}

// carry sends the request to the chosen serving proxy. Where the frame provably never left, it
// was not started; otherwise only the serving proxy may say so.
func (d *Dispatcher) forward(trip *PendingRequest) {
	request := trip.Request
	if request.Target.ServingProxyAddress != d.address && d.linkIsBusy(request) {
		d.frontend.Release(request)
		d.finish(trip, d.frontend.Abandon(request, false, errcode.BusyQueueFull))
		return
	}
	frame := d.frontend.Forward(d.back.Now(), request, d.node, strconv.Itoa(request.Attempts))
	connection := d.connectionTo(request.Target.ServingProxyAddress)
	trip.lock.Lock()
	if trip.over {
		trip.lock.Unlock()
		d.frontend.Release(request)
		return
	}
	trip.forwarded, trip.connection, trip.judging = frame.ID, connection, false
	trip.lock.Unlock()
	d.lock.Lock()
	d.waiting[frame.ID] = trip
	d.lock.Unlock()
	if connection == nil {
		d.local(frame)
	} else if err := connection.Post(frame); err != nil {
		d.outcome(message.Outcome{ID: frame.ID, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)})
	}
}

// linkIsBusy says that a request would wait too long for this machine's link, so that it
// is better refused at once. A running request's calls may wait longer, since refusing
// one wastes that request's work.
func (d *Dispatcher) linkIsBusy(request *Request) bool {
	limit := d.settings.LinkWait()
	if request.nested() {
		limit *= nestedLinkWaits
	}
	return d.back.Backlog() > limit
}

// nestedLinkWaits is how much longer a running request's calls may wait for the link.
const nestedLinkWaits = 2

// local passes a frame to this proxy's own backend.
func (d *Dispatcher) local(msg any) {
	d.HandleFrame(msg, func(reply any) error { d.received(reply); return nil })
}

// connectionTo gives the connection to a serving proxy, opened anew where it broke; nil for this proxy.
func (d *Dispatcher) connectionTo(servingProxy string) Connection {
	if servingProxy == d.address {
		return nil
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	connection := d.connections[servingProxy]
	if connection == nil || connection.Broken() {
		connection = d.back.Open(servingProxy, d.received, func(broken Connection) { d.lost(servingProxy, broken) })
		d.connections[servingProxy] = connection
	}
	return connection
}

// AttemptsOn counts the attempts that are out on a connection.
func (d *Dispatcher) AttemptsOn(connection Connection) int {
	d.lock.Lock()
	defer d.lock.Unlock()
	count := 0
	for _, trip := range d.waiting {
		if trip.on(connection) {
			count++
		}
	}
	return count
}

// lost settles what was out on a connection that broke: on that one alone, since another
// connection to the same serving proxy says nothing of what this one carried.
func (d *Dispatcher) lost(servingProxy string, connection Connection) {
	d.lock.Lock()
	out := map[string]*PendingRequest{}
	ids := []string{}
	for id, trip := range d.waiting {
		if trip.on(connection) {
			out[id] = trip
			ids = append(ids, id)
		}
	}
	if d.connections[servingProxy] == connection {
		delete(d.connections, servingProxy)
	}
	d.lock.Unlock()
	sort.Strings(ids)
	if len(ids) == 0 {
		return
	}
	if !connection.Attached() || !safeguard.NeverAttached.On() {
		for _, id := range ids {
			d.outcome(message.Outcome{ID: id, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)})
		}
		return
	}
	births := map[string]int64{}
	for _, id := range ids {
		births[id] = out[id].Request.Target.ServingProxyStartTime
	}
	d.question(servingProxy, births, questionsMost)
}

// received takes what a serving proxy says.
func (d *Dispatcher) received(msg any) {
	if outcome, isOutcome := msg.(message.Outcome); isOutcome && outcome.Kind != message.StillRunning {
		d.outcome(outcome)
	}
}

func (d *Dispatcher) outcome(outcome message.Outcome) {
	d.lock.Lock()
	trip, known := d.waiting[outcome.ID]
	delete(d.waiting, outcome.ID)
	d.lock.Unlock()
	if known && trip.claim(outcome.ID) {
		d.back.Enqueue(StageOutcome, AttemptOutcome{trip, outcome})
	}
}

// HandleOutcome is the judge stage.
func (d *Dispatcher) HandleOutcome(item AttemptOutcome) {
	if final := d.frontend.EvaluateOutcome(d.back.Now(), item.Trip.Request, item.Outcome); final != nil {
		d.finish(item.Trip, final)
		return
	}
	d.next(item.Trip)
}

func (d *Dispatcher) finish(trip *PendingRequest, final *Response) {
	trip.lock.Lock()
	if trip.over {
		trip.lock.Unlock()
		return
	}
	trip.over = true
	trip.lock.Unlock()
	final = d.frontend.soon(final)
	d.frontend.Count(time.Duration(d.back.Wall().UnixNano()), trip.Request, final)
	trip.done(final)
}

// Abandon ends a trip from the waiting side: its time is up, or the caller hung up.
// False when an answer was already on its way.
func (d *Dispatcher) Abandon(trip *PendingRequest) bool {
	trip.lock.Lock()
	if trip.over || trip.judging {
		trip.lock.Unlock()
		return false
	}
	trip.over = true
	forwarded, connection := trip.forwarded, trip.connection
	trip.lock.Unlock()
	if forwarded != "" {
		d.lock.Lock()
		delete(d.waiting, forwarded)
		d.lock.Unlock()
		d.frontend.Release(trip.Request)
		d.frontend.Unanswered(d.back.Now(), trip.Request)
		if withdraw := (message.Cancel{ID: forwarded}); connection != nil {
			connection.Post(withdraw)
		} else {
			d.local(withdraw)
		}
	}
	final := d.frontend.Abandon(trip.Request, forwarded != "", errcode.BusyDeadline)
	d.frontend.Count(time.Duration(d.back.Wall().UnixNano()), trip.Request, final)
	trip.done(final)
	return true
}

// HandleFrame takes traffic frames from other proxies (and from this one).
func (d *Dispatcher) HandleFrame(msg any, back func(msg any) error) bool {
	switch received := msg.(type) {
	case message.Forward:
		d.lock.Lock()
		d.replies[received.ID] = back
		d.lock.Unlock()
		d.ForwardOut(d.serving.Forwarded(d.back.Now(), received))
	case message.OutcomeRequest:
		if received.ServingProxyStartTime != d.life && safeguard.OtherLife.On() {
			back(whole(message.Outcome{ID: received.ID, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}))
			return true
		}
		// Whoever asks gets the outcome later, if there is none yet: noted first, since it
		// may come at this very moment.
		d.lock.Lock()
		d.replies[received.ID] = back
		d.lock.Unlock()
		outcome := d.serving.Outcome(d.back.Now(), received.ID)
		if outcome.Kind != message.StillRunning {
			d.lock.Lock()
			delete(d.replies, received.ID)
			d.lock.Unlock()
		}
		back(whole(outcome))
	case message.Cancel:
		orders, cancel := d.serving.Withdraw(received.ID)
		d.ForwardOut(orders)
		if cancel {
			d.back.Cancel(received.ID)
		}
	default:
		return false
	}
	return true
}

// ForwardOut queues orders for the serving proxy stage; a full queue refuses at once.
func (d *Dispatcher) ForwardOut(orders []backend.Decision) {
	for _, order := range orders {
		if !order.Start {
			d.Complete(order, message.Outcome{Kind: message.NotStarted, Code: int64(order.Code)})
			continue
		}
		if d.settings.CountsBegun() {
			order.Window = d.frontend.Began(time.Duration(d.back.Wall().UnixNano()), order.Forward.Tenant)
		}
		if !d.back.Enqueue(StageStart, order) {
			d.Complete(order, message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyQueueFull)})
		}
	}
}

// Complete sends a outcome back and starts what may start next.
func (d *Dispatcher) Complete(order backend.Decision, outcome message.Outcome) {
	if order.Start && outcome.Kind == message.NotStarted && d.settings.CountsBegun() {
		d.frontend.Unbegun(order.Window, order.Forward.Tenant)
	}
	outcome, next := d.serving.Finish(d.back.Now(), order, outcome)
	d.lock.Lock()
	back := d.replies[outcome.ID]
	delete(d.replies, outcome.ID)
	d.lock.Unlock()
	if back != nil {
		back(whole(outcome))
	}
	d.ForwardOut(next)
}

// whole fills what the encoding wants.
func whole(outcome message.Outcome) message.Outcome {
	if outcome.Headers == nil {
		outcome.Headers = []message.HeaderLine{}
	}
	if outcome.Body == nil {
		outcome.Body = []byte{}
	}
	return outcome
}

// Expire is the steady sweep of the serving proxy.
func (d *Dispatcher) Expire() { d.ForwardOut(d.serving.Expire(d.back.Now())) }

// Drain is the serving proxy's part of a polite stop.
func (d *Dispatcher) Drain() { d.ForwardOut(d.serving.Drain()) }

// Announce takes a checked announcement; false when a higher incarnation is known.
func (d *Dispatcher) Announce(response backend.Announcement) bool {
	d.receivedOf.Store(true)
	return d.take(response)
}

func (d *Dispatcher) take(response backend.Announcement) bool {
	accepted, endings, orders := d.serving.Announce(d.back.Now(), response)
	if !accepted {
		return false
	}
	for _, ending := range endings {
		d.back.Notify(proxy.SignedOff{Service: ending.Service, Instance: ending.Instance, Incarnation: ending.Incarnation})
	}
	// What the serving proxy holds now, which a late announcement has not altered.
	if held, known := d.serving.Held(response.Service, response.Instance); known {
		d.back.Notify(proxy.Announced{Registration: held.Registration()})
	}
	d.ForwardOut(orders)
	return true
}

// RetireInstance takes an instance's last word, whatever it had registered; its name never
// comes back.
func (d *Dispatcher) RetireInstance(instance string) {
	ending, found, orders := d.serving.RetireInstance(d.back.Now(), instance)
	if found {
		d.back.Notify(proxy.SignedOff{Service: ending.Service, Instance: instance, Incarnation: ending.Incarnation})
	}
	d.ForwardOut(orders)
}

// Deregister takes an upstream's last word; false when it is not registered here.
func (d *Dispatcher) Deregister(service, instance string, incarnation int64) bool {
	found, orders := d.serving.Deregister(service, instance, incarnation)
	d.back.Notify(proxy.SignedOff{Service: service, Instance: instance, Incarnation: incarnation})
	d.ForwardOut(orders)
	return found
}
