// Real sockets: what an upstream may do to its serving proxy, and what must not come of it.
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

// scripted is an upstream that reads one request a connection and answers as told.
type scripted struct {
	listener net.Listener
	reads    atomic.Int64
	seen     chan *http.Request
	accepted chan struct{} // one for each connection that was taken
}

// waitAccepted returns once this many connections have been taken: one that still waits
// in the kernel's queue is reset when the listener closes.
func (s *scripted) waitAccepted(c *qt.C, connections int) {
	for taken := range connections {
		select {
		case <-s.accepted:
		case <-time.After(time.Minute):
			c.Fatalf("%d of %d connections were taken", taken, connections)
		}
	}
}

func newScripted(c *qt.C, members *goroutine.Group, address string, answer func(number int64) string) *scripted {
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	s := &scripted{listener: listener, seen: make(chan *http.Request, 100), accepted: make(chan struct{}, 1000)}
	c.Cleanup(func() { listener.Close() })
	members.Go("scripted", func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			members.Go("scripted.connection", func(context.Context) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					number := s.reads.Inc()
					s.seen <- request
					text := answer(number)
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

type bench struct {
	serving   *Backend
	caller    *UpstreamClient
	members   *goroutine.Group
	address   string
	forwarded int
	guards    int // guards that were made, each by a dial
}

func newBench(c *qt.C, members *goroutine.Group, address string) *bench {
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	b := &bench{serving: serving, caller: NewUpstreamClient(settings.Default(), serving, members), members: members, address: address}
	target := Target{Key: "pay/one", Address: b.address, Incarnation: 1}
	b.announce(c, "pay", "one", 1)
	for b.kept(target) < serving.WarmConnections(target) {
		// On a busy machine the sign of life was too old before all connections were made.
		b.announce(c, "pay", "one", 1)
	}
	return b
}

// kept is how many proven connections are ready.
func (b *bench) kept(target Target) int {
	b.caller.pool.lock.Lock()
	defer b.caller.pool.lock.Unlock()
	return len(b.caller.pool.idle[target])
}

func (b *bench) announce(c *qt.C, service, instance string, incarnation int64) {
	announcement := Announcement{Service: service, Instance: instance, Incarnation: incarnation, Address: b.address, Zone: "d", Slots: 4}
	accepted, _, _ := b.serving.Announce(b.members.Now(), announcement)
	c.Assert(accepted, qt.IsTrue)
	b.caller.Guard(announcement)
	b.guards++
}

// ask carries one request and gives its outcome, with the backend told of the end.
func (b *bench) request(c *qt.C, id, method string, headers ...message.HeaderLine) message.Outcome {
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
	decisions := b.serving.HandleForward(b.members.Now(), forward)
	c.Assert(decisions, qt.HasLen, 1)
	outcome := message.Outcome{Kind: message.NotStarted, Code: int64(decisions[0].Code)}
	if decisions[0].Start {
		outcome = b.caller.Call(decisions[0])
	}
	outcome, _ = b.serving.Complete(b.members.Now(), decisions[0], outcome)
	return outcome
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A request that was read is never sent a second time, reused connection or not, whatever
// its method or headers.
func TestNothingIsSentTwice(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	defer members.Stop(0)
	upstream := newScripted(c, members, "127.0.0.1:0", func(number int64) string {
		if number == 1 {
			return good
		}
		return ""
	})
	b := newBench(c, members, upstream.listener.Addr().String())
	c.Assert(b.request(c, "a", http.MethodGet).Kind, qt.Equals, message.Completed)
	outcome := b.request(c, "b", http.MethodGet, message.HeaderLine{Name: "Idempotency-Key", Value: "x"})
	c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.UnknownOutcome)
	c.Assert(upstream.reads.Load(), qt.Equals, int64(2))
	// One more connection was kept, and broke; then no dial until a newer sign of life.
	c.Assert(errcode.Code(b.request(c, "c", http.MethodPost).Code), qt.Equals, errcode.UnknownOutcome)
	c.Assert(upstream.reads.Load(), qt.Equals, int64(3))
	c.Assert(errcode.Code(b.request(c, "d", http.MethodPost).Code), qt.Equals, errcode.BusyUnproven)
	c.Assert(upstream.reads.Load(), qt.Equals, int64(3))
	b.announce(c, "pay", "one", 1)
	c.Assert(b.request(c, "e", http.MethodPost).Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(upstream.reads.Load(), qt.Equals, int64(4))
}

// Only whole answers count.
func TestAnswersMustBeWhole(t *testing.T) {
	for name, wanted := range map[string]struct {
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
			members := goroutine.New()
			defer members.Stop(0)
			upstream := newScripted(c, members, "127.0.0.1:0", func(int64) string { return wanted.answer })
			b := newBench(c, members, upstream.listener.Addr().String())
			outcome := b.request(c, "q", http.MethodPost)
			c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
			c.Assert(errcode.Code(outcome.Code), qt.Equals, wanted.code)
		})
	}
}

// Answers at the edges of HTTP come through as they are, and the connection behind them is
// used again only where it is clean.
func TestEdgesOfHTTP(t *testing.T) {
	for name, tried := range map[string]struct {
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
		"its own 503":       {http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull", "full", 503},
		"closes afterwards": {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			members := goroutine.New()
			defer members.Stop(0)
			upstream := newScripted(c, members, "127.0.0.1:0", func(int64) string { return tried.answer })
			b := newBench(c, members, upstream.listener.Addr().String())
			// Each of these connections is closed by the upstream behind its one answer: the
			// next request must not be lost on it, nor sent twice.
			for number := range int64(2) {
				outcome := b.request(c, fmt.Sprint("q", number), tried.method)
				c.Assert(outcome.Kind, qt.Equals, message.Completed, qt.Commentf("%s", errcode.Code(outcome.Code)))
				c.Assert(outcome.Status, qt.Equals, tried.status)
				c.Assert(string(outcome.Body), qt.Equals, tried.body)
				c.Assert(upstream.reads.Load(), qt.Equals, number+1)
				b.announce(c, "pay", "one", 1)
				b.caller.pool.lock.Lock()
				delete(b.caller.pool.idle, Target{Key: "pay/one", Address: b.address, Incarnation: 1})
				b.caller.pool.lock.Unlock()
			}
		})
	}
}

// An upstream that answers before it has read the body has given its whole answer.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	defer members.Stop(0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	members.Go("early", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			members.Go("early.connection", func(context.Context) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := reader.ReadString('\n'); err == nil {
					fmt.Fprint(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno")
					io.Copy(io.Discard, reader)
				}
			})
		}
	})
	b := newBench(c, members, listener.Addr().String())
	outcome := b.request(c, "q", http.MethodPost)
	c.Assert(outcome.Kind, qt.Equals, message.Completed)
	c.Assert(outcome.Status, qt.Equals, int64(413))
}

// Interim answers are passed over; the head is the mesh's own.
func TestHeadTowardsUpstream(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	defer members.Stop(0)
	upstream := newScripted(c, members, "127.0.0.1:0", func(int64) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" + good })
	b := newBench(c, members, upstream.listener.Addr().String())
	outcome := b.request(c, "q", http.MethodPost, message.HeaderLine{Name: "X-Color", Value: "red"})
	c.Assert(outcome.Kind, qt.Equals, message.Completed)
	c.Assert(string(outcome.Body), qt.Equals, "ok")
	request := <-upstream.seen
	c.Assert(request.Header.Get(TenantHeader), qt.Equals, "t")
	c.Assert(request.Header.Get(CallerHeader), qt.Equals, "shop")
	c.Assert(request.Header.Get("X-Color"), qt.Equals, "red")
	c.Assert(request.Header.Get(DelegationHeader), qt.Not(qt.Equals), "")
	c.Assert(request.Header.Get("User-Agent"), qt.Equals, "")
	// The pass ends with the request.
	_, known := b.serving.LookupDelegation(request.Header.Get(DelegationHeader))
	c.Assert(known, qt.IsFalse)
}

// An address taken over by a process that has not announced itself gets nothing.
func TestTakenOverAddressGetsNothing(t *testing.T) {
	c := qt.New(t)
	members, elders := goroutine.New(), goroutine.New()
	defer members.Stop(0)
	old := newScripted(c, elders, "127.0.0.1:0", func(int64) string { return good })
	address := old.listener.Addr().String()
	b := newBench(c, members, address)
	c.Assert(b.request(c, "a", http.MethodPost).Kind, qt.Equals, message.Completed)
	// The old process ends: its listener and every connection of it close.
	old.listener.Close()
	b.caller.pool.lock.Lock()
	for _, list := range b.caller.pool.idle {
		for _, connection := range list {
			connection.conn.Close()
		}
	}
	b.caller.pool.lock.Unlock()
	b.caller.guards.lock.Lock()
	for _, guard := range b.caller.guards.guards {
		guard.conn.(*net.TCPConn).CloseRead()
	}
	b.caller.guards.lock.Unlock()
	heir := newScripted(c, members, address, func(int64) string { return good })
	outcome := b.request(c, "b", http.MethodPost)
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(heir.reads.Load(), qt.Equals, int64(0))
}
