package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	at       time.Time
	id       string
	method   string
	target   string // path and query
	caller   string
	tenant   string
	body     []byte
	instance string
	ended    time.Time
}

// upstream is a stand-in for the application upstream of a sidecar. It behaves as PROTOCOL.md says of a sound
// upstream: it works on `slots` requests at once, answers 421 for another instance, turns away what it can't
// run with X-Beaconvane-Not-Executed, and echoes the attempt id with its seal.
type upstream struct {
	record            *record
	service, instance string
	address, zone     string
	beatTo            string
	slots             int
	work              func(in *http.Request) time.Duration
	answer            func(in *http.Request, r run) (status int, body []byte) // nil: 200 and a short body

	lock    sync.Mutex
	running int
	runs    []run
	number  int
	state   string
	silent  bool
	server  *http.Server
	stop    chan struct{}
}

// startUpstream starts the upstream of a sidecar and its beats.
func startUpstream(f *fleet, m *machine, instance string, work time.Duration) (*upstream, error) {
	u := &upstream{
		record: f.record, service: m.service, instance: instance, address: f.app(m), zone: m.zone, beatTo: f.control(m), slots: 18,
		work: func(*http.Request) time.Duration { return work }, state: "ready", stop: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(listener)
	go u.beats()
	return u, nil
}

// ServeHTTP serves health probes and requests.
func (u *upstream) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet && in.URL.Path == "/health" {
		out.Header().Set("X-Beaconvane-Instance-Id", u.instance)
		out.WriteHeader(http.StatusOK)
		return
	}
	id := in.Header.Get("X-Beaconvane-Attempt-Id")
	out.Header().Set("X-Beaconvane-Attempt-Id", id)
	if target := in.Header.Get("X-Beaconvane-Target-Instance"); target != "" && target != u.instance {
		out.Header().Set("X-Beaconvane-Instance-Id", u.instance)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	u.lock.Lock()
	if u.running >= u.slots {
		u.lock.Unlock()
		out.Header().Set("X-Beaconvane-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running++
	index := len(u.runs)
	r := run{at: time.Now(), id: id, method: in.Method, target: in.RequestURI, caller: in.Header.Get("X-Beaconvane-Caller-Service"),
		tenant: in.Header.Get("X-Beaconvane-Tenant"), body: body, instance: u.instance}
	u.runs = append(u.runs, r)
	load := u.running
	u.lock.Unlock()
	u.record.line("upstream %s (%s) runs %s %s %s, tenant %q, caller %q", u.instance, u.service, id, in.Method, in.RequestURI, r.tenant, r.caller)
	select {
	case <-time.After(u.work(in)):
	case <-in.Context().Done():
		u.record.line("upstream %s: the connection of %s closed while it worked", u.instance, id)
	}
	u.lock.Lock()
	u.running--
	u.runs[index].ended = time.Now()
	u.lock.Unlock()
	status, answer := http.StatusOK, []byte("done "+id+" by "+u.instance+"\n")
	if u.answer != nil {
		status, answer = u.answer(in, r)
	}
	out.Header().Set("X-Beaconvane-Server-Seal", "seal-"+u.instance+"-"+id)
	out.Header().Set("X-Beaconvane-Server-Load", fmt.Sprintf("%d,0,%d", load, u.slots))
	out.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	out.WriteHeader(status)
	out.Write(answer)
}

// runsOf returns the runs of a request.
func (u *upstream) runsOf(id string) []run {
	u.lock.Lock()
	defer u.lock.Unlock()
	found := []run{}
	for _, r := range u.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// beat sends one beat with the given number. It reports whether the beat was acknowledged.
func (u *upstream) beat(number int, state string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state, "cold_ms": 0, "number": number,
	})
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+u.beatTo+"/beacon/announce/"+u.instance, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// next returns the number and the state of the next beat.
func (u *upstream) next() (int, string) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.number++
	return u.number, u.state
}

// beats sends a beat every 1.5 s, and soon again after one that failed.
func (u *upstream) beats() {
	for {
		wait := 1500 * time.Millisecond
		number, state := u.next()
		if !u.beat(number, state) {
			wait = 300 * time.Millisecond
		}
		select {
		case <-u.stop:
			return
		case <-time.After(wait):
		}
	}
}

// end ends the upstream without a word, as a crash does.
func (u *upstream) end() {
	close(u.stop)
	u.server.Close()
}
