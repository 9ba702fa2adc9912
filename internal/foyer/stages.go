// This file is the real process around the desk: stages joined by bounded queues. Read
// is the HTTP handler, which also waits for the answer and gives up at the deadline;
// gate, choose and judge are small crews of workers; the home stage starts calls. The
// number of queries inside is capped at the read stage, so the judge queue can always
// take a verdict; every other full queue refuses at once.
package foyer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/crew"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/wings"
)

// CodeHeader bears the result code of answers that are the mesh's own.
const CodeHeader = "X-Beacon-Code"

// Stages is the running traffic side of a usher.
type Stages struct {
	*Desk
	config playbill.Config
	room   *greenroom.Greenroom
	caller *greenroom.Caller
	crew   *crew.Crew
	tell   func(tidings any)
	wings  *wings.Wings

	gate   chan *Trip
	choose chan *Trip
	judge  chan *Judged
	starts chan *greenroom.Order
	inside atomic.Int64
	dice   *mathrand.Rand
}

// NewStages joins foyer and greenroom to wires.
func NewStages(config playbill.Config, foyer *Foyer, room *greenroom.Greenroom, caller *greenroom.Caller, members *crew.Crew, self script.Member, tell func(tidings any)) *Stages {
	capacity := int(config.Limits.Pending)
	t := &Stages{config: config, room: room, caller: caller, crew: members, tell: tell,
		gate: make(chan *Trip, capacity), choose: make(chan *Trip, capacity), judge: make(chan *Judged, capacity*2+16),
		starts: make(chan *greenroom.Order, capacity*4), dice: mathrand.New(lockedSource{&sync.Mutex{}, mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())})}
	t.Desk = NewDesk(config, foyer, room, t, self)
	return t
}

// lockedSource lets the choose workers share dice.
type lockedSource struct {
	lock   *sync.Mutex
	source mathrand.Source
}

func (l lockedSource) Uint64() uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.source.Uint64()
}

// Start begins the workers.
func (t *Stages) Start(transport *wings.Wings) {
	t.wings = transport
	for range 4 {
		t.crew.Go("stage.gate", func(ctx context.Context) { work(ctx, t.gate, t.Gate) })
		t.crew.Go("stage.choose", func(ctx context.Context) { work(ctx, t.choose, t.Choose) })
		t.crew.Go("stage.judge", func(ctx context.Context) { work(ctx, t.judge, func(item *Judged) { t.Judge(*item) }) })
	}
	t.crew.Go("stage.home", func(ctx context.Context) {
		work(ctx, t.starts, func(order *greenroom.Order) {
			t.crew.Go("stage.call", func(context.Context) { t.Conclude(*order, t.caller.Call(*order)) })
		})
	})
	t.crew.Go("stage.expire", t.runExpire)
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
	ticker := time.NewTicker(t.config.NewsEvery() / 4)
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

// Now, Wall, Dice, Queue, Open, After and Tell make it the desk's Backstage.
func (t *Stages) Now() time.Duration   { return t.crew.Now() }
func (t *Stages) Wall() time.Time      { return time.Now() }
func (t *Stages) Dice() *mathrand.Rand { return t.dice }
func (t *Stages) Tell(tidings any)     { t.tell(tidings) }

// Queue puts an item before a stage; false when its queue is full.
func (t *Stages) Queue(stage Stage, item any) bool {
	switch stage {
	case StageGate:
		return offer(t.gate, item.(*Trip))
	case StageChoose:
		return offer(t.choose, item.(*Trip))
	case StageJudge:
		judged := item.(Judged)
		return offer(t.judge, &judged)
	}
	order := item.(greenroom.Order)
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

// Open makes a traffic wire; closed is called once when it breaks.
func (t *Stages) Open(home string, heard func(message any), closed func(wire Wire)) Wire {
	wire := t.wings.Open(home, heard)
	t.crew.Go("stage.watch", func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-wire.Closed():
			closed(wire)
		}
	})
	return wire
}

// After calls back once the time has passed.
func (t *Stages) After(wait time.Duration, then func()) {
	t.crew.Go("stage.after", func(ctx context.Context) {
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
func (t *Stages) Announce(told greenroom.Announcement) bool {
	if !t.Desk.Announce(told) {
		return false
	}
	if t.config.ByTarget() {
		return true
	}
	t.crew.Go("stage.guard", func(context.Context) { t.caller.Guard(told) })
	return true
}

// Traffic takes frames from other ushers.
func (t *Stages) Traffic(_ string, message any, back func(message any) error) bool {
	return t.Inbound(message, back)
}

// ServeHTTP is the read stage and the answer stage of one caller's query.
func (t *Stages) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if t.inside.Inc() > t.config.Limits.Pending {
		t.inside.Dec()
		t.refuse(out, notice.BusyPendingFull)
		return
	}
	defer t.inside.Dec()
	came := t.crew.Now()
	query := &Query{ID: newID(), Method: in.Method, RawPath: rawPath(in), RawQuery: in.URL.RawQuery, Header: in.Header,
		Host: in.Host, Came: came, Deadline: came + t.config.QueryLimit()}
	if in.URL.Opaque != "" || in.Method == http.MethodConnect {
		t.refuse(out, notice.QueryBadPath)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, t.config.Limits.Body))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			t.refuse(out, notice.QueryTooLarge)
		} else {
			t.refuse(out, notice.QueryUnreadable)
		}
		return
	}
	query.Body = body
	answered, gated := make(chan *Final, 1), make(chan time.Duration, 1)
	timer := time.NewTimer(t.foyer.Patience(query))
	defer timer.Stop()
	going := t.Arrive(query, func(deadline time.Duration) { gated <- deadline }, func(final *Final) { answered <- final })
	for {
		select {
		case final := <-answered:
			t.write(out, final)
			return
		case deadline := <-gated:
			timer.Reset(deadline - t.crew.Now())
		case <-timer.C:
			t.Abandon(going)
			t.write(out, <-answered)
			return
		case <-in.Context().Done():
			t.Abandon(going)
			return
		}
	}
}

func (t *Stages) refuse(out http.ResponseWriter, code notice.Code) {
	final := Refusal(code)
	t.foyer.Count(0, &Query{}, final)
	t.write(out, final)
}

// write puts a final answer on HTTP, the mesh's own in the callers' manner.
func (t *Stages) write(out http.ResponseWriter, final *Final) {
	if final.Code != notice.OK {
		t.foyer.manner.Answer(out, final)
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

// Inside counts queries of both roles that are not finished.
func (t *Stages) Inside() int64 {
	running, pending := t.room.Running()
	return t.inside.Load() + int64(running+pending)
}
