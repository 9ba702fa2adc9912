// Tests of UpstreamClient over real sockets against faulty upstreams.
package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/atomic"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// scriptedUpstream is an upstream that writes a given text for each request. It closes the connection
// unless the text is okResponse.
type scriptedUpstream struct {
	listener     net.Listener
	requestCount atomic.Int64
	requests     chan *http.Request
	accepted     chan struct{} // receives one value for each accepted connection
}

// waitAccepted waits until a number of connections have been accepted. A connection that is still in the
// kernel's accept queue is reset when the listener closes.
func (s *scriptedUpstream) waitAccepted(c *qt.C, connections int) {
	for accepted := range connections {
		select {
		case <-s.accepted:
		case <-time.After(time.Minute):
			c.Fatalf("accepted %d of %d connections within a minute", accepted, connections)
		}
	}
}

// newScriptedUpstream starts a scriptedUpstream. respond returns the text for the request with a number,
// counted from 1 over all connections.
func newScriptedUpstream(c *qt.C, goroutines *goroutine.Group, address string, respond func(number int64) string) *scriptedUpstream {
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	s := &scriptedUpstream{listener: listener, requests: make(chan *http.Request, 100), accepted: make(chan struct{}, 1000)}
	c.Cleanup(func() { listener.Close() })
	goroutines.Go("scripted", func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			goroutines.Go("scripted.connection", func(context.Context) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					number := s.requestCount.Inc()
					s.requests <- request
					text := respond(number)
					fmt.Fprint(conn, text)
					if !strings.HasPrefix(text, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") || len(text) > 40 {
						return
					}
				}
			})
		}
	})
	return s
}

// clientFixture is an UpstreamClient with a Backend on which instance one of pay is registered.
type clientFixture struct {
	serving       *Backend
	client        *UpstreamClient
	goroutines    *goroutine.Group
	address       string
	requestNumber int
	guards        int // number of guard connections dialled
}

// newClientFixture returns a fixture with the default settings and all warm connections open.
func newClientFixture(c *qt.C, goroutines *goroutine.Group, address string) *clientFixture {
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	fixture := &clientFixture{
		serving:    serving,
		client:     NewUpstreamClient(settings.Default(), serving, goroutines),
		goroutines: goroutines,
		address:    address,
	}
	target := Target{Key: "pay/one", Address: fixture.address, Incarnation: 1}
	fixture.announce(c, "pay", "one", 1)
	for fixture.warmConnections(target) < serving.WarmConnections(target) {
		// On a busy machine the proof expires before all warm connections are open.
		fixture.announce(c, "pay", "one", 1)
	}
	return fixture
}

// warmConnections returns the number of idle connections to a target.
func (f *clientFixture) warmConnections(target Target) int {
	f.client.pool.lock.Lock()
	defer f.client.pool.lock.Unlock()
	return len(f.client.pool.idle[target])
}

// announce registers an upstream at the address of the fixture and renews its guard connection.
func (f *clientFixture) announce(c *qt.C, service, instance string, incarnation int64) {
	announcement := Announcement{Service: service, Instance: instance, Incarnation: incarnation, Address: f.address, Zone: "d", Slots: 4}
	accepted, _, _ := f.serving.Announce(f.goroutines.Now(), announcement)
	c.Assert(accepted, qt.IsTrue)
	f.client.Guard(announcement)
	f.guards++
}

// request sends one request and completes it at the backend. It returns the outcome.
func (f *clientFixture) request(c *qt.C, id, method string, headers ...message.HeaderLine) message.Outcome {
	forward := message.Forward{
		ID:               id,
		Service:          "pay",
		Instance:         "one",
		Incarnation:      1,
		Method:           method,
		Path:             "/pay",
		Headers:          headers,
		Body:             []byte{},
		Remaining:        int64(2 * time.Second),
		MaxResponseBytes: 1000,
		Tenant:           "t",
		Caller:           "shop",
	}
	if method == http.MethodPost {
		forward.Body = []byte("body")
	}
	decisions := f.serving.HandleForward(f.goroutines.Now(), forward)
	c.Assert(decisions, qt.HasLen, 1)
	outcome := message.Outcome{Kind: message.NotStarted, Code: int64(decisions[0].Code)}
	if decisions[0].Start {
		outcome = f.client.Call(decisions[0])
	}
	outcome, _ = f.serving.Complete(f.goroutines.Now(), decisions[0], outcome)
	return outcome
}

// okResponse is a response after which a scriptedUpstream keeps the connection open.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A request that an upstream has read is never sent a second time, on a new or a reused connection and
// regardless of its method and headers. http.Transport resends some requests on its own.
func TestNothingIsSentTwice(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	defer goroutines.Stop(0)
	upstream := newScriptedUpstream(c, goroutines, "127.0.0.1:0", func(number int64) string {
		if number == 1 {
			return okResponse
		}
		return ""
	})
	fixture := newClientFixture(c, goroutines, upstream.listener.Addr().String())
	c.Assert(fixture.request(c, "a", http.MethodGet).Kind, qt.Equals, message.Completed)
	outcome := fixture.request(c, "b", http.MethodGet, message.HeaderLine{Name: "Idempotency-Key", Value: "x"})
	c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.UnknownOutcome)
	c.Assert(upstream.requestCount.Load(), qt.Equals, int64(2))
	// The second warm connection is lost too. Then nothing is dialled until the next announcement.
	c.Assert(errcode.Code(fixture.request(c, "c", http.MethodPost).Code), qt.Equals, errcode.UnknownOutcome)
	c.Assert(upstream.requestCount.Load(), qt.Equals, int64(3))
	c.Assert(errcode.Code(fixture.request(c, "d", http.MethodPost).Code), qt.Equals, errcode.BusyUnproven)
	c.Assert(upstream.requestCount.Load(), qt.Equals, int64(3))
	fixture.announce(c, "pay", "one", 1)
	c.Assert(fixture.request(c, "e", http.MethodPost).Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(upstream.requestCount.Load(), qt.Equals, int64(4))
}

// Only complete responses are accepted. Any other leaves the outcome unknown.
func TestAnswersMustBeWhole(t *testing.T) {
	for name, expected := range map[string]struct {
		answer string
		code   errcode.Code
	}{
		"garbage":        {"\x00\x01\x02 nothing\r\n\r\n", errcode.AnswerMalformed},
		"truncated":      {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", errcode.AnswerMalformed},
		"chunks cut off": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", errcode.AnswerMalformed},
		"no framing":     {"HTTP/1.1 200 OK\r\n\r\nhello", errcode.AnswerMalformed},
		"excess":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more", errcode.AnswerMalformed},
		"too large":      {"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), errcode.AnswerTooLarge},
		"two lengths":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk", errcode.AnswerMalformed},
		"switching":      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", errcode.AnswerMalformed},
		"nothing":        {"", errcode.UnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			goroutines := goroutine.New()
			defer goroutines.Stop(0)
			upstream := newScriptedUpstream(c, goroutines, "127.0.0.1:0", func(int64) string { return expected.answer })
			fixture := newClientFixture(c, goroutines, upstream.listener.Addr().String())
			outcome := fixture.request(c, "q", http.MethodPost)
			c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
			c.Assert(errcode.Code(outcome.Code), qt.Equals, expected.code)
		})
	}
}

// Unusual but valid HTTP responses are passed on unchanged, and a connection is reused only if it is
// quiet and open.
func TestEdgesOfHTTP(t *testing.T) {
	for name, test := range map[string]struct {
		method, answer, body string
		status               int64
	}{
		"head":         {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", "", 200},
		"no content":   {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", "", 204},
		"not modified": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nETag: x\r\nContent-Length: 500\r\n\r\n", "", 304},
		"interim": {
			http.MethodPost,
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
				"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok",
			"ok",
			201,
		},
		"chunk extensions": {
			http.MethodGet,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;name=value\r\nok\r\n0\r\n\r\n",
			"ok",
			200,
		},
		"trailers": {
			http.MethodGet,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n",
			"ok",
			200,
		},
		"empty":             {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 200},
		"503 of upstream":   {http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull", "full", 503},
		"closes afterwards": {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			goroutines := goroutine.New()
			defer goroutines.Stop(0)
			upstream := newScriptedUpstream(c, goroutines, "127.0.0.1:0", func(int64) string { return test.answer })
			fixture := newClientFixture(c, goroutines, upstream.listener.Addr().String())
			// The upstream closes each connection after one response: the next request must neither be
			// lost on it nor be sent twice.
			for number := range int64(2) {
				outcome := fixture.request(c, fmt.Sprint("q", number), test.method)
				c.Assert(outcome.Kind, qt.Equals, message.Completed, qt.Commentf("%s", errcode.Code(outcome.Code)))
				c.Assert(outcome.Status, qt.Equals, test.status)
				c.Assert(string(outcome.Body), qt.Equals, test.body)
				c.Assert(upstream.requestCount.Load(), qt.Equals, number+1)
				fixture.announce(c, "pay", "one", 1)
				fixture.client.pool.lock.Lock()
				delete(fixture.client.pool.idle, Target{Key: "pay/one", Address: fixture.address, Incarnation: 1})
				fixture.client.pool.lock.Unlock()
			}
		})
	}
}

// A response that an upstream sends before it has read the request body is accepted.
func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	defer goroutines.Stop(0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	goroutines.Go("early", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			goroutines.Go("early.connection", func(context.Context) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := reader.ReadString('\n'); err == nil {
					fmt.Fprint(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno")
					io.Copy(io.Discard, reader)
				}
			})
		}
	})
	fixture := newClientFixture(c, goroutines, listener.Addr().String())
	outcome := fixture.request(c, "q", http.MethodPost)
	c.Assert(outcome.Kind, qt.Equals, message.Completed)
	c.Assert(outcome.Status, qt.Equals, int64(413))
}

// Interim responses are skipped. The request to an upstream carries the headers that the mesh sets, those
// of the caller, and no default User-Agent.
func TestHeadTowardsUpstream(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	defer goroutines.Stop(0)
	upstream := newScriptedUpstream(c, goroutines, "127.0.0.1:0", func(int64) string {
		return "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse
	})
	fixture := newClientFixture(c, goroutines, upstream.listener.Addr().String())
	outcome := fixture.request(c, "q", http.MethodPost, message.HeaderLine{Name: "X-Color", Value: "red"})
	c.Assert(outcome.Kind, qt.Equals, message.Completed)
	c.Assert(string(outcome.Body), qt.Equals, "ok")
	request := <-upstream.requests
	c.Assert(request.Header.Get(TenantHeader), qt.Equals, "t")
	c.Assert(request.Header.Get(CallerHeader), qt.Equals, "shop")
	c.Assert(request.Header.Get("X-Color"), qt.Equals, "red")
	c.Assert(request.Header.Get(DelegationHeader), qt.Not(qt.Equals), "")
	c.Assert(request.Header.Get("User-Agent"), qt.Equals, "")
	// The delegation token becomes invalid when the request ends.
	_, known := fixture.serving.LookupDelegation(request.Header.Get(DelegationHeader))
	c.Assert(known, qt.IsFalse)
}

// A process that takes over the address of an upstream and has not announced itself gets no requests.
func TestReusedAddressGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	goroutines, ownerGoroutines := goroutine.New(), goroutine.New()
	defer goroutines.Stop(0)
	previousOwner := newScriptedUpstream(c, ownerGoroutines, "127.0.0.1:0", func(int64) string { return okResponse })
	address := previousOwner.listener.Addr().String()
	fixture := newClientFixture(c, goroutines, address)
	c.Assert(fixture.request(c, "a", http.MethodPost).Kind, qt.Equals, message.Completed)
	// The previous owner exits: its listener and all of its connections close.
	previousOwner.listener.Close()
	fixture.client.pool.lock.Lock()
	for _, list := range fixture.client.pool.idle {
		for _, connection := range list {
			connection.conn.Close()
		}
	}
	fixture.client.pool.lock.Unlock()
	fixture.client.guards.lock.Lock()
	for _, guard := range fixture.client.guards.guards {
		guard.conn.(*net.TCPConn).CloseRead()
	}
	fixture.client.guards.lock.Unlock()
	newOwner := newScriptedUpstream(c, goroutines, address, func(int64) string { return okResponse })
	outcome := fixture.request(c, "b", http.MethodPost)
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(newOwner.requestCount.Load(), qt.Equals, int64(0))
}
