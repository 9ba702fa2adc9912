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

// serve runs one request: it records the run, waits for the duration of the work, may call another
// upstream, and answers, with a fault if one is drawn.
func (u *StubServer) serve(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	execution, index, faults, work := u.recordRun(in, body)
	defer u.finishRun()
	if rand.Float64() < faults.Slow {
		work *= slowFactor
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	<-timer.C
	if call, calls := u.Calls[in.URL.Path]; calls && rand.Float64() < u.Share {
		u.callUpstream(call, execution, index, in.Header.Get(backend.DelegationHeader))
	}
	answer := fmt.Sprintf("%s ran at %s as run %d, %d bytes", execution.ID, execution.Instance, index, len(body))
	if raw, faulty := faults.draw(answer); faulty {
		writeRaw(out, raw)
		return
	}
	u.sendAnswer(out, index, answer)
}

// recordRun records the start of a run. It returns the run, its index, and the faults and the duration
// of the work that apply to it.
func (u *StubServer) recordRun(in *http.Request, body []byte) (execution checker.Execution, index int, faults Faults, work time.Duration) {
	u.lock.Lock()
	defer u.lock.Unlock()
	execution = checker.Execution{
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
	u.runs = append(u.runs, execution)
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	return execution, index, u.faults, u.Work
}

// finishRun decrements the number of running requests.
func (u *StubServer) finishRun() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.running--
}

// keySeen reports whether the headers, the URL or the body of a request contain one of Keys, which no
// upstream may receive.
func (u *StubServer) keySeen(in *http.Request, body []byte) bool {
	head := bytes.Buffer{}
	_ = in.Header.Write(&head) // a bytes.Buffer returns no error
	head.WriteString(in.URL.String())
	for _, key := range u.Keys {
		if strings.Contains(head.String(), key) || bytes.Contains(body, []byte(key)) {
			return true
		}
	}
	return false
}

// sendAnswer records the answer of a run as complete, and then sends it.
func (u *StubServer) sendAnswer(out http.ResponseWriter, index int, answer string) {
	status := Status(rand.Float64, u.OtherShare)
	u.lock.Lock()
	u.runs[index].ResponseSent, u.runs[index].Answer, u.runs[index].Status, u.runs[index].ResponseMark = u.since(), answer, status, answer
	u.lock.Unlock()
	out.Header().Set("Content-Type", "text/plain")
	out.Header().Set(ResponseMarkHeader, answer)
	if index%10 == 0 {
		// Only the mesh may set this header. The proxies must remove it from upstreams' answers.
		out.Header().Set(frontend.CodeHeader, "3101")
	}
	out.WriteHeader(status)
	_, _ = io.WriteString(out, answer) // the caller may have closed the connection
}

// Call is a request that a run makes to another upstream, with the delegation of the request that it
// serves.
type Call struct {
	Route   string
	Service string
	Method  string
	Path    string
	Once    bool // must run at most once
}

// callUpstream sends a request through the serving proxy of this upstream, with the delegation of a run,
// and records the request.
func (u *StubServer) callUpstream(call Call, execution checker.Execution, index int, delegation string) {
	record := checker.CallerRequest{
		ID:         fmt.Sprintf("%s~%s~%d", execution.ID, execution.Instance, index),
		Proxy:      execution.ServingProxy,
		Route:      call.Route,
		Service:    call.Service,
		Tenant:     execution.Tenant,
		Caller:     execution.Service,
		Once:       call.Once,
		Sent:       u.since(),
		Intended:   u.since(),
		Connection: true,
	}
	request, err := http.NewRequest(call.Method, "http://"+execution.ServingProxy+call.Path, http.NoBody)
	if err != nil {
		return
	}
	request.Header.Set(IDHeader, record.ID)
	request.Header.Set(backend.DelegationHeader, delegation)
	request.Header.Set(backend.CallerHeader, "somebody")
	if response, err := u.callClient.Do(request); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		record.Connection, record.Status, record.Body = err != nil, response.StatusCode, string(body)
		record.ResponseMark, record.Retry = response.Header.Get(ResponseMarkHeader), response.Header.Get("Retry-After") != ""
		record.Code, _ = strconv.Atoi(response.Header.Get(frontend.CodeHeader)) // 0 where the header is missing
	}
	record.Done = u.since()
	u.lock.Lock()
	defer u.lock.Unlock()
	u.sentRequests = append(u.sentRequests, record)
}
