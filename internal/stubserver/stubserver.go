// Package stubserver implements a stub upstream for tests. It announces itself to a proxy, takes a
// configured time for each request, records every run and may call another upstream. It can be
// configured to lose answers, to send invalid, truncated or overlong answers, to be slow, to warm up and
// to drain.
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

// IDHeader is the header that carries the load generator's ID of a request.
const IDHeader = "X-Loadgen-Id"

// ResponseMarkHeader is the header that identifies the run that sent an answer.
const ResponseMarkHeader = "X-Run"

// StubServer is one stub upstream. Its exported fields must be set before Start.
type StubServer struct {
	Announcement backend.Announcement
	Proxies      []string        // HTTP addresses in order of preference for announcements
	Work         time.Duration   // duration of one request
	Keys         []string        // keys of tenants, which no request may contain
	Base         time.Time       // start of the run, to which the times of the record are relative
	Every        time.Duration   // interval between two announcements; 0: a second
	Calls        map[string]Call // request that a run makes to another upstream, by the path of the incoming request
	Share        float64         // share of the runs of a path in Calls that make the request
	OtherShare   float64         // share of the answers that have one of OtherStatuses; 0: all have 200

	lock           sync.Mutex
	faults         Faults
	runs           []checker.Execution
	running        int
	maxRunning     int
	listener       net.Listener
	announceClient *http.Client
	callClient     *http.Client // opens a connection for each request, so that net/http never resends one
	stop           context.CancelFunc
	sentRequests   []checker.CallerRequest
	servingProxy   string // HTTP address of the proxy that accepted the last announcement
}

// Start starts to listen and to announce. The announced address may have port 0; it is replaced by the
// address of the listener.
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
		_ = server.Serve(listener) // returns after server.Close
	})
	group.Go("stubserver.close", func(context.Context) { <-ctx.Done(); server.Close() })
	group.Go("stubserver.announce", func(context.Context) { u.announce(ctx) })
	return nil
}

// Kill closes the server and all connections immediately, without signing off.
func (u *StubServer) Kill() { u.stop() }

// SetFaults sets the faults of the runs that start from now on.
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

// MaxRunning returns the highest number of requests that ran concurrently.
func (u *StubServer) MaxRunning() int {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.maxRunning
}

// Requests returns the requests that were sent to other upstreams so far.
func (u *StubServer) Requests() []checker.CallerRequest {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]checker.CallerRequest{}, u.sentRequests...)
}

// since returns the time since Base.
func (u *StubServer) since() time.Duration { return time.Since(u.Base) }
