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
	upstreamAnswers = iota
	upstreamExtraAnswerAtOnce
	upstreamExtraAnswerAfterwards
	upstreamExtraAnswerLate
	upstreamUnnamedAnswerLate
	upstreamTruncatedAnswer
	upstreamTruncatedWithoutLength
	upstreamMalformedAnswer
	upstreamResetNotRun
	upstreamResetAfterRun
	upstreamSilentNotRun
	upstreamSilentAfterRun
	upstreamRefuses
	upstreamRefusesAfterRun
	upstreamMisdirected
	upstreamChoices
)

// What becomes of one frame from a caller's proxy to a serving proxy.
const (
	frameDelivered = iota
	frameLost
	frameDeliveredThenBroken
	frameDeliveredAfterBreak
	frameDeliveredAfterDeadline
	frameLostSilently
	frameNeverConnected
	frameDeliveredThenRestart
	frameChoices
)

// What becomes of one frame back.
const (
	replyDelivered = iota
	replyLost
	replyDuplicated
	replyAfterDeadline
	replyChoices
)

// What the caller of one request does.
const (
	callerWaits = iota
	callerLeavesAtOnce
	callerLeavesMidway
	callerChoices
)

const (
	modelStart       = 20 * time.Second // an age at which a process has its retry allowance
	modelDeadline    = 3 * time.Second
	modelShortDelay  = time.Millisecond
	modelServiceTime = 700 * time.Millisecond // longer than a question waits for an answer
	modelLongDelay   = 5 * time.Second
	modelMaxSteps    = 5000
)

// modelChooser makes the choices of one run, and notes what it could have chosen.
type modelChooser struct {
	preset  []int // by number of the choice; those behind are 0
	choices []int
	ranges  []int
	points  []string
}

func (c *modelChooser) choose(point string, count int) int {
	choice := 0
	if number := len(c.choices); number < len(c.preset) {
		choice = c.preset[number] % count
	}
	c.choices, c.ranges, c.points = append(c.choices, choice), append(c.ranges, count), append(c.points, point)
	return choice
}

type modelEvent struct {
	at     time.Duration
	number int
	action func()
}

type modelRun struct {
	upstream     string
	path         string
	completeBody string // the answer's body, if it was sent whole
	status       int
}

type modelRequest struct {
	name           string
	atMostOnce     bool
	responses      []*Response
	pending        *PendingRequest
	proxyRestarted bool // with the process of its proxy: its caller's connection is closed, which says nothing
	callerLeft     bool // its caller hung up
}

// model is one run's world.
type model struct {
	chooser      *modelChooser
	now          time.Duration
	events       []modelEvent
	eventCount   int
	namedAnswers bool
	proxies      map[string]*modelProxy
	runs         map[string][]modelRun
	offers       map[string]map[string]bool
	requests     []*modelRequest
	answerCount  int
	group        *goroutine.Group
	faults       map[string]int

	cancelled []string // ids of attempts
}

// modelProxy is one proxy: the real dispatcher, frontend, backend and upstream client.
type modelProxy struct {
	world      *model
	address    string
	startTime  int64
	running    map[string]bool // exchanges by attempt; false: cancelled
	dispatcher *Dispatcher
	front      *Frontend
	serving    *backend.Backend
	client     *backend.UpstreamClient
	incoming   []*modelConnection
}

func (m *model) after(delay time.Duration, action func()) {
	m.eventCount++
	m.events = append(m.events, modelEvent{m.now + delay, m.eventCount, action})
}

func (m *model) run() {
	for step := 0; len(m.events) > 0 && step < modelMaxSteps; step++ {
		sort.SliceStable(m.events, func(i, j int) bool {
			return m.events[i].at < m.events[j].at || m.events[i].at == m.events[j].at && m.events[i].number < m.events[j].number
		})
		next := m.events[0]
		m.events = m.events[1:]
		m.now = max(m.now, next.at)
		next.action()
	}
}

func modelSettings(namedAnswers bool) settings.Settings {
	cfg := settings.Default()
	cfg.Zone, cfg.Service = "here", "clinic"
	cfg.Bounds.RetryAllowance = 1000
	if namedAnswers {
		cfg.TargetProof = settings.ProofTarget
	}
	return cfg
}

const modelRoutes = `{"services":["pay"],"routes":[
{"name":"pay","host":"shop.example","prefix":"/once/","service":"pay","kind":"once","timeout_ms":3000,"attempts":2},
{"name":"free","host":"shop.example","prefix":"/free/","service":"pay","kind":"repeatable","timeout_ms":3000,"attempts":2}]}`

var modelServingProxies = map[string]string{"one": "b:1", "two": "c:1", "three": "d:1"}

// modelUpstreamProtocol is how upstreams speak in the model: answers bear their request's name.
type modelUpstreamProtocol struct{}

func (modelUpstreamProtocol) SetHeaders(header http.Header, forward message.Forward, _ backend.Target, _ time.Duration) {
	header.Set("Name", forward.AttemptName)
	header.Set("For", forward.Instance)
}

func (modelUpstreamProtocol) RequestName(answer *http.Response) string {
	return answer.Header.Get("Name")
}

func (m modelUpstreamProtocol) Interpret(answer *http.Response, forward message.Forward, _ backend.Target) backend.ResponseMetadata {
	metadata := backend.ResponseMetadata{}
	switch name := m.RequestName(answer); {
	case name != "" && name != forward.AttemptName:
		metadata.OtherRequest = true
	case answer.StatusCode == http.StatusMisdirectedRequest:
		metadata.Refusal = errcode.BusyUpstreamGone
	case answer.Header.Get("Unrun") != "":
		metadata.Refusal = errcode.BusySlotsFull
	case answer.StatusCode == http.StatusServiceUnavailable:
		metadata.AmbiguousRefusal = true
	}
	return metadata
}

// modelCallerProtocol name each try, as the platform's callers do.
type modelCallerProtocol struct{ NativeProtocol }

func (modelCallerProtocol) Metadata(request *Request) Metadata {
	return Metadata{AttemptName: request.Header.Get("Try"), APIKeys: nil}
}

func newModel(chooser *modelChooser, namedAnswers bool) *model {
	w := &model{
		chooser:      chooser,
		now:          modelStart,
		namedAnswers: namedAnswers,
		proxies:      map[string]*modelProxy{},
		runs:         map[string][]modelRun{},
		offers:       map[string]map[string]bool{},
		group:        goroutine.New(),
		faults:       map[string]int{},
	}
	for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
		p := &modelProxy{world: w, address: address}
		w.proxies[address] = p
		p.start()
	}
	return w
}

// start starts the process of the proxy anew; of an earlier one nothing is known.
func (p *modelProxy) start() {
	w := p.world
	cfg := modelSettings(w.namedAnswers)
	p.startTime++
	p.running = map[string]bool{}
	p.serving = backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	p.front = New(cfg, p.serving.LookupDelegation)
	p.front.UseProtocol(modelCallerProtocol{})
	p.client = backend.NewUpstreamClient(cfg, p.serving, w.group)
	if w.namedAnswers {
		p.client.UseProtocol(modelUpstreamProtocol{})
	}
	startTime := p.startTime
	p.client.UseDialer(func(address string, _ time.Time) (net.Conn, error) {
		return &modelUpstreamConn{world: w, upstream: address}, nil
	})
	p.dispatcher = NewDispatcher(cfg, p.front, p.serving, &modelEnvironment{p, startTime, rand.New(rand.NewPCG(1, 2))}, message.Member{
		Name:      p.address,
		Address:   p.address,
		StartTime: startTime,
	})
	registrations := []message.Registration{}
	for _, name := range []string{"one", "two", "three"} {
		if modelServingProxies[name] == p.address {
			announcement := backend.Announcement{Service: "pay", Instance: name, Incarnation: 1, Address: name, Zone: "here", Slots: 4}
			p.serving.Announce(w.now, announcement)
			if !w.namedAnswers {
				p.client.Guard(announcement)
			}
		}
		registrations = append(registrations, message.Registration{
			Service:               "pay",
			Instance:              name,
			Incarnation:           1,
			Address:               name,
			Zone:                  "here",
			Slots:                 4,
			State:                 message.StateReady,
			ServingProxy:          modelServingProxies[name],
			ServingProxyAddress:   modelServingProxies[name],
			ServingProxyStartTime: w.proxies[modelServingProxies[name]].startTimeOr(startTime),
		})
	}
	p.front.UpdateSnapshot(w.now, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(modelRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          1,
		Upstreams:           map[string][]message.Registration{"pay": registrations},
	})
}

func (p *modelProxy) startTimeOr(fallback int64) int64 {
	if p == nil {
		return fallback
	}
	return p.startTime
}

// modelEnvironment is the Environment of one process of a proxy.
type modelEnvironment struct {
	proxy     *modelProxy
	startTime int64
	random    *rand.Rand
}

func (e *modelEnvironment) Now() time.Duration { return e.proxy.world.now }
func (e *modelEnvironment) Wall() time.Time    { return time.Unix(0, int64(e.proxy.world.now)) }
func (e *modelEnvironment) Random() *rand.Rand { return e.random }
func (e *modelEnvironment) Notify(any)         {}

// whileRunning does something in the process, as long as it lasts.
func (e *modelEnvironment) whileRunning(action func()) func() {
	return func() {
		if e.proxy.startTime == e.startTime {
			action()
		}
	}
}

func (e *modelEnvironment) Backlog() time.Duration { return 0 }

// Cancel breaks off what runs; once-only work is never broken off.
func (e *modelEnvironment) Cancel(id string) {
	if e.proxy.running[id] {
		e.proxy.running[id] = false
		e.proxy.world.cancelled = append(e.proxy.world.cancelled, id)
	}
}

func (e *modelEnvironment) After(delay time.Duration, callback func()) {
	e.proxy.world.after(delay, e.whileRunning(callback))
}

func (e *modelEnvironment) Enqueue(stage Stage, item any) bool {
	p := e.proxy
	p.world.after(0, e.whileRunning(func() {
		switch stage {
		case StageAdmit:
			p.dispatcher.Admit(item.(*PendingRequest))
		case StageSelect:
			p.dispatcher.SelectUpstream(item.(*PendingRequest))
		case StageOutcome:
			p.dispatcher.HandleOutcome(item.(AttemptOutcome))
		case StageStart:
			e.startExchange(item.(backend.Decision))
		}
	}))
	return true
}

// startExchange makes an exchange, which takes the time of the work; one that is cancelled in that
// time ends without an answer.
func (e *modelEnvironment) startExchange(decision backend.Decision) {
	p := e.proxy
	outcome := p.client.Call(decision)
	p.running[decision.Forward.ID] = true
	p.world.after(modelServiceTime, e.whileRunning(func() {
		if !p.running[decision.Forward.ID] {
			outcome = message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
		}
		delete(p.running, decision.Forward.ID)
		p.dispatcher.Complete(decision, outcome)
	}))
}

func (e *modelEnvironment) Open(address string, onMessage func(msg any), onClosed func(connection Connection)) Connection {
	connection := &modelConnection{from: e, to: e.proxy.world.proxies[address], onMessage: onMessage, onClosed: onClosed, unused: true}
	connection.toLife = connection.to.startTime
	connection.to.incoming = append(connection.to.incoming, connection)
	return connection
}

// modelConnection is a connection between two proxies.
type modelConnection struct {
	from        *modelEnvironment
	to          *modelProxy
	toLife      int64
	onMessage   func(msg any)
	onClosed    func(connection Connection)
	unused      bool // nothing was sent on it yet
	established bool
	closed      bool
	silent      bool
}

func (l *modelConnection) Broken() bool      { return l.closed }
func (l *modelConnection) Established() bool { return l.established }
func (l *modelConnection) Close()            { l.closed = true }

// end breaks the connection; its opener is told a moment later.
func (l *modelConnection) end() {
	if !l.closed {
		l.closed = true
		l.from.proxy.world.after(0, l.from.whileRunning(func() { l.onClosed(l) }))
	}
}

func (l *modelConnection) Post(msg any) error {
	if l.closed {
		return errcode.Wrap("model.post", errcode.ConnectionLost, nil)
	}
	w := l.from.proxy.world
	choices := frameChoices
	if !l.unused {
		choices = frameNeverConnected // a made connection can't fail to be made, nor is the end of its process told on it twice
	}
	point := fmt.Sprintf("%s>%s %T", l.from.proxy.address, l.to.address, msg)
	switch l.unused = false; w.fault(point, choices) {
	case frameNeverConnected:
		l.end()
		return nil
	case frameLost:
		l.established = true
		l.end()
	case frameDeliveredThenBroken:
		l.established = true
		l.deliver(0, msg)
		w.after(0, l.end)
	case frameDeliveredAfterBreak:
		l.established = true
		l.end()
		l.deliver(modelShortDelay, msg)
	case frameDeliveredAfterDeadline:
		l.established = true
		l.end()
		l.deliver(modelLongDelay, msg)
	case frameLostSilently:
		l.established, l.silent = true, true
	case frameDeliveredThenRestart:
		l.established = true
		l.deliver(0, msg)
		w.after(modelShortDelay/2, func() {
			l.to.start()
			for _, connection := range l.to.incoming {
				connection.end()
			}
		})
	default:
		l.established = true
		l.deliver(0, msg)
	}
	return nil
}

func (l *modelConnection) deliver(delay time.Duration, msg any) {
	w, startTime := l.from.proxy.world, l.to.startTime
	w.after(delay, func() {
		if l.silent || l.to.startTime != startTime {
			return
		}
		l.to.dispatcher.HandleFrame(msg, l.reply)
	})
}

func (l *modelConnection) reply(msg any) error {
	w := l.from.proxy.world
	if l.closed {
		return errcode.Wrap("model.back", errcode.ConnectionLost, nil)
	}
	receive := l.from.whileRunning(func() {
		if !l.silent {
			l.onMessage(msg)
		}
	})
	switch w.fault(fmt.Sprintf("%s<%s %T", l.from.proxy.address, l.to.address, msg), replyChoices) {
	case replyLost:
		l.end()
	case replyDuplicated:
		w.after(0, receive)
		w.after(modelShortDelay, receive)
	case replyAfterDeadline:
		w.after(modelLongDelay, receive)
	default:
		w.after(0, receive)
	}
	return nil
}

// fault chooses, and counts what was chosen other than "well".
func (m *model) fault(point string, count int) int {
	choice := m.chooser.choose(point, count)
	if choice > 0 {
		m.faults[fmt.Sprintf("%s:%d", point, choice)]++
	}
	return choice
}

// modelUpstreamConn is a connection to an upstream. What it sends comes in pieces; each
// read gives one, and silence is a time that is up.
type modelUpstreamConn struct {
	net.Conn
	world      *model
	upstream   string
	pieces     [][]byte
	latePieces [][]byte // come once the next request is on its way
	last       string   // name of the request before
	failure    error
	closed     bool
}

func (u *modelUpstreamConn) SetDeadline(time.Time) error { return nil }
func (u *modelUpstreamConn) Close() error                { u.closed = true; return nil }
func (u *modelUpstreamConn) Quiet() bool                 { return len(u.pieces) == 0 && u.failure == nil }

func (u *modelUpstreamConn) Read(buffer []byte) (int, error) {
	switch {
	case len(u.pieces) > 0:
		size := copy(buffer, u.pieces[0])
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
	u.pieces, u.latePieces = append(u.pieces, u.latePieces...), nil
	if w.offers[path] == nil {
		w.offers[path] = map[string]bool{}
	}
	w.offers[path][u.upstream] = true
	w.answerCount++
	body := fmt.Sprintf("%s by %s, %d", path, u.upstream, w.answerCount)
	answer := func(status int, head, body string) []byte {
		nameHeader := ""
		if w.namedAnswers {
			nameHeader = "Name: " + name + "\r\n"
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s", status, nameHeader, head, len(body), body)
	}
	recordRun := func(status int, completeBody string) {
		w.runs[path] = append(w.runs[path], modelRun{u.upstream, path, completeBody, status})
		if path == modelCallingPath {
			// Its upstream calls on, each time that it runs, through the proxy beside it.
			w.submitAt(modelServingProxies[u.upstream], fmt.Sprintf("/once/call%d", w.answerCount), true, func() {})
		}
	}
	regular, extra := answer(200, "", body), answer(200, "", "a second answer")
	choice := w.fault("at "+u.upstream+" "+path, upstreamChoices)
	if !w.namedAnswers && (choice == upstreamExtraAnswerLate || choice == upstreamUnnamedAnswerLate) {
		choice = upstreamExtraAnswerAfterwards // without names nobody can know a late one; the platform's have names
	}
	switch choice {
	case upstreamExtraAnswerAtOnce:
		recordRun(200, body)
		if w.namedAnswers {
			u.pieces = append(u.pieces, append(regular, extra...))
		} else {
			u.pieces = append(u.pieces, append(extra, regular...)) // which of the two is its own can't be told
		}
	case upstreamExtraAnswerAfterwards:
		recordRun(200, body)
		u.pieces = append(u.pieces, regular, extra)
	case upstreamExtraAnswerLate:
		recordRun(200, body)
		u.pieces, u.latePieces = append(u.pieces, regular), [][]byte{extra}
	case upstreamUnnamedAnswerLate:
		recordRun(200, body)
		u.pieces, u.latePieces = append(u.pieces, regular), [][]byte{[]byte("HTTP/1.1 200 X\r\nContent-Length: 8\r\n\r\nnobody's")}
	case upstreamTruncatedAnswer:
		recordRun(200, "")
		u.pieces, u.failure = append(u.pieces, regular[:len(regular)-3]), io.EOF
	case upstreamTruncatedWithoutLength:
		recordRun(200, "")
		u.pieces, u.failure = append(
			u.pieces,
			bytes.Replace(regular[:len(regular)-3], fmt.Appendf(nil, "Content-Length: %d\r\n", len(body)), nil, 1),
		), io.EOF
	case upstreamMalformedAnswer:
		recordRun(200, "")
		u.pieces = append(u.pieces, []byte("\x00\x01 nothing of the kind\r\n\r\n"))
	case upstreamResetNotRun:
		u.failure = &net.OpError{Op: "read", Err: os.ErrClosed}
	case upstreamResetAfterRun:
		recordRun(200, "")
		u.failure = &net.OpError{Op: "read", Err: os.ErrClosed}
	case upstreamSilentNotRun:
	case upstreamSilentAfterRun:
		recordRun(200, "")
	case upstreamRefuses:
		if w.namedAnswers {
			u.pieces = append(u.pieces, answer(503, "Unrun: full\r\n", "full"))
		} else {
			recordRun(200, body)
			u.pieces = append(u.pieces, regular)
		}
	case upstreamRefusesAfterRun:
		recordRun(503, "")
		if w.namedAnswers {
			u.pieces = append(u.pieces, answer(503, "", "busy"))
		} else {
			u.failure = io.EOF
		}
	case upstreamMisdirected:
		if w.namedAnswers {
			u.pieces = append(u.pieces, answer(421, "", ""))
		} else {
			u.failure = io.EOF
		}
	default:
		recordRun(200, body)
		u.pieces = append(u.pieces, regular)
	}
	u.last = name
	return len(text), nil
}

// modelCallingPath is the request whose runs call on.
const modelCallingPath = "/free/2"

// submit sends a request to the first caller's proxy.
func (m *model) submit(path string, atMostOnce bool, onAnswer func()) {
	m.submitAt("a:1", path, atMostOnce, onAnswer)
}

// submitAt sends a request to a proxy; its caller waits until the deadline.
func (m *model) submitAt(address, path string, atMostOnce bool, onAnswer func()) {
	p := m.proxies[address]
	startTime := p.startTime
	submitted := &modelRequest{name: path, atMostOnce: atMostOnce}
	m.requests = append(m.requests, submitted)
	request := &Request{
		ID:        "id" + path,
		Method:    http.MethodPost,
		RawPath:   path,
		Header:    http.Header{"Try": {"try" + path}},
		Host:      "shop.example",
		Body:      []byte("body"),
		ArrivedAt: m.now,
		Deadline:  m.now + modelDeadline,
	}
	submitted.pending = p.dispatcher.Submit(request, func(time.Duration) {}, func(response *Response) {
		submitted.responses = append(submitted.responses, response)
		if len(submitted.responses) == 1 {
			m.after(0, onAnswer)
		}
	})
	abandon := func() {
		if submitted.proxyRestarted = p.startTime != startTime; !submitted.proxyRestarted {
			p.dispatcher.Abandon(submitted.pending)
		}
	}
	m.after(modelDeadline, abandon)
	leave := func() { submitted.callerLeft = true; abandon() }
	switch m.fault("caller of "+path, callerChoices) {
	case callerLeavesAtOnce:
		m.after(0, leave)
	case callerLeavesMidway:
		m.after(modelServiceTime/2, leave)
	}
}

// submitRequests is who asks for what: two at once, and one behind the first on its caller's
// connection (a pipelined one, or one on a kept connection).
func (m *model) submitRequests() {
	m.submit("/once/1", true, func() { m.submit("/free/3", false, func() { m.submit("/once/4", true, func() {}) }) })
	m.submit("/free/2", false, func() {})
}

// violations lists what a run did wrong.
func (m *model) violations() []string {
	violations := []string{}
	add := func(rule, text string, values ...any) {
		violations = append(violations, rule+": "+fmt.Sprintf(text, values...))
	}
	for _, id := range m.cancelled {
		if strings.Contains(id, "/once/") {
			add("cancelled", "%s was broken off", id)
		}
	}
	for _, request := range m.requests {
		runs := m.runs[request.name]
		if request.proxyRestarted || request.callerLeft {
			if request.atMostOnce && len(runs) > 1 {
				add("once", "%s ran %d times", request.name, len(runs))
			}
			continue
		}
		if len(request.responses) != 1 {
			add("one-answer", "%s got %d final answers", request.name, len(request.responses))
			continue
		}
		response := request.responses[0]
		if request.atMostOnce && len(runs) > 1 {
			add("once", "%s ran %d times", request.name, len(runs))
		}
		if len(m.offers[request.name]) > 2 {
			add("most-upstreams", "%s was offered to %d upstreams", request.name, len(m.offers[request.name]))
		}
		switch response.Status {
		case http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
			if len(runs) > 0 {
				add("promise", "%s was told %d (%s) and ran", request.name, response.Status, response.Code)
			}
			if response.Code != errcode.OK && response.RetryAfter <= 0 {
				add("retry-after", "%s was told %d without a time", request.name, response.Status)
			}
		}
		if response.Code != errcode.OK {
			continue
		}
		found := false
		for _, run := range runs {
			found = found || run.completeBody != "" && run.completeBody == string(response.Body) && run.status == response.Status
		}
		if !found {
			add("own-answer", "%s was answered %d %q", request.name, response.Status, response.Body)
		}
	}
	return violations
}
