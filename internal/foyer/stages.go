// This file runs a query through the process: stages joined by bounded queues. Read
// is the HTTP handler, which also waits for the answer and gives up at the deadline;
// gate, choose (which carries) and judge are small crews of workers. The number of
// queries inside is capped at the read stage, so the judge queue can always take a
// verdict; every other full queue refuses at once.
package foyer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
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

type trip struct {
	query   *Query
	lock    sync.Mutex
	carried string // id of the attempt that is out
	home    string
	over    bool
	done    chan *Final
}

// claim takes the verdict of an attempt, once.
func (t *trip) claim(id string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.over || t.carried != id {
		return false
	}
	t.carried = ""
	return true
}

type judged struct {
	trip    *trip
	verdict script.Verdict
}

// Stages is the running traffic side of a usher.
type Stages struct {
	config  playbill.Config
	foyer   *Foyer
	room    *greenroom.Greenroom
	caller  *greenroom.Caller
	crew    *crew.Crew
	wings   *wings.Wings
	address string
	node    string

	gate     chan *trip
	choose   chan *trip
	judge    chan judged
	starts   chan greenroom.Order
	inside   atomic.Int64
	homeBusy atomic.Int64

	lock    sync.Mutex
	wires   map[string]*wings.Wire
	waiting map[string]*trip
	replies map[string]func(message any) error
}

// NewStages joins foyer and greenroom to wires.
func NewStages(config playbill.Config, foyer *Foyer, room *greenroom.Greenroom, caller *greenroom.Caller, members *crew.Crew) *Stages {
	capacity := int(config.Limits.Pending)
	return &Stages{config: config, foyer: foyer, room: room, caller: caller, crew: members, node: config.Node,
		gate: make(chan *trip, capacity), choose: make(chan *trip, capacity), judge: make(chan judged, capacity*2+16),
		starts: make(chan greenroom.Order, capacity*4), wires: map[string]*wings.Wire{}, waiting: map[string]*trip{},
		replies: map[string]func(message any) error{}}
}

// Start begins the workers.
func (t *Stages) Start(transport *wings.Wings, address string) {
	t.wings, t.address = transport, address
	for range 4 {
		t.crew.Go("stage.gate", t.runGate)
		t.crew.Go("stage.choose", t.runChoose)
		t.crew.Go("stage.judge", t.runJudge)
	}
	t.crew.Go("stage.home", t.runHome)
	t.crew.Go("stage.expire", t.runExpire)
}

// ServeHTTP is the read stage and the answer stage of one caller's query.
func (t *Stages) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if t.inside.Inc() > t.config.Limits.Pending {
		t.inside.Dec()
		t.write(out, nil, Refusal(notice.BusyPendingFull))
		return
	}
	defer t.inside.Dec()
	now := t.crew.Now()
	query := &Query{ID: newID(), Method: in.Method, RawPath: in.URL.EscapedPath(), RawQuery: in.URL.RawQuery, Header: in.Header, Deadline: now + t.config.QueryLimit()}
	if in.URL.Opaque != "" || in.URL.Host != "" && in.Method == http.MethodConnect {
		t.write(out, query, Refusal(notice.QueryBadPath))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, t.config.Limits.Body))
	if err != nil {
		code := notice.QueryUnreadable
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			code = notice.QueryTooLarge
		}
		t.write(out, query, Refusal(code))
		return
	}
	query.Body = body
	going := &trip{query: query, done: make(chan *Final, 1)}
	select {
	case t.gate <- going:
	default:
		t.write(out, query, Refusal(notice.BusyPendingFull))
		return
	}
	timer := time.NewTimer(query.Deadline - t.crew.Now())
	defer timer.Stop()
	select {
	case final := <-going.done:
		t.write(out, query, final)
	case <-timer.C:
		t.write(out, query, t.abandon(going))
	case <-in.Context().Done():
		t.abandon(going)
	}
}

// abandon ends a trip from the waiting side.
func (t *Stages) abandon(going *trip) *Final {
	going.lock.Lock()
	if going.over {
		going.lock.Unlock()
		return <-going.done
	}
	going.over = true
	carried, home := going.carried, going.home
	going.lock.Unlock()
	if carried != "" {
		t.lock.Lock()
		delete(t.waiting, carried)
		t.lock.Unlock()
		t.foyer.Release(going.query)
		t.post(home, script.Withdraw{ID: carried})
	}
	return t.foyer.Abandon(going.query, carried != "")
}

func (t *Stages) finish(going *trip, final *Final) {
	going.lock.Lock()
	defer going.lock.Unlock()
	if going.over {
		return
	}
	going.over = true
	going.done <- final
}

func (t *Stages) write(out http.ResponseWriter, query *Query, final *Final) {
	if query != nil {
		t.foyer.Count(time.Duration(time.Now().UnixNano()), query, final)
	}
	WriteFinal(out, final)
}

// WriteFinal puts a final answer on HTTP.
func WriteFinal(out http.ResponseWriter, final *Final) {
	if final.Code == notice.OK {
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
		return
	}
	out.Header().Set(CodeHeader, strconv.Itoa(int(final.Code)))
	out.Header().Set("Content-Type", "application/json")
	if final.RetryAfter > 0 {
		out.Header().Set("Retry-After", strconv.FormatInt(int64((final.RetryAfter+time.Second-1)/time.Second), 10))
	}
	out.WriteHeader(final.Status)
	json.NewEncoder(out).Encode(map[string]any{"code": int(final.Code), "result": final.Code.String(), "detail": notice.Entries[final.Code].Text})
}

func newID() string {
	var bytes [16]byte
	rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

func (t *Stages) runGate(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case going := <-t.gate:
			if final := t.foyer.Gate(t.crew.Now(), time.Now(), going.query); final != nil {
				t.finish(going, final)
				continue
			}
			select {
			case t.choose <- going:
			default:
				t.finish(going, Refusal(notice.BusyPendingFull))
			}
		}
	}
}

func (t *Stages) runChoose(ctx context.Context) {
	dice := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	for {
		select {
		case <-ctx.Done():
			return
		case going := <-t.choose:
			if final := t.foyer.Choose(t.crew.Now(), going.query, dice); final != nil {
				t.finish(going, final)
				continue
			}
			t.carry(going)
		}
	}
}

// carry sends the query to the chosen home. Where the frame provably never left, it
// was not started; otherwise only the home may say so.
func (t *Stages) carry(going *trip) {
	query := going.query
	frame := t.foyer.Carry(t.crew.Now(), query, t.node, strconv.Itoa(query.Attempts))
	going.lock.Lock()
	if going.over {
		going.lock.Unlock()
		t.foyer.Release(query)
		return
	}
	going.carried, going.home = frame.ID, query.Target.HomeAddress
	going.lock.Unlock()
	t.lock.Lock()
	t.waiting[frame.ID] = going
	t.lock.Unlock()
	if err := t.post(query.Target.HomeAddress, frame); err != nil {
		t.verdict(script.Verdict{ID: frame.ID, Kind: script.NotStarted, Code: int64(notice.BusyHomeLost)})
	}
}

func (t *Stages) post(home string, message any) error {
	if home == t.address {
		t.Inbound(home, message, func(reply any) error { t.heard(reply); return nil })
		return nil
	}
	t.lock.Lock()
	wire := t.wires[home]
	if wire == nil || wire.Broken() {
		wire = t.wings.Open(home, t.heard)
		t.wires[home] = wire
		t.crew.Go("stage.watch", func(ctx context.Context) { t.watch(ctx, home, wire) })
	}
	t.lock.Unlock()
	return wire.Post(message)
}

// watch settles what was out on a wire that broke.
func (t *Stages) watch(ctx context.Context, home string, wire *wings.Wire) {
	select {
	case <-ctx.Done():
		return
	case <-wire.Closed():
	}
	t.lock.Lock()
	lost := map[string]*trip{}
	for id, going := range t.waiting {
		if going.home == home {
			lost[id] = going
		}
	}
	if t.wires[home] == wire {
		delete(t.wires, home)
	}
	t.lock.Unlock()
	if len(lost) == 0 {
		return
	}
	if !wire.Attached() {
		for id := range lost {
			t.verdict(script.Verdict{ID: id, Kind: script.NotStarted, Code: int64(notice.BusyHomeLost)})
		}
		return
	}
	t.ask(ctx, home, lost)
}

// ask goes back to the home for the verdicts of a lost wire, for a short while.
func (t *Stages) ask(ctx context.Context, home string, lost map[string]*trip) {
	again := t.wings.Open(home, t.heard)
	defer again.Close()
	for id, going := range lost {
		again.Post(script.VerdictAsk{ID: id, HomeBirth: going.query.Target.HomeBirth})
	}
	patience := time.NewTimer(t.config.NewsEvery() * 2)
	defer patience.Stop()
	select {
	case <-ctx.Done():
	case <-again.Closed():
	case <-patience.C:
	}
	for id := range lost {
		t.verdict(script.Verdict{ID: id, Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)})
	}
}

// heard takes what a home says.
func (t *Stages) heard(message any) {
	if verdict, isVerdict := message.(script.Verdict); isVerdict && verdict.Kind != script.StillRunning {
		t.verdict(verdict)
	}
}

func (t *Stages) verdict(verdict script.Verdict) {
	t.lock.Lock()
	going, known := t.waiting[verdict.ID]
	delete(t.waiting, verdict.ID)
	t.lock.Unlock()
	if known && going.claim(verdict.ID) {
		t.judge <- judged{going, verdict}
	}
}

func (t *Stages) runJudge(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-t.judge:
			if final := t.foyer.Judge(t.crew.Now(), item.trip.query, item.verdict); final != nil {
				t.finish(item.trip, final)
				continue
			}
			select {
			case t.choose <- item.trip:
			default:
				t.finish(item.trip, Refusal(notice.BusyPendingFull))
			}
		}
	}
}

// Inbound takes traffic frames from other ushers (and from this one).
func (t *Stages) Inbound(from string, message any, back func(message any) error) bool {
	switch heard := message.(type) {
	case script.Carry:
		t.lock.Lock()
		t.replies[heard.ID] = back
		t.lock.Unlock()
		t.carryOut(t.room.Carried(t.crew.Now(), heard))
	case script.VerdictAsk:
		verdict := t.room.Verdict(t.crew.Now(), heard.ID)
		if verdict.Kind == script.StillRunning {
			// The answer will go to the new wire when it is there.
			t.lock.Lock()
			t.replies[heard.ID] = back
			t.lock.Unlock()
		}
		back(verdict)
	case script.Withdraw:
		t.carryOut(t.room.Withdraw(heard.ID))
	default:
		return false
	}
	return true
}

// carryOut queues orders for the home stage; a full queue refuses at once.
func (t *Stages) carryOut(orders []greenroom.Order) {
	for _, order := range orders {
		if !order.Start {
			t.conclude(order, script.Verdict{Kind: script.NotStarted, Code: int64(order.Code)})
			continue
		}
		select {
		case t.starts <- order:
		default:
			t.conclude(order, script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusyPendingFull)})
		}
	}
}

func (t *Stages) runHome(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-t.starts:
			t.homeBusy.Inc()
			t.crew.Go("stage.call", func(context.Context) {
				defer t.homeBusy.Dec()
				t.conclude(order, t.caller.Call(order))
			})
		}
	}
}

func (t *Stages) conclude(order greenroom.Order, verdict script.Verdict) {
	if verdict.Headers == nil {
		verdict.Headers = []script.HeaderLine{}
	}
	if verdict.Body == nil {
		verdict.Body = []byte{}
	}
	verdict, next := t.room.Finish(t.crew.Now(), order, verdict)
	t.lock.Lock()
	back := t.replies[verdict.ID]
	delete(t.replies, verdict.ID)
	t.lock.Unlock()
	if back != nil {
		back(verdict)
	}
	t.carryOut(next)
}

func (t *Stages) runExpire(ctx context.Context) {
	ticker := time.NewTicker(t.config.NewsEvery() / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.carryOut(t.room.Expire(t.crew.Now()))
			t.caller.Sweep()
		}
	}
}

// CarryOut is for orders that come of announcements.
func (t *Stages) CarryOut(orders []greenroom.Order) { t.carryOut(orders) }

// Inside counts queries of both roles that are not finished.
func (t *Stages) Inside() int64 {
	running, pending := t.room.Running()
	return t.inside.Load() + int64(running+pending)
}
