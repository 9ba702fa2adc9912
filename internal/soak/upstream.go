package soak

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
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
)

// requestIDHeader carries the id of a request from its caller to the upstream.
const requestIDHeader = "X-Soak-Id"

const (
	announceInterval = 500 * time.Millisecond
	announceRetry    = 150 * time.Millisecond
	upstreamTimeout  = time.Second // of a call to a proxy
	upstreamWork     = 5 * time.Millisecond
	upstreamSlots    = 24
	innerCalls       = 3 // requests that a run of the first rotating service makes
	servesOnFor      = 4 * time.Second
	returnsAfter     = time.Second
)

// upstream is a stand-in for the application beside a proxy. It announces itself, runs requests and makes
// requests of its own.
type upstream struct {
	seen    *observations
	service string
	name    string
	zone    string
	proxies []string // HTTP addresses; the first one is beside this upstream

	announceClient *http.Client
	callClient     *http.Client
	address        string
	incarnation    atomic.Int64
	announcing     atomic.Bool
	signingOff     sync.Mutex
}

// start starts to listen and to announce.
func (u *upstream) start(group *goroutine.Group) error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return errcode.Wrap("soak.listen", errcode.ConnectionLost, err)
	}
	u.address = listener.Addr().String()
	u.announceClient = newClient(upstreamTimeout)
	u.callClient = newClient(time.Duration(innerTimeoutMS) * time.Millisecond)
	u.incarnation.Store(1)
	u.announcing.Store(true)
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	group.Go("soak.upstream", func(context.Context) { _ = server.Serve(listener) }) // returns after server.Close
	group.Go("soak.upstream.close", func(ctx context.Context) { <-ctx.Done(); server.Close() })
	group.Go("soak.announce", u.announce)
	return nil
}

// newClient returns a client that keeps its connections open.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 8}}
}

// instance returns the name of the instance together with its incarnation, as the observations have it.
func (u *upstream) instance() string { return fmt.Sprintf("%s/%d", u.name, u.incarnation.Load()) }

// answerText returns the answer of a service to a request.
func answerText(service, id string) string { return service + " ran " + id }

// serve runs a request.
func (u *upstream) serve(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	id := in.Header.Get(requestIDHeader)
	u.seen.addExecution(execution{
		id: id, service: u.service, instance: u.instance(), path: in.URL.Path, keySeen: keySeen(in, body), at: u.seen.now(),
	})
	sleep(in.Context(), upstreamWork)
	if u.service == rotatingServices[0] && in.URL.Path == mainPath {
		u.callInner(id)
	}
	_, _ = io.WriteString(out, padded(answerText(u.service, id), in)) // the proxy may have closed the connection
}

// keySeen reports whether a request shows the upstream a key.
func keySeen(in *http.Request, body []byte) bool {
	head := bytes.Buffer{}
	_ = in.Header.Write(&head) // a bytes.Buffer returns no error
	text := head.String() + in.URL.String() + string(body)
	return strings.Contains(text, tenantKey) || strings.Contains(text, unknownKey)
}

// callInner makes requests through the proxy beside this upstream, at the same time, without a key.
func (u *upstream) callInner(id string) {
	var pending sync.WaitGroup
	for number := range innerCalls {
		pending.Go(func() {
			sent := request{
				id: fmt.Sprintf("%s-inner-%d", id, number), proxy: u.proxies[0], host: innerHost, path: innerPath, sentAt: u.seen.now(),
			}
			sent.send(u.callClient, http.MethodGet, u.seen)
		})
	}
	pending.Wait()
}

// announce sends announcements until ctx ends, to the proxy beside this upstream or, if that fails, to the
// next one.
func (u *upstream) announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := announceInterval
		if u.announcing.Load() && !u.announceOnce() {
			pause = announceRetry
		}
		sleep(ctx, pause)
	}
}

// announced returns the announcement of the present incarnation.
func (u *upstream) announced(leaving bool) backend.Announcement {
	return backend.Announcement{
		Service: u.service, Instance: u.name, Incarnation: u.incarnation.Load(), Address: u.address, Zone: u.zone, Slots: upstreamSlots,
		Draining: leaving,
	}
}

// announceOnce sends one announcement and reports whether a proxy accepted it.
func (u *upstream) announceOnce() bool {
	body := u.announcement(false)
	for _, address := range u.proxies {
		if u.post(address, "/beacon/announce", body) == http.StatusOK {
			return true
		}
	}
	return false
}

// signOffBody is the body of a sign-off.
type signOffBody struct {
	Service     string `json:"service"`
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// leave signs off at the proxy beside this upstream. The upstream serves on for a while, and then comes back
// as a new incarnation. acknowledged is called at once if the sign-off is acknowledged.
func (u *upstream) leave(ctx context.Context, acknowledged func()) {
	if !u.signingOff.TryLock() {
		return
	}
	defer u.signingOff.Unlock()
	u.announcing.Store(false)
	u.signOff(acknowledged)
	sleep(ctx, servesOnFor+returnsAfter)
	u.incarnation.Inc()
	u.announcing.Store(true)
}

// signOff signs the present incarnation off at the proxy beside this upstream. acknowledged is called at once if that is
// acknowledged.
func (u *upstream) signOff(acknowledged func()) {
	instance := u.instance()
	body, _ := json.Marshal(signOffBody{u.service, u.name, u.incarnation.Load()})
	if u.post(u.proxies[0], "/beacon/signoff", body) == http.StatusOK {
		acknowledgedAt := u.seen.now()
		acknowledged()
		u.seen.addSignOff(signOff{instance, acknowledgedAt, acknowledgedAt + servesOnFor})
	}
}

// post sends a body to a proxy and returns the status, or 0 without a complete answer.
func (u *upstream) post(address, path string, body []byte) int {
	response, err := u.announceClient.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// sleep waits until a duration has passed or ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
