package frontend

import (
	"strconv"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/locking"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
)

// nestedLinkFactor multiplies the maximum link wait for calls that a running request makes.
const nestedLinkFactor = 2

// Dispatcher connects the frontend and the backend of one proxy. It processes each request as a
// sequence of events: submission, admission, selection of an upstream, forwarding, and the outcome
// or the loss of the connection; and it executes and completes the backend's decisions. It has no
// goroutines, clocks or sockets: these come from the Environment, so that the simulator runs the
// same code as the real process.
type Dispatcher struct {
	settings         settings.Settings
	frontend         *Frontend
	serving          *backend.Backend
	environment      Environment
	address          string
	nodeName         string
	processStartTime int64         // identifies this run of the process, which has no state of earlier runs' requests
	startedAt        time.Duration // on the process clock

	forwardEnded  func(attemptID string) // a forwarded attempt has its outcome
	answerDropped func(attemptID string) // an outcome arrived for an attempt that is not pending

	announcementReceived atomic.Bool // an upstream has announced itself since this process started

	lock        locking.Mutex
	connections map[string]Connection          // by address of the serving proxy
	pending     map[string]*PendingRequest     // by id of the attempt without an outcome
	replies     map[string]func(msg any) error // by id of the attempt that was forwarded to this proxy
}

// NewDispatcher creates the dispatcher of the proxy that self describes.
func NewDispatcher(
	cfg settings.Settings,
	front *Frontend,
	serving *backend.Backend,
	environment Environment,
	self message.Member,
) *Dispatcher {
	return &Dispatcher{
		settings:         cfg,
		frontend:         front,
		serving:          serving,
		environment:      environment,
		address:          self.Address,
		nodeName:         self.Name,
		processStartTime: self.StartTime,
		startedAt:        environment.Now(),
		forwardEnded:     func(string) {},
		answerDropped:    func(string) {},
		connections:      map[string]Connection{},
		pending:          map[string]*PendingRequest{},
		replies:          map[string]func(msg any) error{},
	}
}

// UpdateSnapshot passes a new snapshot of the control state to the frontend and the backend.
func (d *Dispatcher) UpdateSnapshot(snapshot *proxy.Snapshot) {
	d.frontend.UpdateSnapshot(d.environment.Now(), snapshot)
	d.execute(d.serving.UpdateRoster(snapshot.Upstreams))
	if d.mayAdoptUpstreams() {
		d.adoptUpstreams(snapshot)
	}
}

// Submit starts processing a request. onAdmitted is called at most once, with the request's
// deadline after admission; onDone is called once, with the final answer.
func (d *Dispatcher) Submit(
	request *Request,
	onAdmitted func(deadline time.Duration),
	onDone func(response *Response),
) *PendingRequest {
	pending := &PendingRequest{Request: request, onAdmitted: onAdmitted, onDone: onDone, submittedAt: d.environment.Now()}
	d.enqueueAdmission(pending)
	return pending
}

// enqueueAdmission enqueues a request for StageAdmit, and refuses it if the queue is full.
func (d *Dispatcher) enqueueAdmission(pending *PendingRequest) {
	if !d.environment.Enqueue(StageAdmit, pending) {
		d.respond(pending, NewRefusal(errcode.BusyQueueFull))
	}
}

// Admit implements StageAdmit: it admits the request, refuses it, or retries later if the first
// snapshot is still due.
func (d *Dispatcher) Admit(pending *PendingRequest) {
	if d.awaitsSnapshot(pending) {
		d.environment.After(d.settings.TickEvery(), func() { d.enqueueAdmission(pending) })
		return
	}
	response := d.frontend.admit(d.environment.Now(), d.environment.Wall(), pending.Request)
	if response != nil {
		d.respond(pending, response)
		return
	}
	pending.onAdmitted(pending.Request.Deadline)
	d.enqueueSelection(pending)
}

// awaitsSnapshot reports whether a request should wait instead of being refused, because this
// proxy started a short time ago and its first complete snapshot is due.
func (d *Dispatcher) awaitsSnapshot(pending *PendingRequest) bool {
	now := d.environment.Now()
	return now-d.startedAt < d.settings.ReparentAfter() &&
		now-pending.submittedAt < d.frontend.startupGrace(pending.Request) &&
		!d.frontend.synced()
}

// enqueueSelection enqueues a request for StageSelect, and ends it if the queue is full.
func (d *Dispatcher) enqueueSelection(pending *PendingRequest) {
	if !d.environment.Enqueue(StageSelect, pending) {
		d.respond(pending, d.frontend.abandon(pending.Request, false, abandonCodes{notStarted: errcode.BusyQueueFull}))
	}
}

// SelectUpstream implements StageSelect: it selects an upstream and forwards the request to it.
func (d *Dispatcher) SelectUpstream(pending *PendingRequest) {
	response := d.frontend.selectUpstream(d.environment.Now(), pending.Request, d.environment.Random())
	if response != nil {
		d.respond(pending, response)
		return
	}
	d.forward(pending)
}

// forward sends an attempt to the selected upstream's serving proxy. The attempt counts as not
// started here only if the frame could not be posted; after that, only the serving proxy can
// report that it did not start.
func (d *Dispatcher) forward(pending *PendingRequest) {
	request := pending.Request
	if request.Target.ServingProxyAddress != d.address && d.linkSaturated(request) {
		d.frontend.release(request)
		d.respond(pending, d.frontend.abandon(request, false, abandonCodes{notStarted: errcode.BusyQueueFull}))
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

// linkSaturated reports whether a request would wait longer than allowed for this machine's link,
// and should be refused immediately. Calls of a running request may wait longer, since refusing
// one wastes the work of the running request.
func (d *Dispatcher) linkSaturated(request *Request) bool {
	limit := d.settings.LinkWait()
	if request.nested() {
		limit *= nestedLinkFactor
	}
	return d.environment.Backlog() > limit
}

// HandleOutcome implements StageOutcome: it answers the request or enqueues another attempt.
func (d *Dispatcher) HandleOutcome(item AttemptOutcome) {
	response := d.frontend.evaluateOutcome(d.environment.Now(), item.Pending.Request, item.Outcome)
	if response != nil {
		d.respond(item.Pending, response)
		return
	}
	d.enqueueSelection(item.Pending)
}

// respond passes the final answer to the request's submitter, unless it has had one.
func (d *Dispatcher) respond(pending *PendingRequest, response *Response) {
	if !pending.finish() {
		return
	}
	response = d.frontend.adjustRetryAfter(response)
	d.frontend.countResponse(d.wallClock(), pending.Request, response)
	pending.onDone(response)
}

// abandonCodes are the codes of the answer to a request that is abandoned.
type abandonCodes struct {
	notStarted errcode.Code // no attempt may have run
	attemptOut errcode.Code // an attempt was sent and has no outcome yet
}

var (
	abandonedAtDeadline = abandonCodes{errcode.BusyDeadline, errcode.UnknownTimeout}
	abandonedByCaller   = abandonCodes{errcode.BusyAbandoned, errcode.UnknownAbandoned}
)

// Abandon ends a request whose deadline has passed. It returns false, and changes nothing, if the request
// is finished or an outcome of it is being processed; the processing of that outcome then produces the
// final answer or another attempt.
func (d *Dispatcher) Abandon(pending *PendingRequest) bool {
	return d.abandon(pending, abandonedAtDeadline)
}

// AbandonForCaller ends a request whose caller has ended its direction of the connection, as Abandon does.
func (d *Dispatcher) AbandonForCaller(pending *PendingRequest) bool {
	return d.abandon(pending, abandonedByCaller)
}

// abandon ends a request without an outcome, and answers it with one of the codes.
func (d *Dispatcher) abandon(pending *PendingRequest, codes abandonCodes) bool {
	attemptID, connection, abandoned := pending.abandon()
	if !abandoned {
		return false
	}
	if attemptID != "" {
		d.cancelAttempt(pending.Request, attemptID, connection)
	}
	response := d.frontend.abandon(pending.Request, attemptID != "", codes)
	d.frontend.countResponse(d.wallClock(), pending.Request, response)
	pending.onDone(response)
	return true
}

// cancelAttempt tells the serving proxy that the result of an attempt is no longer needed.
func (d *Dispatcher) cancelAttempt(request *Request, attemptID string, connection Connection) {
	d.lock.Lock()
	delete(d.pending, attemptID)
	d.lock.Unlock()
	d.frontend.release(request)
	d.frontend.abandonAttempt(d.environment.Now(), request)
	cancellation := message.Cancel{ID: attemptID}
	if connection == nil {
		d.deliverLocally(cancellation)
		return
	}
	// If the connection is broken, the attempt ends at its own deadline.
	_ = connection.Post(cancellation)
}

// wallClock returns the wall-clock time as a duration since the Unix epoch. Usage windows are
// based on it.
func (d *Dispatcher) wallClock() time.Duration {
	return time.Duration(d.environment.Wall().UnixNano())
}
