// Package stubserver is a stand-in upstream for tests. It announces itself to a proxy, takes a set time
// for each request, records every run, may call another upstream, and can be made to misbehave: lose
// answers, send garbage, truncated or excess answers, be slow, warm up, drain.
package stubserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
)

// IDHeader has the load generator's own id of a request.
const IDHeader = "X-Loadgen-Id"

// ResponseMarkHeader marks an answer as that of one run.
const ResponseMarkHeader = "X-Run"

// StubServer is one stand-in upstream. Its exported fields are set before Start.
type StubServer struct {
	Announcement backend.Announcement
	Proxies      []string        // HTTP addresses; it announces to the first that answers
	Work         time.Duration   // of one request
	Keys         []string        // keys that must never be seen
	Base         time.Time       // times of the record are since then
	Every        time.Duration   // between two announcements; 0: a second
	Calls        map[string]Call // by path: the request that a run makes to another upstream
	Share        float64         // of the runs that do
	OtherShare   float64         // of the answers that have one of OtherStatuses; 0: all have 200

	lock           sync.Mutex
	faults         Faults
	runs           []checker.Execution
	running        int
	mostRunning    int
	listener       net.Listener
	announceClient *http.Client
	callClient     *http.Client // for calls; a new connection for each, so that none is sent twice
	stop           context.CancelFunc
	calls          []checker.CallerRequest
	servingProxy   string // the proxy that took the last announcement
}

// Start listens (the announced address may have port 0) and begins to announce.
func (u *StubServer) Start(group *goroutine.Group) error {
	listener, err := net.Listen("tcp", u.Announcement.Address)
	if err != nil {
		return errcode.Wrap("stubserver.listen", errcode.ConnectionLost, err)
	}
	u.listener, u.Announcement.Address = listener, listener.Addr().String()
	u.announceClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{Proxy: nil}}
	u.callClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}
	if u.Every == 0 {
		u.Every = time.Second
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	ctx, cancel := context.WithCancel(group.Context)
	u.stop = cancel
	group.Go("stubserver.serve", func(context.Context) {
		_ = server.Serve(listener) // it ends with server.Close
	})
	group.Go("stubserver.close", func(context.Context) { <-ctx.Done(); server.Close() })
	group.Go("stubserver.announce", func(context.Context) { u.announce(ctx) })
	return nil
}

// Kill ends the server at once, as SIGKILL would.
func (u *StubServer) Kill() { u.stop() }

// SetFaults sets how runs go wrong from now on.
func (u *StubServer) SetFaults(faults Faults) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.faults = faults
}

// Runs returns the runs so far.
func (u *StubServer) Runs() []checker.Execution {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]checker.Execution{}, u.runs...)
}

// MaxRunning returns the highest number of requests that ran at one time.
func (u *StubServer) MaxRunning() int {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.mostRunning
}

// Requests returns the requests to other upstreams so far.
func (u *StubServer) Requests() []checker.CallerRequest {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]checker.CallerRequest{}, u.calls...)
}

// since returns the time since the base of the record.
func (u *StubServer) since() time.Duration { return time.Since(u.Base) }
