package frontend

import (
	"strconv"
	"sync"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
)

// nestedLinkFactor is how much longer a running request's calls may wait for the link.
const nestedLinkFactor = 2

// Dispatcher takes requests through their steps as events: one is submitted, admitted, given an
// upstream and forwarded; an outcome comes, or a connection breaks; a decision of the backend is
// executed or completed. It joins the frontend and the backend of one proxy, and keeps no
// goroutine, clock or socket of its own. Those come from the Environment, so that the simulator
// runs the very code of the real process.
type Dispatcher struct {
	settings    settings.Settings
	frontend    *Frontend
	serving     *backend.Backend
	environment Environment
	address     string
	nodeName    string
	birth       int64 // names this run of the process; nothing is known here of an earlier one's requests
	startedAt   time.Duration

	heardAnnouncement atomic.Bool // an upstream has announced itself in this run

	lock        sync.Mutex
	connections map[string]Connection          // by address of the serving proxy
	pending     map[string]*PendingRequest     // by id of the attempt that is out
	replies     map[string]func(msg any) error // by id of the attempt that was forwarded here
}

// NewDispatcher makes the dispatcher of the proxy that self describes.
func NewDispatcher(
	cfg settings.Settings,
	front *Frontend,
	serving *backend.Backend,
	environment Environment,
	self message.Member,
) *Dispatcher {
	return &Dispatcher{
		settings:    cfg,
		frontend:    front,
		serving:     serving,
		environment: environment,
		address:     self.Address,
		nodeName:    self.Name,
		birth:       self.StartTime,
		startedAt:   environment.Now(),
		connections: map[string]Connection{},
		pending:     map[string]*PendingRequest{},
		replies:     map[string]func(msg any) error{},
	}
}

// UpdateSnapshot takes a new snapshot of the control state to both sides.
func (d *Dispatcher) UpdateSnapshot(snapshot *proxy.Snapshot) {
	d.frontend.UpdateSnapshot(d.environment.Now(), snapshot)
	d.execute(d.serving.UpdateRoster(snapshot.Upstreams))
	if d.mayAdoptUpstreams() {
		d.adoptUpstreams(snapshot)
	}
}

// Submit begins a request. onAdmitted is called at most once, with the deadline that the request
// has by its route; onDone is called once, with the final answer.
func (d *Dispatcher) Submit(
	request *Request,
	onAdmitted func(deadline time.Duration),
	onDone func(response *Response),
) *PendingRequest {
	pending := &PendingRequest{Request: request, onAdmitted: onAdmitted, onDone: onDone, submittedAt: d.environment.Now()}
	d.enqueueAdmission(pending)
	return pending
}

func (d *Dispatcher) enqueueAdmission(pending *PendingRequest) {
	if !d.environment.Enqueue(StageAdmit, pending) {
		d.respond(pending, NewRefusal(errcode.BusyQueueFull))
	}
}

// Admit is the step of StageAdmit.
func (d *Dispatcher) Admit(pending *PendingRequest) {
	if d.awaitsSnapshot(pending) {
		d.environment.After(d.settings.TickEvery(), func() { d.enqueueAdmission(pending) })
		return
	}
	refused := d.frontend.admit(d.environment.Now(), d.environment.Wall(), pending.Request)
	if refused != nil {
		d.respond(pending, refused)
		return
	}
	pending.onAdmitted(pending.Request.Deadline)
	d.enqueueSelection(pending)
}

// awaitsSnapshot reports whether a request is better held back a moment than refused, since this
// proxy has only just started and its first snapshot is due.
func (d *Dispatcher) awaitsSnapshot(pending *PendingRequest) bool {
	now := d.environment.Now()
	return now-d.startedAt < d.settings.ReparentAfter() &&
		now-pending.submittedAt < d.frontend.startupGrace(pending.Request) &&
		!d.frontend.synced()
}

func (d *Dispatcher) enqueueSelection(pending *PendingRequest) {
	if !d.environment.Enqueue(StageSelect, pending) {
		d.respond(pending, d.frontend.abandon(pending.Request, false, errcode.BusyQueueFull))
	}
}

// SelectUpstream is the step of StageSelect. It forwards the request to the chosen upstream.
func (d *Dispatcher) SelectUpstream(pending *PendingRequest) {
	refused := d.frontend.selectUpstream(d.environment.Now(), pending.Request, d.environment.Random())
	if refused != nil {
		d.respond(pending, refused)
		return
	}
	d.forward(pending)
}

// forward sends an attempt to the chosen upstream's serving proxy. Where the frame provably never
// left, the attempt was not started; otherwise only the serving proxy may say so.
func (d *Dispatcher) forward(pending *PendingRequest) {
	request := pending.Request
	if request.Target.ServingProxyAddress != d.address && d.linkSaturated(request) {
		d.frontend.release(request)
		d.respond(pending, d.frontend.abandon(request, false, errcode.BusyQueueFull))
		return
	}
	frame := d.frontend.forwardFrame(d.environment.Now(), request, d.nodeName, strconv.Itoa(request.Attempts))
	connection := d.connectionTo(request.Target.ServingProxyAddress)
	if !pending.beginAttempt(frame.ID, connection) {
		d.frontend.release(request)
		return
	}
	d.lock.Lock()
	d.pending[frame.ID] = pending
	d.lock.Unlock()
	if connection == nil {
		d.deliverLocally(frame)
	} else if err := connection.Post(frame); err != nil {
		d.deliverOutcome(notStartedOutcome(frame.ID))
	}
}

// linkSaturated reports whether a request would wait so long for this machine's link that it is
// better refused at once. A running request's calls may wait longer, since refusing one wastes
// that request's work.
func (d *Dispatcher) linkSaturated(request *Request) bool {
	limit := d.settings.LinkWait()
	if request.nested() {
		limit *= nestedLinkFactor
	}
	return d.environment.Backlog() > limit
}

// HandleOutcome is the step of StageOutcome: the final answer, or another attempt.
func (d *Dispatcher) HandleOutcome(item AttemptOutcome) {
	response := d.frontend.evaluateOutcome(d.environment.Now(), item.Pending.Request, item.Outcome)
	if response != nil {
		d.respond(item.Pending, response)
		return
	}
	d.enqueueSelection(item.Pending)
}

// respond gives a request its final answer, unless it has one.
func (d *Dispatcher) respond(pending *PendingRequest, response *Response) {
	if !pending.finish() {
		return
	}
	response = d.frontend.setRetryAfter(response)
	d.frontend.countResponse(d.wallClock(), pending.Request, response)
	pending.onDone(response)
}

// Abandon ends a request whose time is up or whose caller hung up. It returns false when an
// answer was already on its way.
func (d *Dispatcher) Abandon(pending *PendingRequest) bool {
	attemptID, connection, abandoned := pending.abandon()
	if !abandoned {
		return false
	}
	if attemptID != "" {
		d.withdraw(pending.Request, attemptID, connection)
	}
	response := d.frontend.abandon(pending.Request, attemptID != "", errcode.BusyDeadline)
	d.frontend.countResponse(d.wallClock(), pending.Request, response)
	pending.onDone(response)
	return true
}

// withdraw tells the serving proxy that nobody waits for an attempt any more.
func (d *Dispatcher) withdraw(request *Request, attemptID string, connection Connection) {
	d.lock.Lock()
	delete(d.pending, attemptID)
	d.lock.Unlock()
	d.frontend.release(request)
	d.frontend.abandonAttempt(d.environment.Now(), request)
	withdrawal := message.Cancel{ID: attemptID}
	if connection == nil {
		d.deliverLocally(withdrawal)
		return
	}
	// Where the connection has broken, the attempt ends at its own deadline.
	_ = connection.Post(withdrawal)
}

// wallClock is the time of day as a duration since the epoch, by which usage is counted.
func (d *Dispatcher) wallClock() time.Duration {
	return time.Duration(d.environment.Wall().UnixNano())
}
