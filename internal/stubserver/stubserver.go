// Package stubserver is the stand-in upstream: it announces itself to a proxy, runs
// requests for a set time, keeps a record of every run, and can be told to misbehave:
// lose answers, send garbage, truncated or excess answers, be slow, warm up, leave.
package stubserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
)

// IDHeader bears the load generator's own id of a request.
const IDHeader = "X-Loadgen-Id"

// MarkHeader marks an answer as that of one run.
const MarkHeader = "X-Run"

// OwnStatus are the statuses that stand-ins answer with, mostly the last one: refusals
// and failures of their own are their own whole answers too.
var OwnStatus = []int{http.StatusCreated, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusOK}

// Faults are shares of runs that go wrong.
type Faults struct {
	Lose     float64 // run, then close without an answer
	Garbage  float64 // bytes that are no HTTP
	Truncate float64 // fewer bytes than the length says
	Excess   float64 // more bytes than the length says
	Slow     float64 // ten times the work
}

// Call is a further call that a run makes, with the pass of its request.
type Call struct {
	Route, Service, Method, Path string
	Once                         bool
}

// Stubserver is one stand-in upstream.
type StubServer struct {
	Response backend.Announcement
	Proxies  []string // outside addresses; the first that answers is announced to
	Work     time.Duration
	Keys     []string // keys that must never be seen
	Base     time.Time
	Every    time.Duration
	Calls    map[string]Call // by path: what it calls in turn
	Share    float64         // of the runs that do

	goroutines   *goroutine.Group
	lock         sync.Mutex
	faults       Faults
	runs         []checker.Ran
	running      int
	most         int
	listener     net.Listener
	client       *http.Client
	caller       *http.Client // for further calls; never sends twice: a new connection each
	cancel       context.CancelFunc
	asked        []checker.Asked
	servingProxy string // the proxy that took the last announcement
}

// Start listens (Told.Address may have port 0) and begins to announce.
func (u *StubServer) Start(members *goroutine.Group) error {
	listener, err := net.Listen("tcp", u.Response.Address)
	if err != nil {
		return errcode.Wrap("stubserver.listen", errcode.ConnectionLost, err)
	}
	u.listener, u.Response.Address, u.goroutines = listener, listener.Addr().String(), members
	u.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{Proxy: nil}}
	u.caller = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}
	if u.Every == 0 {
		u.Every = time.Second
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	ctx, cancel := context.WithCancel(members.Context)
	u.cancel = cancel
	members.Go("stubserver.serve", func(context.Context) { server.Serve(listener) })
	members.Go("stubserver.close", func(context.Context) { <-ctx.Done(); server.Close() })
	members.Go("stubserver.announce", func(context.Context) { u.announce(ctx) })
	return nil
}

// Kill ends it at once, as by a hard signal.
func (u *StubServer) Kill() { u.cancel() }

// SetFaults changes its behaviour.
func (u *StubServer) SetFaults(faults Faults) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.faults = faults
}

// Change alters what it announces, and announces at once.
func (u *StubServer) Change(alter func(response *backend.Announcement)) {
	u.lock.Lock()
	alter(&u.Response)
	u.lock.Unlock()
	u.AnnounceOnce()
}

// SignOff says the last word.
func (u *StubServer) SignOff() {
	u.lock.Lock()
	response := u.Response
	u.lock.Unlock()
	body, _ := json.Marshal(map[string]any{"service": response.Service, "instance": response.Instance, "incarnation": response.Incarnation})
	u.post("/beacon/signoff", body)
}

// Runs gives the record so far; Most is the most that ran at one time.
func (u *StubServer) Runs() []checker.Ran {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]checker.Ran{}, u.runs...)
}

func (u *StubServer) Most() int {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.most
}

func (u *StubServer) announce(ctx context.Context) {
	ticker := time.NewTicker(u.Every)
	defer ticker.Stop()
	u.AnnounceOnce()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.AnnounceOnce()
		}
	}
}

// AnnounceOnce tells the first proxy that takes it.
func (u *StubServer) AnnounceOnce() {
	u.lock.Lock()
	body, _ := json.Marshal(u.Response)
	u.lock.Unlock()
	u.post("/beacon/announce", body)
}

func (u *StubServer) post(path string, body []byte) {
	for _, proxyNode := range u.Proxies {
		response, err := u.client.Post("http://"+proxyNode+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound {
			u.lock.Lock()
			u.servingProxy = proxyNode
			u.lock.Unlock()
			return
		}
	}
}

func (u *StubServer) since() time.Duration { return time.Since(u.Base) }

// callOn asks the proxy beside it, as whoever's request it runs.
func (u *StubServer) callOn(call Call, ran checker.Ran, index int, pass string) {
	asked := checker.Asked{ID: fmt.Sprintf("%s~%s~%d", ran.ID, ran.Instance, index), Proxy: ran.ServingProxy, Route: call.Route, Service: call.Service,
		Tenant: ran.Tenant, Caller: ran.Service, Once: call.Once, Sent: u.since(), Intended: u.since(), Connection: true}
	request, err := http.NewRequest(call.Method, "http://"+ran.ServingProxy+call.Path, http.NoBody)
	if err != nil {
		return
	}
	request.Header.Set(IDHeader, asked.ID)
	request.Header.Set(backend.PassHeader, pass)
	request.Header.Set(backend.CallerHeader, "somebody")
	if response, err := u.caller.Do(request); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		asked.Connection, asked.Status, asked.Body = err != nil, response.StatusCode, string(body)
		asked.Mark, asked.Retry = response.Header.Get(MarkHeader), response.Header.Get("Retry-After") != ""
		fmt.Sscan(response.Header.Get(frontend.CodeHeader), &asked.Code)
	}
	asked.Done = u.since()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.asked = append(u.asked, asked)
}

// Asked gives the further calls so far.
func (u *StubServer) Asked() []checker.Asked {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]checker.Asked{}, u.asked...)
}

func (u *StubServer) keySeen(in *http.Request, body []byte) bool {
	text := bytes.Buffer{}
	in.Header.Write(&text)
	text.WriteString(in.URL.String())
	for _, key := range u.Keys {
		if strings.Contains(text.String(), key) || bytes.Contains(body, []byte(key)) {
			return true
		}
	}
	return false
}

func (u *StubServer) serve(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	u.lock.Lock()
	faults, work := u.faults, u.Work
	ran := checker.Ran{ID: in.Header.Get(IDHeader), Service: u.Response.Service, Instance: u.Response.Instance, Address: u.Response.Address, Path: in.URL.Path,
		Tenant: in.Header.Get(backend.TenantHeader), Caller: in.Header.Get(backend.CallerHeader), KeySeen: u.keySeen(in, body), At: u.since(), Life: u.Response.Incarnation, ServingProxy: u.servingProxy}
	index := len(u.runs)
	u.runs = append(u.runs, ran)
	u.running++
	u.most = max(u.most, u.running)
	u.lock.Unlock()
	if rand.Float64() < faults.Slow {
		work *= 10
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	<-timer.C
	if call, calls := u.Calls[in.URL.Path]; calls && rand.Float64() < u.Share {
		u.callOn(call, ran, index, in.Header.Get(backend.PassHeader))
	}
	answer := fmt.Sprintf("%s ran at %s as run %d, %d bytes", ran.ID, ran.Instance, index, len(body))
	defer func() {
		u.lock.Lock()
		u.running--
		u.lock.Unlock()
	}()
	raw := ""
	switch memberList := rand.Float64(); {
	case memberList < faults.Lose:
		raw = " "
	case memberList < faults.Lose+faults.Garbage:
		raw = "\x00\x01 this is no answer\r\n\r\n"
	case memberList < faults.Lose+faults.Garbage+faults.Truncate:
		raw = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer)+50, answer)
	case memberList < faults.Lose+faults.Garbage+faults.Truncate+faults.Excess:
		raw = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s and more", len(answer), answer)
	}
	status := OwnStatus[min(len(OwnStatus)-1, rand.IntN(10*len(OwnStatus)))]
	if raw != "" {
		if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
			if raw != " " {
				conn.Write([]byte(raw))
			}
			conn.Close()
		}
		return
	}
	u.lock.Lock()
	u.runs[index].Whole, u.runs[index].Answer, u.runs[index].Status, u.runs[index].Mark = u.since(), answer, status, answer
	u.lock.Unlock()
	out.Header().Set("Content-Type", "text/plain")
	out.Header().Set(MarkHeader, answer)
	if index%10 == 0 {
		// Not its word to give: the mesh must not let it through.
		out.Header().Set(frontend.CodeHeader, "3101")
	}
	out.WriteHeader(status)
	io.WriteString(out, answer)
}
