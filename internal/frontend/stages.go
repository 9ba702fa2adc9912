// This file is the real process around the desk: stages joined by bounded queues. Read
// is the HTTP handler, which also waits for the answer and gives up at the deadline;
// gate, choose and judge are small crews of workers; the serving proxy stage starts calls. The
// number of requests inside is capped at the read stage, so the judge queue can always
// take a outcome; every other full queue refuses at once.

package frontend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

// CodeHeader bears the result code of answers that are the mesh's own.
const CodeHeader = "X-Beacon-Code"

// Pipeline is the running traffic side of a proxy.
type Pipeline struct {
	*Dispatcher
	settings   settings.Settings
	serving    *backend.Backend
	caller     *backend.UpstreamClient
	goroutines *goroutine.Group
	tell       func(notice any)
	transport  *transport.Transport

	admit  chan *PendingRequest
	choose chan *PendingRequest
	judge  chan *AttemptOutcome
	starts chan *backend.Decision
	inside atomic.Int64
	bodies bodyRoom
	random *mathrand.Rand
}

// NewPipeline joins frontend and backend to connections.
func NewPipeline(cfg settings.Settings, front *Frontend, serving *backend.Backend, caller *backend.UpstreamClient, members *goroutine.Group, self message.Member, tell func(notice any)) *Pipeline {
	capacity := int(cfg.Limits.Queue)
	t := &Pipeline{settings: cfg, serving: serving, caller: caller, goroutines: members, tell: tell,
		admit: make(chan *PendingRequest, capacity), choose: make(chan *PendingRequest, capacity), judge: make(chan *AttemptOutcome, capacity*2+16),
		starts: make(chan *backend.Decision, capacity*4), random: mathrand.New(lockedSource{&sync.Mutex{}, mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())})}
	t.bodies.left = cfg.BodyMemory()
	t.Dispatcher = NewDispatcher(cfg, front, serving, t, self)
	return t
}

// lockedSource lets the choose workers share a random source.
type lockedSource struct {
	lock   *sync.Mutex
	source mathrand.Source
}

// Uint64 returns the next random number.
func (l lockedSource) Uint64() uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.source.Uint64()
}

// Start begins the workers.
func (t *Pipeline) Start(network *transport.Transport) {
	t.transport = network
	for range 4 {
		t.goroutines.Go("stage.admit", func(ctx context.Context) { work(ctx, t.admit, t.Admit) })
		t.goroutines.Go("stage.choose", func(ctx context.Context) { work(ctx, t.choose, t.SelectUpstream) })
		t.goroutines.Go("stage.judge", func(ctx context.Context) { work(ctx, t.judge, func(item *AttemptOutcome) { t.HandleOutcome(*item) }) })
	}
	t.goroutines.Go("stage.serving", func(ctx context.Context) {
		work(ctx, t.starts, func(order *backend.Decision) {
			t.goroutines.Go("stage.call", func(context.Context) { t.Complete(*order, t.caller.Call(*order)) })
		})
	})
	t.goroutines.Go("stage.expire", t.runExpire)
}

func work[T any](ctx context.Context, queue chan T, step func(item T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			step(item)
		}
	}
}

func (t *Pipeline) runExpire(ctx context.Context) {
	ticker := time.NewTicker(t.settings.UpdatesEvery() / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.Expire()
			t.caller.Sweep()
		}
	}
}

// Now returns the process clock.
func (t *Pipeline) Now() time.Duration { return t.goroutines.Now() }

// Wall returns the time of day.
func (t *Pipeline) Wall() time.Time { return time.Unix(0, int64(t.goroutines.Wall())) }

// Random returns the random source of the traffic side.
func (t *Pipeline) Random() *mathrand.Rand { return t.random }

// Notify hands a notice to the control machine.
func (t *Pipeline) Notify(notice any) { t.tell(notice) }

// Cancel breaks off the exchange of an attempt with its upstream.
func (t *Pipeline) Cancel(id string) { t.caller.Cancel(id) }

// Backlog is how long a frame that was posted now would wait for the machine's link.
func (t *Pipeline) Backlog() time.Duration { return t.transport.Backlog() }

// Enqueue puts an item before a stage; false when its queue is full.
func (t *Pipeline) Enqueue(env Stage, item any) bool {
	switch env {
	case StageAdmit:
		return offer(t.admit, item.(*PendingRequest))
	case StageSelect:
		return offer(t.choose, item.(*PendingRequest))
	case StageOutcome:
		judged := item.(AttemptOutcome)
		return offer(t.judge, &judged)
	}
	order := item.(backend.Decision)
	return offer(t.starts, &order)
}

func offer[T any](queue chan T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

// Open makes a traffic connection; closed is called once when it breaks.
func (t *Pipeline) Open(servingProxy string, received func(msg any), closed func(connection Connection)) Connection {
	connection := t.transport.OpenTraffic(servingProxy, received)
	t.goroutines.Go("stage.watch", func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-connection.Closed():
			closed(connection)
		}
	})
	return connection
}

// After calls back once the time has passed.
func (t *Pipeline) After(wait time.Duration, then func()) {
	t.goroutines.Go("stage.after", func(ctx context.Context) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			then()
		}
	})
}

// Announce takes an announcement and renews the upstream's guard.
func (t *Pipeline) Announce(response backend.Announcement) bool {
	if !t.Dispatcher.Announce(response) {
		return false
	}
	if t.settings.ByTarget() {
		return true
	}
	t.goroutines.Go("stage.guard", func(context.Context) { t.caller.Guard(response) })
	return true
}

// HandlePeerFrame takes frames from other proxies.
func (t *Pipeline) HandlePeerFrame(_ string, msg any, back func(msg any) error) bool {
	return t.HandleFrame(msg, back)
}

// ServeHTTP is the read stage and the answer stage of one caller's request.
func (t *Pipeline) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if t.inside.Inc() > t.settings.Limits.Queue {
		t.inside.Dec()
		t.refuse(out, errcode.BusyQueueFull)
		return
	}
	defer t.inside.Dec()
	came := t.arrival(in)
	request := &Request{ID: newID(), Method: in.Method, RawPath: rawPath(in), RawQuery: in.URL.RawQuery, Header: in.Header,
		Host: in.Host, ArrivedAt: came, Deadline: came + t.settings.RequestLimit()}
	if in.URL.Opaque != "" || in.Method == http.MethodConnect {
		t.refuse(out, errcode.RequestBadPath)
		return
	}
	if headBytes(in) > t.frontend.limits.headBytes() {
		t.refuse(out, errcode.RequestHeadTooLarge)
		return
	}
	claimed, code := t.readBody(out, in, request)
	defer t.bodies.release(claimed)
	if code != errcode.OK {
		t.refuse(out, code)
		return
	}
	answered, gated := make(chan *Response, 1), make(chan time.Duration, 1)
	timer := time.NewTimer(t.frontend.Patience(request))
	defer timer.Stop()
	trip := t.Submit(request, func(deadline time.Duration) { gated <- deadline }, func(final *Response) { answered <- final })
	for {
		select {
		case final := <-answered:
			t.write(out, final)
			return
		case deadline := <-gated:
			timer.Reset(deadline - t.goroutines.Now())
		case <-timer.C:
			t.Abandon(trip)
			t.write(out, <-answered)
			return
		case <-in.Context().Done():
			t.Abandon(trip)
			return
		}
	}
}

// readBody reads the body within its bounds of size and time.
func (t *Pipeline) readBody(out http.ResponseWriter, in *http.Request, request *Request) (claimed int64, code errcode.Code) {
	if in.ContentLength == 0 {
		return 0, errcode.OK
	}
	// Whoever is slower than its own deadline has nothing to wait for.
	reading := http.NewResponseController(out)
	limit := min(request.ArrivedAt+t.frontend.Patience(request)-t.goroutines.Now(), slowestBody)
	_ = reading.SetReadDeadline(time.Now().Add(limit))
	request.Body, claimed, code = t.bodies.readBody(in, t.frontend.limits.bodyBytes(t.settings))
	if code == errcode.OK {
		_ = reading.SetReadDeadline(time.Time{})
	}
	return claimed, code
}

// Arrival tells when the first byte of a connection's present request came; the faces put
// it into the contexts of requests.
type Arrival interface {
	ArrivedAt() time.Time
}

// ArrivalKey is the key of the Arrival in a request's context.
type ArrivalKey struct{}

// arrival is when a request's first byte came: one that was pipelined has waited since.
func (t *Pipeline) arrival(in *http.Request) time.Duration {
	now := t.goroutines.Now()
	arrival, told := in.Context().Value(ArrivalKey{}).(Arrival)
	if !told {
		return now
	}
	return max(now-max(0, time.Since(arrival.ArrivedAt())), 1)
}

func (t *Pipeline) refuse(out http.ResponseWriter, code errcode.Code) {
	final := NewRefusal(code)
	t.frontend.Count(0, &Request{}, final)
	t.write(out, final)
}

// write puts a final answer on HTTP, the mesh's own in the callers' manner.
func (t *Pipeline) write(out http.ResponseWriter, final *Response) {
	if final.Code != errcode.OK {
		t.frontend.protocol.WriteResponse(out, final)
		return
	}
	for _, line := range final.Headers {
		out.Header().Add(line.Name, line.Value)
	}
	if _, typed := out.Header()["Content-Type"]; !typed {
		out.Header()["Content-Type"] = nil
	}
	if final.Status != http.StatusNoContent && final.Status != http.StatusNotModified {
		out.Header().Set("Content-Length", strconv.Itoa(len(final.Body)))
	}
	out.WriteHeader(final.Status)
	out.Write(final.Body)
}

// rawPath is the path as it came, to the byte.
func rawPath(in *http.Request) string {
	if path, _, _ := strings.Cut(in.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return in.URL.EscapedPath()
}

func newID() string {
	var bytes [16]byte
	rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// InFlight counts requests of both roles that are not finished.
func (t *Pipeline) InFlight() int64 {
	running, queue := t.serving.Running()
	return t.inside.Load() + int64(running+queue)
}
