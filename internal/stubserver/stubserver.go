// Package stubserver is the stand-in upstream of tests: it announces itself to a proxy, runs requests
// for a set time, keeps a record of every run, and can be made to misbehave: lose answers, send
// garbage, truncated or excess answers, be slow, warm up, leave.
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
	"strconv"
	"strings"
	"sync"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
)

// IDHeader has the load generator's own id of a request.
const IDHeader = "X-Loadgen-Id"

// MarkHeader marks an answer as that of one run.
const MarkHeader = "X-Run"

// OtherStatuses are the statuses besides 200 that a stub server may answer with: its own refusals
// and failures are whole answers too.
var OtherStatuses = []int{
	http.StatusCreated,
	http.StatusNotFound,
	http.StatusUnprocessableEntity,
	http.StatusInternalServerError,
	http.StatusServiceUnavailable,
}

// UsualOtherShare is the share of runs that load tests and the simulator answer with one of
// OtherStatuses.
const UsualOtherShare = 1.0 / 12

// Status draws the status of an answer: 200, or for a share of them one of OtherStatuses.
// It takes a source of uniform numbers from 0 to 1, as rand.Float64 is.
func Status(uniform func() float64, otherShare float64) int {
	chance := uniform()
	if chance >= otherShare {
		return http.StatusOK
	}
	return OtherStatuses[int(chance/otherShare*float64(len(OtherStatuses)))]
}

// Faults are shares of runs that go wrong, each between 0 and 1.
type Faults struct {
	Lose     float64 // run, then close without an answer
	Garbage  float64 // bytes that are no HTTP
	Truncate float64 // fewer bytes than the length says
	Excess   float64 // more bytes than the length says
	Slow     float64 // ten times the work
}

// Call is a further request that a run makes, with the pass of its own request.
type Call struct {
	Route   string
	Service string
	Method  string
	Path    string
	Once    bool // must not run twice
}

// StubServer is one stand-in upstream. Its exported fields are set before Start.
type StubServer struct {
	Announcement backend.Announcement
	Proxies      []string        // HTTP addresses; it announces to the first that answers
	Work         time.Duration   // of one request
	Keys         []string        // keys that must never be seen
	Base         time.Time       // times of the record are since then
	Every        time.Duration   // between two announcements; 0: a second
	Calls        map[string]Call // by path: the request that a run makes in turn
	Share        float64         // of the runs that do
	OtherShare   float64         // of the answers that have one of OtherStatuses; 0: all have 200

	goroutines   *goroutine.Group
	lock         sync.Mutex
	faults       Faults
	runs         []checker.Ran
	running      int
	most         int
	listener     net.Listener
	client       *http.Client
	caller       *http.Client // for further requests; a new connection for each, so that none is sent twice
	cancel       context.CancelFunc
	asked        []checker.Asked
	servingProxy string // the proxy that took the last announcement
}

// Start listens (the announced address may have port 0) and begins to announce.
func (u *StubServer) Start(group *goroutine.Group) error {
	listener, err := net.Listen("tcp", u.Announcement.Address)
	if err != nil {
		return errcode.Wrap("stubserver.listen", errcode.ConnectionLost, err)
	}
	u.listener, u.Announcement.Address, u.goroutines = listener, listener.Addr().String(), group
	u.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{Proxy: nil}}
	u.caller = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}
	if u.Every == 0 {
		u.Every = time.Second
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	ctx, cancel := context.WithCancel(group.Context)
	u.cancel = cancel
	group.Go("stubserver.serve", func(context.Context) {
		_ = server.Serve(listener) // it ends with server.Close
	})
	group.Go("stubserver.close", func(context.Context) { <-ctx.Done(); server.Close() })
	group.Go("stubserver.announce", func(context.Context) { u.announce(ctx) })
	return nil
}

// Kill ends it at once, as SIGKILL would.
func (u *StubServer) Kill() { u.cancel() }

// SetFaults sets how its runs go wrong from now on.
func (u *StubServer) SetFaults(faults Faults) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.faults = faults
}

// Change alters what it announces, and announces at once.
func (u *StubServer) Change(alter func(announcement *backend.Announcement)) {
	u.lock.Lock()
	alter(&u.Announcement)
	u.lock.Unlock()
	u.AnnounceOnce()
}

// signOff is the body by which an upstream ends its incarnation.
type signOff struct {
	Service     string `json:"service"`
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// SignOff tells the proxy that this incarnation has ended.
func (u *StubServer) SignOff() {
	u.lock.Lock()
	end := signOff{Service: u.Announcement.Service, Instance: u.Announcement.Instance, Incarnation: u.Announcement.Incarnation}
	u.lock.Unlock()
	body, _ := json.Marshal(end)
	u.post("/beacon/signoff", body)
}

// Runs returns the record so far.
func (u *StubServer) Runs() []checker.Ran {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]checker.Ran{}, u.runs...)
}

// Most returns the most requests that ran at one time.
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

// AnnounceOnce announces to the first proxy that answers.
func (u *StubServer) AnnounceOnce() {
	u.lock.Lock()
	body, _ := json.Marshal(u.Announcement)
	u.lock.Unlock()
	u.post("/beacon/announce", body)
}

func (u *StubServer) post(path string, body []byte) {
	for _, proxyNode := range u.Proxies {
		response, err := u.client.Post("http://"+proxyNode+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // only the status counts
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

// callOn makes a further request to the proxy beside it, on behalf of the caller of a run.
func (u *StubServer) callOn(call Call, ran checker.Ran, index int, pass string) {
	asked := checker.Asked{
		ID:         fmt.Sprintf("%s~%s~%d", ran.ID, ran.Instance, index),
		Proxy:      ran.ServingProxy,
		Route:      call.Route,
		Service:    call.Service,
		Tenant:     ran.Tenant,
		Caller:     ran.Service,
		Once:       call.Once,
		Sent:       u.since(),
		Intended:   u.since(),
		Connection: true,
	}
	request, err := http.NewRequest(call.Method, "http://"+ran.ServingProxy+call.Path, http.NoBody)
	if err != nil {
		return
	}
	request.Header.Set(IDHeader, asked.ID)
	request.Header.Set(backend.DelegationHeader, pass)
	request.Header.Set(backend.CallerHeader, "somebody")
	if response, err := u.caller.Do(request); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		asked.Connection, asked.Status, asked.Body = err != nil, response.StatusCode, string(body)
		asked.Mark, asked.Retry = response.Header.Get(MarkHeader), response.Header.Get("Retry-After") != ""
		asked.Code, _ = strconv.Atoi(response.Header.Get(frontend.CodeHeader)) // 0 where the header is missing
	}
	asked.Done = u.since()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.asked = append(u.asked, asked)
}

// Asked returns the further requests so far.
func (u *StubServer) Asked() []checker.Asked {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]checker.Asked{}, u.asked...)
}

func (u *StubServer) keySeen(in *http.Request, body []byte) bool {
	text := bytes.Buffer{}
	_ = in.Header.Write(&text) // a buffer takes all
	text.WriteString(in.URL.String())
	for _, key := range u.Keys {
		if strings.Contains(text.String(), key) || bytes.Contains(body, []byte(key)) {
			return true
		}
	}
	return false
}

// serve runs one request: it is recorded, worked on, may call on, and is answered.
func (u *StubServer) serve(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	ran, index, faults, work := u.begin(in, body)
	defer u.finish()
	if rand.Float64() < faults.Slow {
		work *= slowFactor
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	<-timer.C
	if call, calls := u.Calls[in.URL.Path]; calls && rand.Float64() < u.Share {
		u.callOn(call, ran, index, in.Header.Get(backend.DelegationHeader))
	}
	answer := fmt.Sprintf("%s ran at %s as run %d, %d bytes", ran.ID, ran.Instance, index, len(body))
	if raw, faulty := faults.draw(answer); faulty {
		writeRaw(out, raw)
		return
	}
	u.answer(out, index, answer)
}

// slowFactor is how many times as long a slow run takes.
const slowFactor = 10

// begin records a run, and returns it with its index, the faults and the work.
func (u *StubServer) begin(in *http.Request, body []byte) (ran checker.Ran, index int, faults Faults, work time.Duration) {
	u.lock.Lock()
	defer u.lock.Unlock()
	ran = checker.Ran{
		ID:           in.Header.Get(IDHeader),
		Service:      u.Announcement.Service,
		Instance:     u.Announcement.Instance,
		Address:      u.Announcement.Address,
		Path:         in.URL.Path,
		Tenant:       in.Header.Get(backend.TenantHeader),
		Caller:       in.Header.Get(backend.CallerHeader),
		KeySeen:      u.keySeen(in, body),
		At:           u.since(),
		Life:         u.Announcement.Incarnation,
		ServingProxy: u.servingProxy,
	}
	index = len(u.runs)
	u.runs = append(u.runs, ran)
	u.running++
	u.most = max(u.most, u.running)
	return ran, index, u.faults, u.Work
}

func (u *StubServer) finish() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.running--
}

// draw decides by chance whether a run goes wrong, and returns the bytes that it sends then; none
// where the answer is lost.
func (f Faults) draw(answer string) (raw string, faulty bool) {
	switch chance := rand.Float64(); {
	case chance < f.Lose:
		return "", true
	case chance < f.Lose+f.Garbage:
		return "\x00\x01 this is no answer\r\n\r\n", true
	case chance < f.Lose+f.Garbage+f.Truncate:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer)+50, answer), true
	case chance < f.Lose+f.Garbage+f.Truncate+f.Excess:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s and more", len(answer), answer), true
	}
	return "", false
}

// writeRaw writes bytes past the HTTP server, and closes the connection.
func writeRaw(out http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte(raw)) // the caller may have gone
	conn.Close()
}

// answer records the whole answer of a run and sends it.
func (u *StubServer) answer(out http.ResponseWriter, index int, answer string) {
	status := Status(rand.Float64, u.OtherShare)
	u.lock.Lock()
	u.runs[index].Whole, u.runs[index].Answer, u.runs[index].Status, u.runs[index].Mark = u.since(), answer, status, answer
	u.lock.Unlock()
	out.Header().Set("Content-Type", "text/plain")
	out.Header().Set(MarkHeader, answer)
	if index%10 == 0 {
		// Only the mesh may set this header: it must not let it through.
		out.Header().Set(frontend.CodeHeader, "3101")
	}
	out.WriteHeader(status)
	_, _ = io.WriteString(out, answer) // the caller may have gone
}
