// A model of both hops of a request, from the caller's proxy to the serving proxy and from there to
// the upstream. It uses the real frontend, dispatcher, backend, upstream client and response
// matcher. Connections between proxies, connections to upstreams, and the clock are simulated. At
// each choice point, where something can fail, stay silent, be duplicated or be delayed, a run makes
// a numbered choice; 0 means no fault. The explorer runs every combination with a limited number of
// faults. A run is determined by its choices, so that a failing run can be printed and repeated.
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

// What an upstream and its connection do with one request. "Extra" answers follow the regular one
// at once, in a later read, or only after the next request was sent.
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

// What happens to one frame from a caller's proxy to a serving proxy.
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

// What happens to one reply from a serving proxy.
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
	modelStart       = 20 * time.Second // past the retry window, so that the retry allowance applies
	modelDeadline    = 3 * time.Second
	modelShortDelay  = time.Millisecond
	modelServiceTime = 700 * time.Millisecond // longer than an outcome query waits for a reply
	modelLongDelay   = 5 * time.Second
	modelMaxSteps    = 5000
)

// modelChooser makes the choices of one run from a preset, and records the choice points.
type modelChooser struct {
	preset  []int    // the first choices; all later ones are 0
	choices []int    // made so far
	ranges  []int    // number of alternatives, by choice
	points  []string // description of the choice point, by choice
}

// choose returns the next choice, in the range from 0 to count-1.
func (c *modelChooser) choose(point string, count int) int {
	choice := 0
	if number := len(c.choices); number < len(c.preset) {
		choice = c.preset[number] % count
	}
	c.choices, c.ranges, c.points = append(c.choices, choice), append(c.ranges, count), append(c.points, point)
	return choice
}

// modelEvent is a scheduled action. Events at the same time run in the order of their numbers.
type modelEvent struct {
	at     time.Duration
	number int
	action func()
}

// modelRun is one execution of a request by an upstream.
type modelRun struct {
	upstream     string
	path         string
	completeBody string // the answer's body, if the complete answer was sent
	status       int
}

// modelRequest is a submitted request and its final answers.
type modelRequest struct {
	name           string
	atMostOnce     bool
	responses      []*Response
	pending        *PendingRequest
	proxyRestarted bool // its proxy restarted: the caller's connection closes without an answer
	callerLeft     bool // its caller disconnected
}

// model is the state of one run: its clock, proxies, requests and recorded faults.
type model struct {
	chooser        *modelChooser
	now            time.Duration
	events         []modelEvent
	eventCount     int
	namedAnswers   bool
	proxies        map[string]*modelProxy
	runs           map[string][]modelRun
	offers         map[string]map[string]bool
	requests       []*modelRequest
	writtenAnswers int
	group          *goroutine.Group
	faults         map[string]int

	cancelled []string // ids of attempts
}

// modelProxy is one proxy: the real dispatcher, frontend, backend and upstream client.
type modelProxy struct {
	world      *model
	address    string
	startTime  int64
	running    map[string]bool // exchanges by attempt id; false if cancelled
	dispatcher *Dispatcher
	front      *Frontend
	serving    *backend.Backend
	client     *backend.UpstreamClient
	incoming   []*modelConnection
}

// after schedules an action.
func (m *model) after(delay time.Duration, action func()) {
	m.eventCount++
	m.events = append(m.events, modelEvent{m.now + delay, m.eventCount, action})
}

// run executes events in order until none is left, or modelMaxSteps were executed.
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

// modelSettings returns the settings of all proxies: proof by target if answers are named, by
// connection otherwise.
func modelSettings(namedAnswers bool) settings.Settings {
	cfg := settings.Default()
	cfg.Zone, cfg.Service = "here", "clinic"
	cfg.Bounds.RetryAllowance = 1000
	if namedAnswers {
		cfg.TargetProof = settings.ProofTarget
	}
	return cfg
}

// modelRoutes is a configuration with an at-most-once and a repeatable route, two attempts each.
const modelRoutes = `{"services":["pay"],"routes":[
{"name":"pay","host":"shop.example","prefix":"/once/","service":"pay","kind":"once","timeout_ms":3000,"attempts":2},
{"name":"free","host":"shop.example","prefix":"/free/","service":"pay","kind":"repeatable","timeout_ms":3000,"attempts":2}]}`

// modelServingProxies has the address of the serving proxy by upstream instance.
var modelServingProxies = map[string]string{"one": "b:1", "two": "c:1", "three": "d:1"}

// modelUpstreamProtocol is the upstream protocol of runs with named answers: each answer carries the
// name of its request's attempt.
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

// modelCallerProtocol reads the name of each attempt from the request, as the platform's protocol
// does.
type modelCallerProtocol struct{ NativeProtocol }

func (modelCallerProtocol) Metadata(request *Request) Metadata {
	return Metadata{AttemptName: request.Header.Get("Try"), APIKeys: nil}
}

// newModel returns a model with the caller's proxy a:1 and the serving proxies b:1, c:1 and d:1.
func newModel(chooser *modelChooser, namedAnswers bool) *model {
	m := &model{
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
		p := &modelProxy{world: m, address: address}
		m.proxies[address] = p
		p.start()
	}
	return m
}

// start starts a new process of the proxy. It has no state of an earlier process.
func (p *modelProxy) start() {
	world := p.world
	cfg := modelSettings(world.namedAnswers)
	p.startTime++
	p.running = map[string]bool{}
	p.serving = backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	p.front = New(cfg, p.serving.LookupDelegation)
	p.front.UseProtocol(modelCallerProtocol{})
	p.client = backend.NewUpstreamClient(cfg, p.serving, world.group)
	if world.namedAnswers {
		p.client.UseProtocol(modelUpstreamProtocol{})
	}
	startTime := p.startTime
	p.client.UseDialer(func(address string, _ time.Time) (net.Conn, error) {
		return &modelUpstreamConn{world: world, upstream: address}, nil
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
			p.serving.Announce(world.now, announcement)
			if !world.namedAnswers {
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
			ServingProxyStartTime: world.proxies[modelServingProxies[name]].startTimeOr(startTime),
		})
	}
	p.front.UpdateSnapshot(world.now, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(modelRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          1,
		Upstreams:           map[string][]message.Registration{"pay": registrations},
	})
}

// startTimeOr returns the proxy's start time, or fallback if the proxy does not exist yet.
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

// whileRunning returns a function that runs action unless the process has been replaced.
func (e *modelEnvironment) whileRunning(action func()) func() {
	return func() {
		if e.proxy.startTime == e.startTime {
			action()
		}
	}
}

func (e *modelEnvironment) Backlog() time.Duration { return 0 }

// Cancel aborts a running exchange and records its attempt. violations checks that the attempt is
// not at-most-once.
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

// startExchange performs an exchange that takes modelServiceTime. If it is cancelled in that time,
// its outcome is unknown.
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
	connection.toStartTime = connection.to.startTime
	connection.to.incoming = append(connection.to.incoming, connection)
	return connection
}

// modelConnection is a connection between two proxies.
type modelConnection struct {
	from        *modelEnvironment
	to          *modelProxy
	toStartTime int64
	onMessage   func(msg any)
	onClosed    func(connection Connection)
	unused      bool // no frame was posted on it
	established bool
	closed      bool
	silent      bool
}

func (c *modelConnection) Broken() bool      { return c.closed }
func (c *modelConnection) Established() bool { return c.established }
func (c *modelConnection) Close()            { c.closed = true }

// end breaks the connection. onClosed is called in a later event.
func (c *modelConnection) end() {
	if !c.closed {
		c.closed = true
		c.from.proxy.world.after(0, c.from.whileRunning(func() { c.onClosed(c) }))
	}
}

// Post sends a frame to the serving proxy, with the fault chosen for it.
func (c *modelConnection) Post(msg any) error {
	if c.closed {
		return errcode.Wrap("model.post", errcode.ConnectionLost, nil)
	}
	world := c.from.proxy.world
	choices := frameChoices
	if !c.unused {
		// Only the first frame on a connection can fail to connect, or restart the serving proxy.
		choices = frameNeverConnected
	}
	point := fmt.Sprintf("%s>%s %T", c.from.proxy.address, c.to.address, msg)
	switch c.unused = false; world.fault(point, choices) {
	case frameNeverConnected:
		c.end()
		return nil
	case frameLost:
		c.established = true
		c.end()
	case frameDeliveredThenBroken:
		c.established = true
		c.deliver(0, msg)
		world.after(0, c.end)
	case frameDeliveredAfterBreak:
		c.established = true
		c.end()
		c.deliver(modelShortDelay, msg)
	case frameDeliveredAfterDeadline:
		c.established = true
		c.end()
		c.deliver(modelLongDelay, msg)
	case frameLostSilently:
		c.established, c.silent = true, true
	case frameDeliveredThenRestart:
		c.established = true
		c.deliver(0, msg)
		world.after(modelShortDelay/2, func() {
			c.to.start()
			for _, connection := range c.to.incoming {
				connection.end()
			}
		})
	default:
		c.established = true
		c.deliver(0, msg)
	}
	return nil
}

// deliver schedules the delivery of a frame, unless the serving proxy restarts before it.
func (c *modelConnection) deliver(delay time.Duration, msg any) {
	world, startTime := c.from.proxy.world, c.to.startTime
	world.after(delay, func() {
		if c.silent || c.to.startTime != startTime {
			return
		}
		c.to.dispatcher.HandleFrame(msg, c.reply)
	})
}

// reply sends a frame back to the caller's proxy, with the fault chosen for it.
func (c *modelConnection) reply(msg any) error {
	world := c.from.proxy.world
	if c.closed {
		return errcode.Wrap("model.back", errcode.ConnectionLost, nil)
	}
	receive := c.from.whileRunning(func() {
		if !c.silent {
			c.onMessage(msg)
		}
	})
	switch world.fault(fmt.Sprintf("%s<%s %T", c.from.proxy.address, c.to.address, msg), replyChoices) {
	case replyLost:
		c.end()
	case replyDuplicated:
		world.after(0, receive)
		world.after(modelShortDelay, receive)
	case replyAfterDeadline:
		world.after(modelLongDelay, receive)
	default:
		world.after(0, receive)
	}
	return nil
}

// fault makes the choice at a choice point, and counts it if it is a fault.
func (m *model) fault(point string, count int) int {
	choice := m.chooser.choose(point, count)
	if choice > 0 {
		m.faults[fmt.Sprintf("%s:%d", point, choice)]++
	}
	return choice
}

// modelUpstreamConn is a connection to an upstream. Each read returns data of one piece. A read
// without data returns the failure, or exceeds its deadline.
type modelUpstreamConn struct {
	net.Conn
	world        *model
	upstream     string
	pieces       [][]byte
	latePieces   [][]byte // arrive after the next request was sent
	previousName string   // name of the previous request
	failure      error
	closed       bool
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

// Write receives a request, and prepares the answer according to the choice for this upstream.
func (u *modelUpstreamConn) Write(text []byte) (int, error) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return 0, err
	}
	world, path := u.world, request.URL.Path
	name := request.Header.Get("Name")
	u.pieces, u.latePieces = append(u.pieces, u.latePieces...), nil
	if world.offers[path] == nil {
		world.offers[path] = map[string]bool{}
	}
	world.offers[path][u.upstream] = true
	world.writtenAnswers++
	body := fmt.Sprintf("%s by %s, %d", path, u.upstream, world.writtenAnswers)
	answer := func(status int, head, body string) []byte {
		nameHeader := ""
		if world.namedAnswers {
			nameHeader = "Name: " + name + "\r\n"
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s", status, nameHeader, head, len(body), body)
	}
	recordRun := func(status int, completeBody string) {
		world.runs[path] = append(world.runs[path], modelRun{u.upstream, path, completeBody, status})
		if path == modelNestingPath {
			// The upstream makes a nested call through its serving proxy each time it runs.
			world.submitAt(modelServingProxies[u.upstream], fmt.Sprintf("/once/call%d", world.writtenAnswers), true, func() {})
		}
	}
	regular, extra := answer(200, "", body), answer(200, "", "a second answer")
	choice := world.fault("at "+u.upstream+" "+path, upstreamChoices)
	if !world.namedAnswers && (choice == upstreamExtraAnswerLate || choice == upstreamUnnamedAnswerLate) {
		choice = upstreamExtraAnswerAfterwards // without names, a late answer can't be recognized
	}
	switch choice {
	case upstreamExtraAnswerAtOnce:
		recordRun(200, body)
		if world.namedAnswers {
			u.pieces = append(u.pieces, append(regular, extra...))
		} else {
			u.pieces = append(u.pieces, append(extra, regular...)) // without names, the regular answer can't be identified
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
		if world.namedAnswers {
			u.pieces = append(u.pieces, answer(503, "Unrun: full\r\n", "full"))
		} else {
			recordRun(200, body)
			u.pieces = append(u.pieces, regular)
		}
	case upstreamRefusesAfterRun:
		recordRun(503, "")
		if world.namedAnswers {
			u.pieces = append(u.pieces, answer(503, "", "busy"))
		} else {
			u.failure = io.EOF
		}
	case upstreamMisdirected:
		if world.namedAnswers {
			u.pieces = append(u.pieces, answer(421, "", ""))
		} else {
			u.failure = io.EOF
		}
	default:
		recordRun(200, body)
		u.pieces = append(u.pieces, regular)
	}
	u.previousName = name
	return len(text), nil
}

// modelNestingPath is the path of the request that makes a nested call in each run.
const modelNestingPath = "/free/2"

// submitAtFirst sends a request to the first caller's proxy.
func (m *model) submitAtFirst(path string, atMostOnce bool, onAnswer func()) {
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

// submitRequests submits two requests at once, and two more one after another once the first is
// answered, as on a pipelined or a persistent connection of its caller.
func (m *model) submitRequests() {
	m.submitAtFirst("/once/1", true, func() { m.submitAtFirst("/free/3", false, func() { m.submitAtFirst("/once/4", true, func() {}) }) })
	m.submitAtFirst("/free/2", false, func() {})
}

// violations returns the violations of a run in the form "<rule>: <description>".
func (m *model) violations() []string {
	violations := []string{}
	add := func(rule, text string, values ...any) {
		violations = append(violations, rule+": "+fmt.Sprintf(text, values...))
	}
	for _, id := range m.cancelled {
		if strings.Contains(id, "/once/") {
			add("cancelled", "%s was aborted although its route is at-most-once", id)
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
				add("promise", "%s was answered %d (%s) but ran", request.name, response.Status, response.Code)
			}
			if response.Code != errcode.OK && response.RetryAfter <= 0 {
				add("retry-after", "%s was answered %d without Retry-After", request.name, response.Status)
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
			add("own-answer", "%s was answered %d %q, which none of its runs sent", request.name, response.Status, response.Body)
		}
	}
	return violations
}
