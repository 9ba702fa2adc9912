// Tests of calls in which each request names its upstream (proof "target"), to an upstream on loopback
// and with a protocol that is defined here.
package backend

import (
	"bufio"
	"context"
	"fmt"
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

// namingProtocol is a Protocol in which responses name the request in the header Name, refuse it with
// the header Unrun and confirm their origin with the header Seal.
type namingProtocol struct{}

func (namingProtocol) SetHeaders(header http.Header, forward message.Forward, _ Target, remaining time.Duration) {
	header.Set("For", forward.Instance)
	header.Set("Left", fmt.Sprint(remaining > 0 && remaining <= time.Duration(forward.Remaining)))
}

func (namingProtocol) Interpret(response *http.Response, forward message.Forward, _ Target) ResponseMetadata {
	metadata := ResponseMetadata{}
	switch name := response.Header.Get("Name"); {
	case name != "" && name != forward.AttemptName:
		metadata.OtherRequest = true
	case response.StatusCode == http.StatusMisdirectedRequest:
		metadata.Refusal = errcode.BusyUpstreamGone
	case response.Header.Get("Unrun") != "":
		metadata.Refusal = errcode.BusySlotsFull
	case response.StatusCode == http.StatusServiceUnavailable:
		metadata.AmbiguousRefusal = true
	case response.Header.Get("Seal") == "":
		metadata.Corrupt = true
	}
	if response.Header.Get("Idle") != "" {
		metadata.KeepAlive = time.Nanosecond
	}
	return metadata
}

// closeAfterPrefix marks a text after which a persistentUpstream closes the connection.
const closeAfterPrefix = "!"

// persistentUpstream is an upstream that writes one text for each request in a single write and keeps
// the connection open.
type persistentUpstream struct {
	listener    net.Listener
	connections atomic.Int64
	requests    chan *http.Request
}

// newPersistentUpstream starts a persistentUpstream on a loopback port.
func newPersistentUpstream(c *qt.C, goroutines *goroutine.Group, respond func(request *http.Request) string) *persistentUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	s := &persistentUpstream{listener: listener, requests: make(chan *http.Request, 100)}
	goroutines.Go("upstream", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Inc()
			c.Cleanup(func() { conn.Close() })
			goroutines.Go("upstream.connection", func(context.Context) {
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					s.requests <- request
					text, closeAfter := strings.CutPrefix(respond(request), closeAfterPrefix)
					fmt.Fprint(conn, text)
					if closeAfter {
						conn.Close()
						return
					}
				}
			})
		}
	})
	return s
}

// newTargetProofFixture returns a fixture with proof "target" and namingProtocol. It has no warm or guard
// connections.
func newTargetProofFixture(c *qt.C, goroutines *goroutine.Group, address string) *clientFixture {
	cfg := settings.Default()
	cfg.TargetProof = settings.ProofTarget
	serving := New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	fixture := &clientFixture{
		serving:    serving,
		client:     NewUpstreamClient(cfg, serving, goroutines),
		goroutines: goroutines,
		address:    address,
	}
	fixture.client.UseProtocol(namingProtocol{})
	accepted, _, _ := serving.Announce(goroutines.Now(), Announcement{
		Service:     "pay",
		Instance:    "one",
		Incarnation: 1,
		Address:     address,
		Zone:        "d",
		Slots:       4,
	})
	c.Assert(accepted, qt.IsTrue)
	return fixture
}

// requestNamed sends a request with an attempt name and completes it at the backend. It returns the
// outcome.
func (f *clientFixture) requestNamed(c *qt.C, name, path string) message.Outcome {
	f.requestNumber++
	forward := message.Forward{
		ID:               fmt.Sprint(name, f.requestNumber),
		AttemptName:      name,
		Service:          "pay",
		Instance:         "one",
		Incarnation:      1,
		Method:           http.MethodPost,
		Path:             path,
		Headers:          []message.HeaderLine{},
		Body:             []byte("body"),
		Remaining:        int64(2 * time.Second),
		MaxResponseBytes: 1000,
		Host:             "shop.example",
	}
	decisions := f.serving.HandleForward(f.goroutines.Now(), forward)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Start, qt.IsTrue, qt.Commentf("%v", decisions[0].Code))
	outcome, _ := f.serving.Complete(f.goroutines.Now(), decisions[0], f.client.Call(decisions[0]))
	return outcome
}

// namedResponse returns a sealed response that names a request.
func namedResponse(name, body string, extraHeaders ...string) string {
	headers := ""
	for _, line := range extraHeaders {
		headers += line + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nName: %s\r\nSeal: x\r\n%sContent-Length: %d\r\n\r\n%s", name, headers, len(body), body)
}

// A response that names another request is skipped, also when it arrives in the same segment as the
// expected one, and the connection is reused. After maxSkippedResponses of them the outcome is unknown
// and the connection is closed.
func TestAnswersOfOthersArePassedOver(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	upstream := newPersistentUpstream(c, goroutines, func(request *http.Request) string {
		switch request.URL.Path {
		case "/late":
			return namedResponse("a", "not yours") + namedResponse("b", "yours")
		case "/others":
			return strings.Repeat(namedResponse("a", "not yours"), maxSkippedResponses)
		}
		return namedResponse("a", "first")
	})
	fixture := newTargetProofFixture(c, goroutines, upstream.listener.Addr().String())
	c.Assert(string(fixture.requestNamed(c, "a", "/first").Body), qt.Equals, "first")
	outcome := fixture.requestNamed(c, "b", "/late")
	c.Assert(outcome.Kind, qt.Equals, message.Completed)
	c.Assert(string(outcome.Body), qt.Equals, "yours")
	c.Assert(upstream.connections.Load(), qt.Equals, int64(1))
	outcome = fixture.requestNamed(c, "c", "/others")
	c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.AnswerMalformed)
	c.Assert(string(fixture.requestNamed(c, "a", "/first").Body), qt.Equals, "first")
	c.Assert(upstream.connections.Load(), qt.Equals, int64(2))
}

// Bytes after a complete response belong to no request: the response is accepted, and the connection is
// closed.
func TestBytesBehindAnAnswer(t *testing.T) {
	for name, trailing := range map[string]string{
		"garbage":                     "\x00\x01 nothing",
		"response to another request": namedResponse("old", "not yours"),
		"duplicate response":          namedResponse("a", "other"),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			goroutines := goroutine.New()
			upstream := newPersistentUpstream(c, goroutines, func(request *http.Request) string {
				return namedResponse(strings.TrimPrefix(request.URL.Path, "/"), "whole") + trailing
			})
			fixture := newTargetProofFixture(c, goroutines, upstream.listener.Addr().String())
			for number, attemptName := range []string{"a", "b"} {
				outcome := fixture.requestNamed(c, attemptName, "/"+attemptName)
				c.Assert(outcome.Kind, qt.Equals, message.Completed)
				c.Assert(string(outcome.Body), qt.Equals, "whole")
				c.Assert(upstream.connections.Load(), qt.Equals, int64(number+1))
			}
		})
	}
}

// Only an explicit refusal means that a request did not run. A status that suggests it without the
// refusal header leaves the outcome unknown, and so does a success without the seal of the upstream.
func TestWhatAnUpstreamSaysOfRunning(t *testing.T) {
	for name, test := range map[string]struct {
		answer          string
		kind            int64
		code            errcode.Code
		reachedUpstream bool
		connections     int64 // opened after one more request
	}{
		"explicit refusal": {
			"HTTP/1.1 503 Full\r\nUnrun: full\r\nContent-Length: 4\r\n\r\nfull",
			message.NotStarted,
			errcode.BusySlotsFull,
			true,
			1,
		},
		"explicit refusal, then close": {
			"HTTP/1.1 503 Full\r\nUnrun: full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			message.NotStarted,
			errcode.BusySlotsFull,
			true,
			2,
		},
		"explicit refusal of another request": {
			"HTTP/1.1 503 Full\r\nName: z\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n" + namedResponse("q", "ran"),
			message.Completed,
			errcode.OK,
			false,
			1,
		},
		"another upstream at the address": {
			"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
			message.NotStarted,
			errcode.BusyUpstreamGone,
			true,
			1,
		},
		"503 without refusal header": {
			"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			message.OutcomeUnknown,
			errcode.AnswerMalformed,
			false,
			2,
		},
		"success without seal": {
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			message.OutcomeUnknown,
			errcode.AnswerMalformed,
			false,
			2,
		},
		"failure of the upstream": {
			"HTTP/1.1 500 Oh\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno",
			message.Completed,
			errcode.OK,
			false,
			1,
		},
		"truncated refusal": {
			closeAfterPrefix + "HTTP/1.1 503 Full\r\nUnrun: full\r\nContent-Length: 9\r\n\r\nfull",
			message.OutcomeUnknown,
			errcode.AnswerMalformed,
			false,
			2,
		},
		"keep-alive expires immediately": {namedResponse("q", "ok", "Idle: none"), message.Completed, errcode.OK, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			goroutines := goroutine.New()
			upstream := newPersistentUpstream(c, goroutines, func(request *http.Request) string {
				if request.URL.Path == "/more" {
					return namedResponse("more", "more")
				}
				return test.answer
			})
			fixture := newTargetProofFixture(c, goroutines, upstream.listener.Addr().String())
			outcome := fixture.requestNamed(c, "q", "/pay")
			c.Assert(outcome.Kind, qt.Equals, test.kind)
			c.Assert(errcode.Code(outcome.Code), qt.Equals, test.code)
			c.Assert(outcome.ReachedUpstream, qt.Equals, test.reachedUpstream)
			c.Assert(string(fixture.requestNamed(c, "more", "/more").Body), qt.Equals, "more")
			c.Assert(upstream.connections.Load(), qt.Equals, test.connections)
		})
	}
}

// If no process listens at the address, the request is not sent, and the upstream gets no requests until
// AddressProofTTL has passed.
func TestNobodyAtTheAddress(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	fixture := newTargetProofFixture(c, goroutines, address)
	outcome := fixture.requestNamed(c, "q", "/pay")
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(outcome.ReachedUpstream, qt.IsFalse)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.BusyUpstreamGone)
	now, proofTTL := goroutines.Now(), fixture.client.settings.AddressProofTTL()
	c.Assert(codes(fixture.serving.HandleForward(now, forwardOf("x", "one", 1))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	c.Assert(codes(fixture.serving.HandleForward(now+proofTTL+1, forwardOf("y", "one", 1))), qt.DeepEquals, []errcode.Code{errcode.OK})
}

// The request carries the path byte for byte as received, the host that the caller named, and the headers
// of the protocol.
func TestRequestTowardsATarget(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	upstream := newPersistentUpstream(c, goroutines, func(*http.Request) string { return namedResponse("", "ok") })
	fixture := newTargetProofFixture(c, goroutines, upstream.listener.Addr().String())
	for _, path := range []string{"/pay/%7Ea/b%2fc//d", "/", "//double", "//a%2Fb{", "//a//", "/a?", "//a?", "/a;b=c", "/a|b\"c"} {
		outcome := fixture.requestNamed(c, path, path)
		c.Assert(outcome.Kind, qt.Equals, message.Completed)
		request := <-upstream.requests
		c.Check(request.RequestURI, qt.Equals, path)
		c.Check(request.Host, qt.Equals, "shop.example")
		c.Check(request.Header.Get("For"), qt.Equals, "one")
		c.Check(request.Header.Get("Left"), qt.Equals, "true")
	}
}
