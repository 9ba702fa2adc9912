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

// Stages is the running traffic side of a proxy.
type Stages struct {
	*Tracker
	settings   settings.Settings
	serving    *backend.Backend
	caller     *backend.Caller
	goroutines *goroutine.Group
	tell       func(notice any)
	transport  *transport.Transport

	admit  chan *Trip
	choose chan *Trip
	judge  chan *Judged
	starts chan *backend.Order
	inside atomic.Int64
	bodies bodyRoom
	random *mathrand.Rand
}

// NewStages joins frontend and backend to connections.
func NewStages(cfg settings.Settings, front *Frontend, serving *backend.Backend, caller *backend.Caller, members *goroutine.Group, self message.Member, tell func(notice any)) *Stages {
	capacity := int(cfg.Limits.Queue)
	t := &Stages{settings: cfg, serving: serving, caller: caller, goroutines: members, tell: tell,
		admit: make(chan *Trip, capacity), choose: make(chan *Trip, capacity), judge: make(chan *Judged, capacity*2+16),
		starts: make(chan *backend.Order, capacity*4), random: mathrand.New(lockedSource{&sync.Mutex{}, mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())})}
	t.bodies.left = cfg.BodyRoom()
	t.Tracker = NewTracker(cfg, front, serving, t, self)
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
func (t *Stages) Start(network *transport.Transport) {
	t.transport = network
	for range 4 {
		t.goroutines.Go("stage.admit", func(ctx context.Context) { work(ctx, t.admit, t.Admit) })
		t.goroutines.Go("stage.choose", func(ctx context.Context) { work(ctx, t.choose, t.Choose) })
		t.goroutines.Go("stage.judge", func(ctx context.Context) { work(ctx, t.judge, func(item *Judged) { t.Judge(*item) }) })
	}
	t.goroutines.Go("stage.serving", func(ctx context.Context) {
		work(ctx, t.starts, func(order *backend.Order) {
			t.goroutines.Go("stage.call", func(context.Context) { t.Conclude(*order, t.caller.Call(*order)) })
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

func (t *Stages) runExpire(ctx context.Context) {
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
func (t *Stages) Now() time.Duration { return t.goroutines.Now() }

// Wall returns the time of day.
func (t *Stages) Wall() time.Time { return time.Unix(0, int64(t.goroutines.Wall())) }

// Random returns the random source of the traffic side.
func (t *Stages) Random() *mathrand.Rand { return t.random }

// Tell hands a notice to the control machine.
func (t *Stages) Tell(notice any) { t.tell(notice) }

// Cancel breaks off the exchange of an attempt with its upstream.
func (t *Stages) Cancel(id string) { t.caller.Cancel(id) }

// Backlog is how long a frame that was posted now would wait for the machine's link.
func (t *Stages) Backlog() time.Duration { return t.transport.Backlog() }

// Queue puts an item before a stage; false when its queue is full.
func (t *Stages) Queue(env Env, item any) bool {
	switch env {
	case StageAdmit:
		return offer(t.admit, item.(*Trip))
	case StageChoose:
		return offer(t.choose, item.(*Trip))
	case StageJudge:
		judged := item.(Judged)
		return offer(t.judge, &judged)
	}
	order := item.(backend.Order)
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
func (t *Stages) Open(servingProxy string, received func(msg any), closed func(connection Connection)) Connection {
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
func (t *Stages) After(wait time.Duration, then func()) {
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
func (t *Stages) Announce(response backend.Announcement) bool {
	if !t.Tracker.Announce(response) {
		return false
	}
	if t.settings.ByTarget() {
		return true
	}
	t.goroutines.Go("stage.guard", func(context.Context) { t.caller.Guard(response) })
	return true
}

// Traffic takes frames from other proxies.
func (t *Stages) Traffic(_ string, msg any, back func(msg any) error) bool {
	return t.Inbound(msg, back)
}

// ServeHTTP is the read stage and the answer stage of one caller's request.
func (t *Stages) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if t.inside.Inc() > t.settings.Limits.Queue {
		t.inside.Dec()
		t.refuse(out, errcode.BusyQueueFull)
		return
	}
	defer t.inside.Dec()
	came := t.arrival(in)
	request := &Request{ID: newID(), Method: in.Method, RawPath: rawPath(in), RawQuery: in.URL.RawQuery, Header: in.Header,
		Host: in.Host, Came: came, Deadline: came + t.settings.RequestLimit()}
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
	answered, gated := make(chan *Final, 1), make(chan time.Duration, 1)
	timer := time.NewTimer(t.frontend.Patience(request))
	defer timer.Stop()
	trip := t.Arrive(request, func(deadline time.Duration) { gated <- deadline }, func(final *Final) { answered <- final })
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
func (t *Stages) readBody(out http.ResponseWriter, in *http.Request, request *Request) (claimed int64, code errcode.Code) {
	if in.ContentLength == 0 {
		return 0, errcode.OK
	}
	// Whoever is slower than its own deadline has nothing to wait for.
	reading := http.NewResponseController(out)
	limit := min(request.Came+t.frontend.Patience(request)-t.goroutines.Now(), slowestBody)
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
	Came() time.Time
}

// ArrivalKey is the key of the Arrival in a request's context.
type ArrivalKey struct{}

// arrival is when a request's first byte came: one that was pipelined has waited since.
func (t *Stages) arrival(in *http.Request) time.Duration {
	now := t.goroutines.Now()
	arrival, told := in.Context().Value(ArrivalKey{}).(Arrival)
	if !told {
		return now
	}
	return max(now-max(0, time.Since(arrival.Came())), 1)
}

func (t *Stages) refuse(out http.ResponseWriter, code errcode.Code) {
	final := Refusal(code)
	t.frontend.Count(0, &Request{}, final)
	t.write(out, final)
}

// write puts a final answer on HTTP, the mesh's own in the callers' manner.
func (t *Stages) write(out http.ResponseWriter, final *Final) {
	if final.Code != errcode.OK {
		t.frontend.protocol.Answer(out, final)
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

// Inside counts requests of both roles that are not finished.
func (t *Stages) Inside() int64 {
	running, queue := t.serving.Running()
	return t.inside.Load() + int64(running+queue)
}
