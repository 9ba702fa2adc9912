package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// nestedConfiguration has a route /x/ to alpha, with a key, and a keyless route /y/ to beta, for the calls that
// the upstreams of alpha make while they run a request.
func nestedConfiguration(version int) []byte {
	var content map[string]any
	_ = json.Unmarshal(configuration(version, "alpha", "alpha", "beta"), &content)
	routes, _ := content["routes"].([]any)
	if route, isRoute := routes[0].(map[string]any); isRoute {
		route["timeout_ms"], route["aim_ms"] = 5000, 2000
	}
	content["routes"] = append(routes, map[string]any{"name": "r-y", "host": "inner.example", "prefix": "/y/", "kind": "repeatable",
		"timeout_ms": 500, "aim_ms": 150, "priority": 2, "service": "beta", "attempts": 2, "open": true})
	body, _ := json.Marshal(content)
	return body
}

// Figures of the case. freezeTime is that of the site's node_freeze on a sidecar machine; contactPause is a little
// over contact-s.
const (
	freezeTime    = 3500 * time.Millisecond
	contactPause  = 3200 * time.Millisecond
	maxFreezes    = 6
	perSecond     = 20 // requests of all clients
	nestedCalls   = 3  // of each run of alpha
	routeDeadline = 5 * time.Second
	answerSlack   = 500 * time.Millisecond
	unreadPause   = time.Second // after which a client abandons a try that the node has not read
)

// sentRequest is a request of the judged time: how long it took, and whether it got a final answer.
type sentRequest struct {
	sentAt, took time.Duration
	answered     bool
}

// load sends requests from the clients of every zone alike until stopped, and keeps what became of them.
type load struct {
	fleet   *fleet
	stopped atomic.Bool
	alpha   *machine
	frozen  atomic.Bool // alpha
	clients sync.WaitGroup
	lock    sync.Mutex
	sent    []sentRequest
}

func (l *load) start(sidecars []*machine, rate float64, offset time.Duration) {
	l.clients.Add(1)
	go func() {
		defer l.clients.Done()
		time.Sleep(offset)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for number := 0; !l.stopped.Load(); number++ {
			<-ticker.C
			m := sidecars[number%len(sidecars)]
			l.clients.Add(1)
			go func() {
				defer l.clients.Done()
				// The client waits a little longer than the route's deadline-s and the slack of the rule. A frozen node
				// reads nothing.
				patience := routeDeadline + answerSlack + 100*time.Millisecond
				if m == l.alpha && l.frozen.Load() {
					patience = unreadPause
				}
				answer := l.fleet.request(m, http.MethodGet, "shop.example", "/x/1", patience)
				l.lock.Lock()
				defer l.lock.Unlock()
				l.sent = append(l.sent, sentRequest{answer.sentAt, l.fleet.record.now() - answer.sentAt, answer.failure == nil})
			}()
		}
	}()
}

// hang: one sidecar machine freezes and wakes again, up to six times, while the clients of all zones call its
// upstream, which makes calls of its own.
func hang(f *fleet, trouble bool) int {
	alpha := f.addSidecar(0, "alpha")
	for zone := 1; zone < len(f.zones); zone++ {
		for range 3 {
			f.addSidecar(zone, "beta")
		}
	}
	if err := f.startMachines(); err != nil {
		return exitNotRun
	}
	for _, m := range f.sidecars {
		u, err := newUpstream(m, "i-"+m.name, 5*time.Millisecond)
		if err != nil {
			return exitNotRun
		}
		if m == alpha {
			u.calls = nestedCalls
		}
	}
	acknowledged := waitFor(15*time.Second, func() bool {
		status, _, err := f.put("A", f.cores[0], nestedConfiguration(10))
		return err == nil && status == http.StatusOK
	})
	served := waitFor(15*time.Second, func() bool {
		for _, m := range f.sidecars {
			if !f.ready(m) || f.request(m, http.MethodGet, "shop.example", "/x/1", routeDeadline).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	if !acknowledged || !served {
		f.record.say("the fleet did not start")
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	f.record.say("all served")
	traffic := &load{fleet: f, alpha: alpha}
	for zone := range f.zones {
		inZone := []*machine{}
		for _, m := range f.sidecars {
			if m.zone == f.zones[zone] {
				inZone = append(inZone, m)
			}
		}
		// The zones' requests are evenly spaced, so that in calm times one ends before the next begins.
		traffic.start(inZone, perSecond/float64(len(f.zones)), time.Duration(zone)*time.Second/perSecond)
	}
	for freeze := 1; freeze <= maxFreezes; freeze++ {
		if trouble {
			traffic.frozen.Store(true)
			alpha.signal("proxy", syscall.SIGSTOP)
			f.record.line("frozen: %s", alpha.name)
		}
		time.Sleep(freezeTime)
		if trouble {
			alpha.signal("proxy", syscall.SIGCONT)
			traffic.frozen.Store(false)
			f.record.line("awake: %s", alpha.name)
		}
		time.Sleep(contactPause)
		ready := f.ready(alpha) || f.ready(alpha)
		f.record.say("freeze %d: %s answers its readiness probe: %v", freeze, alpha.name, ready)
		if !ready {
			break
		}
	}
	// Judged are the requests of the next 3 s: all machines are in touch.
	judgedFrom := f.record.now()
	time.Sleep(3 * time.Second)
	traffic.stopped.Store(true)
	traffic.clients.Wait()
	judged, lasting, unanswered := 0, 0, 0
	for _, request := range traffic.sent {
		if request.sentAt < judgedFrom {
			continue
		}
		judged++
		if request.took > routeDeadline {
			lasting++
		}
		if !request.answered && request.took > routeDeadline+answerSlack {
			unanswered++
		}
	}
	f.record.say("of %d requests, %d lasted longer than deadline-s, and %d had no final answer 0.5 s after it", judged, lasting, unanswered)
	if unanswered >= 8 && unanswered*4 > lasting {
		f.record.say("CONFIG broken: eight or more, and over a quarter of the requests that last longer than deadline-s, have no final answer")
		return exitBroken
	}
	return exitHeld
}

// callOthers makes the calls of an upstream while it runs a request, at once.
func (u *upstream) callOthers(attempt string) {
	var calls sync.WaitGroup
	for number := range u.calls {
		calls.Add(1)
		go func() {
			defer calls.Done()
			request, _ := http.NewRequest(http.MethodGet, "http://"+u.machine.address(u.machine.fleet.ports.egress)+"/y/1", nil)
			request.Host = "inner.example"
			request.Header.Set("X-Beaconvane-Attempt-Id", fmt.Sprintf("%s-%d", attempt, number))
			request.Header.Set("X-Beaconvane-Deadline-Ms", "500")
			client := http.Client{Timeout: 500 * time.Millisecond}
			if response, err := client.Do(request); err == nil {
				response.Body.Close()
			}
		}()
	}
	calls.Wait()
}
