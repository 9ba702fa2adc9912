package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// platform takes the usage reports.
type platform struct {
	server *http.Server
	fleet  *fleet
}

func newPlatform(f *fleet) *platform {
	p := &platform{fleet: f}
	p.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		body, _ := io.ReadAll(in.Body)
		f.record.line("platform  report holder=%s fence=%s %s", in.Header.Get("X-Beaconvane-Duty-Holder"), in.Header.Get("X-Beaconvane-Fence-Token"), body)
		out.WriteHeader(http.StatusOK)
	})}
	if listener, err := net.Listen("tcp", fmt.Sprintf("%s.9.9:%d", f.prefix, f.ports.platform)); err == nil {
		go func() { _ = p.server.Serve(listener) }()
	}
	return p
}

func (p *platform) close() { _ = p.server.Close() }

// run is one request that an upstream has begun.
type run struct {
	at       time.Duration
	instance string
	service  string
	attempt  string
	path     string
}

// upstream is the application beside a sidecar: it announces itself and serves requests.
type upstream struct {
	machine  *machine
	instance string
	work     time.Duration
	calls    int // that it makes while it runs a request
	server   *http.Server
	number   atomic.Int64
	state    atomic.Value // "ready" or "leaving"
	beating  atomic.Bool
	lock     sync.Mutex
	runs     []run
}

func newUpstream(m *machine, instance string, work time.Duration) (*upstream, error) {
	u := &upstream{machine: m, instance: instance, work: work}
	u.state.Store("ready")
	listener, err := net.Listen("tcp", m.address(m.fleet.ports.app))
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(listener) }()
	u.beating.Store(true)
	go u.beats()
	return u, nil
}

func (u *upstream) serve(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/health" && in.Header.Get("X-Beaconvane-Attempt-Id") == "" {
		out.Header().Set("X-Beaconvane-Instance-Id", u.instance)
		if u.state.Load() != "ready" {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := in.Header.Get("X-Beaconvane-Attempt-Id")
	out.Header().Set("X-Beaconvane-Attempt-Id", attempt)
	if target := in.Header.Get("X-Beaconvane-Target-Instance"); target != "" && target != u.instance {
		out.Header().Set("X-Beaconvane-Instance-Id", u.instance)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, in.Body)
	began := run{u.machine.fleet.record.now(), u.instance, u.machine.service, attempt, in.URL.Path}
	u.lock.Lock()
	u.runs = append(u.runs, began)
	u.lock.Unlock()
	u.machine.fleet.record.line("upstream  %s (%s) runs %s %s", u.instance, u.machine.service, attempt, in.URL.Path)
	time.Sleep(u.work)
	u.callOthers(attempt)
	out.Header().Set("X-Beaconvane-Server-Seal", "seal."+u.instance+"."+attempt)
	fmt.Fprintf(out, "%s %s", u.machine.service, attempt)
}

// beats announces the upstream every 1.5 s, and sooner after a failure.
func (u *upstream) beats() {
	for u.beating.Load() {
		if u.announce() {
			time.Sleep(1500 * time.Millisecond)
		} else {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

func (u *upstream) announce() bool {
	body, _ := json.Marshal(map[string]any{
		"service": u.machine.service, "address": u.machine.address(u.machine.fleet.ports.app), "zone": u.machine.zone,
		"version": "v1", "slots": 18, "state": u.state.Load(), "cold_ms": 0, "number": u.number.Add(1),
	})
	status, _, err := u.machine.fleet.call(http.MethodPost, "http://"+u.machine.address(u.machine.fleet.ports.control)+"/beacon/announce/"+u.instance, body, time.Second)
	return err == nil && status/100 == 2
}

// deregister sends the sign-off and reports whether it was acknowledged.
func (u *upstream) deregister() bool {
	u.beating.Store(false)
	status, _, err := u.machine.fleet.call(http.MethodPost, "http://"+u.machine.address(u.machine.fleet.ports.control)+"/beacon/signoff/"+u.instance, nil, time.Second)
	return err == nil && status/100 == 2
}

func (u *upstream) allRuns() []run {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]run{}, u.runs...)
}

var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one HTTP call on a new connection.
func (f *fleet) call(method, url string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := plainClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

const key = "6wsjnbanfqasnmgkcuyj"

var attempts atomic.Int64

// reply is what a client saw of one request.
type reply struct {
	sentAt  time.Duration
	attempt string
	status  int
	body    string
	failure error
}

// request sends one request with the tenant's key to the egress address of a sidecar, as a client beside it.
func (f *fleet) request(m *machine, method, host, path string, deadline time.Duration) reply {
	return f.send(m, method, host, path, key, deadline)
}

// send sends one request with a key.
func (f *fleet) send(m *machine, method, host, path, apiKey string, deadline time.Duration) reply {
	result := reply{attempt: fmt.Sprintf("a%08d", attempts.Add(1)), sentAt: f.record.now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+m.address(f.ports.egress)+path, nil)
	request.Host = host
	request.Header.Set("X-Beaconvane-Attempt-Id", result.attempt)
	request.Header.Set("X-Beaconvane-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+apiKey)
	f.record.line("client    %s sends %s %s%s at %s with key %s", result.attempt, method, host, path, m.name, apiKey)
	response, err := plainClient.Do(request)
	if err == nil {
		defer response.Body.Close()
		var body []byte
		body, err = io.ReadAll(response.Body)
		result.status, result.body = response.StatusCode, string(body)
	}
	result.failure = err
	f.record.line("client    %s gets %d %q %v", result.attempt, result.status, firstLine(result.body), err)
	return result
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	if len(line) > 160 {
		line = line[:160]
	}
	return line
}

// put sends a configuration to a core machine, as the operator.
func (f *fleet) put(who string, m *machine, body []byte) (status int, answer string, err error) {
	f.record.line("operator  %s sends %s to %s", who, configurationLabel(body), m.name)
	status, text, err := f.call(http.MethodPut, "http://"+m.address(f.ports.control)+"/v1/configurations/main", body, time.Second)
	f.record.line("operator  %s gets %d %q %v for %s from %s", who, status, firstLine(string(text)), err, configurationLabel(body), m.name)
	return status, string(text), err
}

// read reads the configuration back from a core machine.
func (f *fleet) read(m *machine) (status int, body []byte, err error) {
	status, body, err = f.call(http.MethodGet, "http://"+m.address(f.ports.control)+"/v1/configurations/main", nil, time.Second)
	f.record.line("operator  reads from %s: %d %s %v", m.name, status, configurationLabel(body), err)
	return status, body, err
}

func configurationLabel(body []byte) string {
	var parsed struct {
		Version int64 `json:"version"`
	}
	if json.Unmarshal(body, &parsed) != nil {
		return fmt.Sprintf("an unreadable configuration of %d bytes", len(body))
	}
	return fmt.Sprintf("version %d", parsed.Version)
}

// configuration returns a configuration whose route /x/ goes to one service.
func configuration(version int, service string, services ...string) []byte {
	pools := []map[string]any{}
	for _, name := range services {
		pools = append(pools, map[string]any{"name": name, "health": "/health", "connections": 130, "protocol": "h1", "tls": false})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{"name": "r-x", "host": "shop.example", "prefix": "/x/", "kind": "repeatable", "timeout_ms": 1200,
			"aim_ms": 500, "priority": 2, "service": service, "attempts": 2, "open": false}},
		"services": pools,
		"limits":   map[string]any{"head_bytes": 16384, "body_bytes": 67108864, "head_ms": 3000, "idle_ms": 15000},
		"tenants":  []map[string]any{{"name": "pulo780", "keys": []string{key}, "priority": 1}},
	})
	return body
}

// ready reports whether a sidecar answers its readiness probe with 200.
func (f *fleet) ready(m *machine) bool {
	status, _, err := f.call(http.MethodGet, "http://"+m.address(f.ports.readiness)+"/beacon/ready", nil, time.Second)
	return err == nil && status == http.StatusOK
}

// waitFor polls a condition.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
