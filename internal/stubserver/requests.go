package stubserver

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/frontend"
)

// serve runs one request: it records the run, works, may call another upstream, and answers as the
// faults say.
func (u *StubServer) serve(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	ran, index, faults, work := u.recordRun(in, body)
	defer u.finishRun()
	if rand.Float64() < faults.Slow {
		work *= slowFactor
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	<-timer.C
	if call, calls := u.Calls[in.URL.Path]; calls && rand.Float64() < u.Share {
		u.callUpstream(call, ran, index, in.Header.Get(backend.DelegationHeader))
	}
	answer := fmt.Sprintf("%s ran at %s as run %d, %d bytes", ran.ID, ran.Instance, index, len(body))
	if raw, faulty := faults.draw(answer); faulty {
		writeRaw(out, raw)
		return
	}
	u.sendAnswer(out, index, answer)
}

// recordRun records the begin of a run, and returns it with its index, the faults and the work.
func (u *StubServer) recordRun(in *http.Request, body []byte) (ran checker.Execution, index int, faults Faults, work time.Duration) {
	u.lock.Lock()
	defer u.lock.Unlock()
	ran = checker.Execution{
		ID:           in.Header.Get(IDHeader),
		Service:      u.Announcement.Service,
		Instance:     u.Announcement.Instance,
		Address:      u.Announcement.Address,
		Path:         in.URL.Path,
		Tenant:       in.Header.Get(backend.TenantHeader),
		Caller:       in.Header.Get(backend.CallerHeader),
		KeySeen:      u.keySeen(in, body),
		At:           u.since(),
		Incarnation:  u.Announcement.Incarnation,
		ServingProxy: u.servingProxy,
	}
	index = len(u.runs)
	u.runs = append(u.runs, ran)
	u.running++
	u.mostRunning = max(u.mostRunning, u.running)
	return ran, index, u.faults, u.Work
}

// finishRun counts a run as ended.
func (u *StubServer) finishRun() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.running--
}

// keySeen reports whether a request shows one of the keys that must never be seen.
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

// sendAnswer records the complete answer of a run and sends it.
func (u *StubServer) sendAnswer(out http.ResponseWriter, index int, answer string) {
	status := Status(rand.Float64, u.OtherShare)
	u.lock.Lock()
	u.runs[index].ResponseSent, u.runs[index].Answer, u.runs[index].Status, u.runs[index].ResponseMark = u.since(), answer, status, answer
	u.lock.Unlock()
	out.Header().Set("Content-Type", "text/plain")
	out.Header().Set(ResponseMarkHeader, answer)
	if index%10 == 0 {
		// Only the mesh may set this header: it must not let it through.
		out.Header().Set(frontend.CodeHeader, "3101")
	}
	out.WriteHeader(status)
	_, _ = io.WriteString(out, answer) // the caller may have gone
}

// Call is a request that a run makes to another upstream, with the delegation of its own request.
type Call struct {
	Route   string
	Service string
	Method  string
	Path    string
	Once    bool // must not run twice
}

// callUpstream sends a request through the proxy that serves this upstream, on behalf of the caller
// of a run, and records it.
func (u *StubServer) callUpstream(call Call, ran checker.Execution, index int, delegation string) {
	asked := checker.CallerRequest{
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
	request.Header.Set(backend.DelegationHeader, delegation)
	request.Header.Set(backend.CallerHeader, "somebody")
	if response, err := u.callClient.Do(request); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		asked.Connection, asked.Status, asked.Body = err != nil, response.StatusCode, string(body)
		asked.ResponseMark, asked.Retry = response.Header.Get(ResponseMarkHeader), response.Header.Get("Retry-After") != ""
		asked.Code, _ = strconv.Atoi(response.Header.Get(frontend.CodeHeader)) // 0 where the header is missing
	}
	asked.Done = u.since()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.calls = append(u.calls, asked)
}
