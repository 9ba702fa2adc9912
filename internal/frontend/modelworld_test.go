// The two hops of a request as one explored state space, over the real frontend, dispatcher,
// backend, upstream client and response matcher. Only what lies between processes is a stand-in:
// connections between proxies, connections to upstreams, and the clock. At each place where something
// can break, be silent, speak twice or late, the run makes a numbered choice; the explorer
// plays every way of making at most a few choices other than "all is well". A run is fully
// given by its choices, so a failing one is printed and can be played again.
package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// What an upstream and its connection do with one request.
const (
	atUpstreamWell = iota
	atUpstreamExtraBehind
	atUpstreamExtraNext
	atUpstreamExtraLate
	atUpstreamNamelessLate
	atUpstreamHalf
	atUpstreamNoLength
	atUpstreamGarbage
	atUpstreamResetUnrun
	atUpstreamResetRun
	atUpstreamSilentUnrun
	atUpstreamSilentRun
	atUpstreamTurnsAway
	atUpstreamPromisesFalsely
	atUpstreamMisdirected
	atUpstreamChoices
)

// What becomes of one frame from a caller's proxy to a serving proxy.
const (
	onWayWell = iota
	onWayLost
	onWayThenBroken
	onWayLateAfterBreak
	onWayMuchLater
	onWaySilent
	onWayNeverAttached
	onWayRestart
	onWayChoices
)

// What becomes of one frame back.
const (
	backWell = iota
	backBroken
	backTwice
	backLate
	backChoices
)

// What the caller of one request does.
const (
	callerStays = iota
	callerLeavesAtOnce
	callerLeavesMidway
	callerChoices
)

const (
	modelBegin    = 20 * time.Second // an age at which a process has its retry allowance
	modelDeadline = 3 * time.Second
	modelMoment   = time.Millisecond
	modelWork     = 700 * time.Millisecond // longer than a question waits for an answer
	modelLater    = 5 * time.Second
	modelSteps    = 5000
)

// modelChooser makes the choices of one run, and notes what it could have chosen.
type modelChooser struct {
	wanted []int // by number of the choice; those behind are 0
	made   []int
	ranges []int
	places []string
}

func (c *modelChooser) choose(place string, choices int) int {
	chosen := 0
	if number := len(c.made); number < len(c.wanted) {
		chosen = c.wanted[number] % choices
	}
	c.made, c.ranges, c.places = append(c.made, chosen), append(c.ranges, choices), append(c.places, place)
	return chosen
}

type modelEvent struct {
	at     time.Duration
	number int
	do     func()
}

type modelRun struct {
	upstream string
	path     string
	whole    string // the answer's body, if it was sent whole
	status   int
}

type modelAsked struct {
	name    string
	once    bool
	finals  []*Response
	pending *PendingRequest
	lost    bool // with the process of its proxy: its caller's connection is closed, which says nothing
	left    bool // its caller hung up
}

// model is one run's world.
type model struct {
	chooser *modelChooser
	now     time.Duration
	events  []modelEvent
	number  int
	named   bool
	proxies map[string]*modelProxy
	runs    map[string][]modelRun
	offers  map[string]map[string]bool
	asked   []*modelAsked
	answers int
	group   *goroutine.Group
	faults  map[string]int

	cancelled []string // ids of attempts
}

// modelProxy is one proxy: the real dispatcher, frontend, backend and upstream client.
type modelProxy struct {
	world      *model
	address    string
	life       int64
	running    map[string]bool // exchanges by attempt; false: cancelled
	dispatcher *Dispatcher
	front      *Frontend
	serving    *backend.Backend
	caller     *backend.UpstreamClient
	inside     []*modelLink
}

func (w *model) after(wait time.Duration, do func()) {
	w.number++
	w.events = append(w.events, modelEvent{w.now + wait, w.number, do})
}

func (w *model) play() {
	for step := 0; len(w.events) > 0 && step < modelSteps; step++ {
		sort.SliceStable(w.events, func(i, j int) bool {
			return w.events[i].at < w.events[j].at || w.events[i].at == w.events[j].at && w.events[i].number < w.events[j].number
		})
		next := w.events[0]
		w.events = w.events[1:]
		w.now = max(w.now, next.at)
		next.do()
	}
}

func modelSettings(named bool) settings.Settings {
	cfg := settings.Default()
	cfg.Zone, cfg.Service = "here", "clinic"
	cfg.Bounds.RetryAllowance = 1000
	if named {
		cfg.TargetProof = settings.ProofTarget
	}
	return cfg
}

const modelRoutes = `{"services":["pay"],"routes":[
{"name":"pay","host":"shop.example","prefix":"/once/","service":"pay","kind":"once","timeout_ms":3000,"attempts":2},
{"name":"free","host":"shop.example","prefix":"/free/","service":"pay","kind":"repeatable","timeout_ms":3000,"attempts":2}]}`

var modelHomes = map[string]string{"one": "b:1", "two": "c:1", "three": "d:1"}

// modelNamer is how upstreams speak in the model: answers bear their request's name.
type modelNamer struct{}

func (modelNamer) SetHeaders(header http.Header, forward message.Forward, _ backend.Target, _ time.Duration) {
	header.Set("Name", forward.AttemptName)
	header.Set("For", forward.Instance)
}

func (modelNamer) RequestName(answer *http.Response) string { return answer.Header.Get("Name") }

func (m modelNamer) Interpret(answer *http.Response, forward message.Forward, _ backend.Target) backend.ResponseMetadata {
	received := backend.ResponseMetadata{}
	switch name := m.RequestName(answer); {
	case name != "" && name != forward.AttemptName:
		received.OtherRequest = true
	case answer.StatusCode == http.StatusMisdirectedRequest:
		received.Refusal = errcode.BusyUpstreamGone
	case answer.Header.Get("Unrun") != "":
		received.Refusal = errcode.BusySlotsFull
	case answer.StatusCode == http.StatusServiceUnavailable:
		received.AmbiguousRefusal = true
	}
	return received
}

// modelCallers name each try, as the platform's callers do.
type modelCallers struct{ NativeProtocol }

func (modelCallers) Metadata(request *Request) Metadata {
	return Metadata{AttemptName: request.Header.Get("Try"), APIKeys: nil}
}

func newModel(chooser *modelChooser, named bool) *model {
	w := &model{
		chooser: chooser,
		now:     modelBegin,
		named:   named,
		proxies: map[string]*modelProxy{},
		runs:    map[string][]modelRun{},
		offers:  map[string]map[string]bool{},
		group:   goroutine.New(),
		faults:  map[string]int{},
	}
	for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
		p := &modelProxy{world: w, address: address}
		w.proxies[address] = p
		p.begin()
	}
	return w
}

// begin starts the process of the proxy anew; of an earlier one nothing is known.
func (p *modelProxy) begin() {
	w := p.world
	cfg := modelSettings(w.named)
	p.life++
	p.running = map[string]bool{}
	p.serving = backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	p.front = New(cfg, p.serving.LookupDelegation)
	p.front.UseProtocol(modelCallers{})
	p.caller = backend.NewUpstreamClient(cfg, p.serving, w.group)
	if w.named {
		p.caller.UseProtocol(modelNamer{})
	}
	life := p.life
	p.caller.UseDialer(func(address string, _ time.Time) (net.Conn, error) {
		return &modelUpstreamConn{world: w, upstream: address}, nil
	})
	p.dispatcher = NewDispatcher(cfg, p.front, p.serving, &modelEnvironment{p, life, rand.New(rand.NewPCG(1, 2))}, message.Member{
		Name:      p.address,
		Address:   p.address,
		StartTime: life,
	})
	list := []message.Registration{}
	for _, name := range []string{"one", "two", "three"} {
		if modelHomes[name] == p.address {
			announcement := backend.Announcement{Service: "pay", Instance: name, Incarnation: 1, Address: name, Zone: "here", Slots: 4}
			p.serving.Announce(w.now, announcement)
			if !w.named {
				p.caller.Guard(announcement)
			}
		}
		list = append(list, message.Registration{
			Service:               "pay",
			Instance:              name,
			Incarnation:           1,
			Address:               name,
			Zone:                  "here",
			Slots:                 4,
			State:                 message.StateReady,
			ServingProxy:          modelHomes[name],
			ServingProxyAddress:   modelHomes[name],
			ServingProxyStartTime: w.proxies[modelHomes[name]].lifeOr(life),
		})
	}
	p.front.UpdateSnapshot(w.now, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(modelRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          1,
		Upstreams:           map[string][]message.Registration{"pay": list},
	})
}

func (p *modelProxy) lifeOr(other int64) int64 {
	if p == nil {
		return other
	}
	return p.life
}

// modelEnvironment is the Environment of one process of a proxy.
type modelEnvironment struct {
	proxy  *modelProxy
	life   int64
	random *rand.Rand
}

func (b *modelEnvironment) Now() time.Duration { return b.proxy.world.now }
func (b *modelEnvironment) Wall() time.Time    { return time.Unix(0, int64(b.proxy.world.now)) }
func (b *modelEnvironment) Random() *rand.Rand { return b.random }
func (b *modelEnvironment) Notify(any)         {}

// alive does something in the process, as long as it lasts.
func (b *modelEnvironment) alive(do func()) func() {
	return func() {
		if b.proxy.life == b.life {
			do()
		}
	}
}

func (b *modelEnvironment) Backlog() time.Duration { return 0 }

// Cancel breaks off what runs; once-only work is never broken off.
func (b *modelEnvironment) Cancel(id string) {
	if b.proxy.running[id] {
		b.proxy.running[id] = false
		b.proxy.world.cancelled = append(b.proxy.world.cancelled, id)
	}
}

func (b *modelEnvironment) After(wait time.Duration, then func()) {
	b.proxy.world.after(wait, b.alive(then))
}

func (b *modelEnvironment) Enqueue(stage Stage, item any) bool {
	p := b.proxy
	p.world.after(0, b.alive(func() {
		switch stage {
		case StageAdmit:
			p.dispatcher.Admit(item.(*PendingRequest))
		case StageSelect:
			p.dispatcher.SelectUpstream(item.(*PendingRequest))
		case StageOutcome:
			p.dispatcher.HandleOutcome(item.(AttemptOutcome))
		case StageStart:
			b.start(item.(backend.Decision))
		}
	}))
	return true
}

// start makes an exchange, which takes the time of the work; one that is cancelled in that
// time ends without an answer.
func (b *modelEnvironment) start(order backend.Decision) {
	p := b.proxy
	outcome := p.caller.Call(order)
	p.running[order.Forward.ID] = true
	p.world.after(modelWork, b.alive(func() {
		if !p.running[order.Forward.ID] {
			outcome = message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
		}
		delete(p.running, order.Forward.ID)
		p.dispatcher.Complete(order, outcome)
	}))
}

func (b *modelEnvironment) Open(address string, received func(msg any), closed func(connection Connection)) Connection {
	link := &modelLink{from: b, to: b.proxy.world.proxies[address], received: received, told: closed, fresh: true}
	link.toLife = link.to.life
	link.to.inside = append(link.to.inside, link)
	return link
}

// modelLink is a connection between two proxies.
type modelLink struct {
	from     *modelEnvironment
	to       *modelProxy
	toLife   int64
	received func(msg any)
	told     func(connection Connection)
	fresh    bool // nothing was sent on it yet
	attached bool
	closed   bool
	cut      bool
}

func (l *modelLink) Broken() bool      { return l.closed }
func (l *modelLink) Established() bool { return l.attached }
func (l *modelLink) Close()            { l.closed = true }

// end breaks the connection; its opener is told a moment later.
func (l *modelLink) end() {
	if !l.closed {
		l.closed = true
		l.from.proxy.world.after(0, l.from.alive(func() { l.told(l) }))
	}
}

func (l *modelLink) Post(msg any) error {
	if l.closed {
		return errcode.Wrap("model.post", errcode.ConnectionLost, nil)
	}
	w := l.from.proxy.world
	choices := onWayChoices
	if !l.fresh {
		choices = onWayNeverAttached // a made connection can't fail to be made, nor is the end of its process told on it twice
	}
	place := fmt.Sprintf("%s>%s %T", l.from.proxy.address, l.to.address, msg)
	switch l.fresh = false; w.fault(place, choices) {
	case onWayNeverAttached:
		l.end()
		return nil
	case onWayLost:
		l.attached = true
		l.end()
	case onWayThenBroken:
		l.attached = true
		l.deliver(0, msg)
		w.after(0, l.end)
	case onWayLateAfterBreak:
		l.attached = true
		l.end()
		l.deliver(modelMoment, msg)
	case onWayMuchLater:
		l.attached = true
		l.end()
		l.deliver(modelLater, msg)
	case onWaySilent:
		l.attached, l.cut = true, true
	case onWayRestart:
		l.attached = true
		l.deliver(0, msg)
		w.after(modelMoment/2, func() {
			l.to.begin()
			for _, link := range l.to.inside {
				link.end()
			}
		})
	default:
		l.attached = true
		l.deliver(0, msg)
	}
	return nil
}

func (l *modelLink) deliver(wait time.Duration, msg any) {
	w, life := l.from.proxy.world, l.to.life
	w.after(wait, func() {
		if l.cut || l.to.life != life {
			return
		}
		l.to.dispatcher.HandleFrame(msg, l.reply)
	})
}

func (l *modelLink) reply(msg any) error {
	w := l.from.proxy.world
	if l.closed {
		return errcode.Wrap("model.back", errcode.ConnectionLost, nil)
	}
	take := l.from.alive(func() {
		if !l.cut {
			l.received(msg)
		}
	})
	switch w.fault(fmt.Sprintf("%s<%s %T", l.from.proxy.address, l.to.address, msg), backChoices) {
	case backBroken:
		l.end()
	case backTwice:
		w.after(0, take)
		w.after(modelMoment, take)
	case backLate:
		w.after(modelLater, take)
	default:
		w.after(0, take)
	}
	return nil
}

// fault chooses, and counts what was chosen other than "well".
func (w *model) fault(place string, choices int) int {
	chosen := w.chooser.choose(place, choices)
	if chosen > 0 {
		w.faults[fmt.Sprintf("%s:%d", place, chosen)]++
	}
	return chosen
}

// modelUpstreamConn is a connection to an upstream. What it sends comes in pieces; each
// read gives one, and silence is a time that is up.
type modelUpstreamConn struct {
	net.Conn
	world    *model
	upstream string
	pieces   [][]byte
	late     [][]byte // come once the next request is on its way
	last     string   // name of the request before
	failure  error
	closed   bool
}

func (u *modelUpstreamConn) SetDeadline(time.Time) error { return nil }
func (u *modelUpstreamConn) Close() error                { u.closed = true; return nil }
func (u *modelUpstreamConn) Quiet() bool                 { return len(u.pieces) == 0 && u.failure == nil }

func (u *modelUpstreamConn) Read(into []byte) (int, error) {
	switch {
	case len(u.pieces) > 0:
		size := copy(into, u.pieces[0])
		if u.pieces[0] = u.pieces[0][size:]; len(u.pieces[0]) == 0 {
			u.pieces = u.pieces[1:]
		}
		return size, nil
	case u.failure != nil:
		return 0, u.failure
	}
	return 0, os.ErrDeadlineExceeded
}

func (u *modelUpstreamConn) Write(text []byte) (int, error) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return 0, err
	}
	w, path := u.world, request.URL.Path
	name := request.Header.Get("Name")
	u.pieces, u.late = append(u.pieces, u.late...), nil
	if w.offers[path] == nil {
		w.offers[path] = map[string]bool{}
	}
	w.offers[path][u.upstream] = true
	w.answers++
	body := fmt.Sprintf("%s by %s, %d", path, u.upstream, w.answers)
	say := func(status int, head, body string) []byte {
		line := ""
		if w.named {
			line = "Name: " + name + "\r\n"
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s", status, line, head, len(body), body)
	}
	run := func(status int, whole string) {
		w.runs[path] = append(w.runs[path], modelRun{u.upstream, path, whole, status})
		if path == modelCalling {
			// Its upstream calls on, each time that it runs, through the proxy beside it.
			w.askAt(modelHomes[u.upstream], fmt.Sprintf("/once/call%d", w.answers), true, func() {})
		}
	}
	own, extra := say(200, "", body), say(200, "", "a second answer")
	choice := w.fault("at "+u.upstream+" "+path, atUpstreamChoices)
	if !w.named && (choice == atUpstreamExtraLate || choice == atUpstreamNamelessLate) {
		choice = atUpstreamExtraNext // without names nobody can know a late one; the platform's have names
	}
	switch choice {
	case atUpstreamExtraBehind:
		run(200, body)
		if w.named {
			u.pieces = append(u.pieces, append(own, extra...))
		} else {
			u.pieces = append(u.pieces, append(extra, own...)) // which of the two is its own can't be told
		}
	case atUpstreamExtraNext:
		run(200, body)
		u.pieces = append(u.pieces, own, extra)
	case atUpstreamExtraLate:
		run(200, body)
		u.pieces, u.late = append(u.pieces, own), [][]byte{extra}
	case atUpstreamNamelessLate:
		run(200, body)
		u.pieces, u.late = append(u.pieces, own), [][]byte{[]byte("HTTP/1.1 200 X\r\nContent-Length: 8\r\n\r\nnobody's")}
	case atUpstreamHalf:
		run(200, "")
		u.pieces, u.failure = append(u.pieces, own[:len(own)-3]), io.EOF
	case atUpstreamNoLength:
		run(200, "")
		u.pieces, u.failure = append(
			u.pieces,
			bytes.Replace(own[:len(own)-3], fmt.Appendf(nil, "Content-Length: %d\r\n", len(body)), nil, 1),
		), io.EOF
	case atUpstreamGarbage:
		run(200, "")
		u.pieces = append(u.pieces, []byte("\x00\x01 nothing of the kind\r\n\r\n"))
	case atUpstreamResetUnrun:
		u.failure = &net.OpError{Op: "read", Err: os.ErrClosed}
	case atUpstreamResetRun:
		run(200, "")
		u.failure = &net.OpError{Op: "read", Err: os.ErrClosed}
	case atUpstreamSilentUnrun:
	case atUpstreamSilentRun:
		run(200, "")
	case atUpstreamTurnsAway:
		if w.named {
			u.pieces = append(u.pieces, say(503, "Unrun: full\r\n", "full"))
		} else {
			run(200, body)
			u.pieces = append(u.pieces, own)
		}
	case atUpstreamPromisesFalsely:
		run(503, "")
		if w.named {
			u.pieces = append(u.pieces, say(503, "", "busy"))
		} else {
			u.failure = io.EOF
		}
	case atUpstreamMisdirected:
		if w.named {
			u.pieces = append(u.pieces, say(421, "", ""))
		} else {
			u.failure = io.EOF
		}
	default:
		run(200, body)
		u.pieces = append(u.pieces, own)
	}
	u.last = name
	return len(text), nil
}

// modelCalling is the request whose runs call on.
const modelCalling = "/free/2"

// ask sends a request to the first caller's proxy.
func (w *model) ask(path string, once bool, then func()) { w.askAt("a:1", path, once, then) }

// askAt sends a request to a proxy; its caller waits until the deadline.
func (w *model) askAt(address, path string, once bool, then func()) {
	p := w.proxies[address]
	life := p.life
	asked := &modelAsked{name: path, once: once}
	w.asked = append(w.asked, asked)
	request := &Request{
		ID:        "id" + path,
		Method:    http.MethodPost,
		RawPath:   path,
		Header:    http.Header{"Try": {"try" + path}},
		Host:      "shop.example",
		Body:      []byte("body"),
		ArrivedAt: w.now,
		Deadline:  w.now + modelDeadline,
	}
	asked.pending = p.dispatcher.Submit(request, func(time.Duration) {}, func(response *Response) {
		asked.finals = append(asked.finals, response)
		if len(asked.finals) == 1 {
			w.after(0, then)
		}
	})
	abandon := func() {
		if asked.lost = p.life != life; !asked.lost {
			p.dispatcher.Abandon(asked.pending)
		}
	}
	w.after(modelDeadline, abandon)
	leave := func() { asked.left = true; abandon() }
	switch w.fault("caller of "+path, callerChoices) {
	case callerLeavesAtOnce:
		w.after(0, leave)
	case callerLeavesMidway:
		w.after(modelWork/2, leave)
	}
}

// modelPlan is who asks for what: two at once, and one behind the first on its caller's
// connection (a pipelined one, or one on a kept connection).
func (w *model) modelPlan() {
	w.ask("/once/1", true, func() { w.ask("/free/3", false, func() { w.ask("/once/4", true, func() {}) }) })
	w.ask("/free/2", false, func() {})
}

// faulty lists what a run did wrong.
func (w *model) faulty() []string {
	wrong := []string{}
	add := func(rule, text string, values ...any) { wrong = append(wrong, rule+": "+fmt.Sprintf(text, values...)) }
	for _, id := range w.cancelled {
		if strings.Contains(id, "/once/") {
			add("cancelled", "%s was broken off", id)
		}
	}
	for _, asked := range w.asked {
		runs := w.runs[asked.name]
		if asked.lost || asked.left {
			if asked.once && len(runs) > 1 {
				add("once", "%s ran %d times", asked.name, len(runs))
			}
			continue
		}
		if len(asked.finals) != 1 {
			add("one-answer", "%s got %d final answers", asked.name, len(asked.finals))
			continue
		}
		response := asked.finals[0]
		if asked.once && len(runs) > 1 {
			add("once", "%s ran %d times", asked.name, len(runs))
		}
		if len(w.offers[asked.name]) > 2 {
			add("most-upstreams", "%s was offered to %d upstreams", asked.name, len(w.offers[asked.name]))
		}
		switch response.Status {
		case http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
			if len(runs) > 0 {
				add("promise", "%s was told %d (%s) and ran", asked.name, response.Status, response.Code)
			}
			if response.Code != errcode.OK && response.RetryAfter <= 0 {
				add("retry-after", "%s was told %d without a time", asked.name, response.Status)
			}
		}
		if response.Code != errcode.OK {
			continue
		}
		own := false
		for _, run := range runs {
			own = own || run.whole != "" && run.whole == string(response.Body) && run.status == response.Status
		}
		if !own {
			add("own-answer", "%s was answered %d %q", asked.name, response.Status, response.Body)
		}
	}
	return wrong
}
