// Calls where each request names its upstream (proof "target"), to a stand-in on loopback
// and with a protocol of the test's own.
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

// named is a manner in which answers bear the request's name and may say "unrun".
type named struct{}

func (named) SetHeaders(header http.Header, forward message.Forward, _ Target, left time.Duration) {
	header.Set("For", forward.Instance)
	header.Set("Left", fmt.Sprint(left > 0 && left <= time.Duration(forward.Remaining)))
}

func (named) Interpret(answer *http.Response, forward message.Forward, _ Target) ResponseMetadata {
	received := ResponseMetadata{}
	switch name := answer.Header.Get("Name"); {
	case name != "" && name != forward.AttemptName:
		received.OtherRequest = true
	case answer.StatusCode == http.StatusMisdirectedRequest:
		received.Refusal = errcode.BusyUpstreamGone
	case answer.Header.Get("Unrun") != "":
		received.Refusal = errcode.BusySlotsFull
	case answer.StatusCode == http.StatusServiceUnavailable:
		received.AmbiguousRefusal = true
	case answer.Header.Get("Seal") == "":
		received.Corrupt = true
	}
	if answer.Header.Get("Idle") != "" {
		received.KeepAlive = time.Nanosecond
	}
	return received
}

// breaksOff stands before a text behind which the connection is closed.
const breaksOff = "!"

// stand is an upstream that writes, for each request, one text in one go, and keeps the
// connection open.
type stand struct {
	listener    net.Listener
	connections atomic.Int64
	seen        chan *http.Request
}

func newStand(c *qt.C, members *goroutine.Group, answer func(request *http.Request) string) *stand {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	s := &stand{listener: listener, seen: make(chan *http.Request, 100)}
	members.Go("stand", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Inc()
			c.Cleanup(func() { conn.Close() })
			members.Go("stand.connection", func(context.Context) {
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					s.seen <- request
					text, broken := strings.CutPrefix(answer(request), breaksOff)
					fmt.Fprint(conn, text)
					if broken {
						conn.Close()
						return
					}
				}
			})
		}
	})
	return s
}

func targetBench(c *qt.C, members *goroutine.Group, address string) *bench {
	cfg := settings.Default()
	cfg.TargetProof = settings.ProofTarget
	serving := New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	b := &bench{serving: serving, caller: NewUpstreamClient(cfg, serving, members), members: members, address: address}
	b.caller.UseProtocol(named{})
	accepted, _, _ := serving.Announce(members.Now(), Announcement{
		Service:     "pay",
		Instance:    "one",
		Incarnation: 1,
		Address:     address,
		Zone:        "d",
		Slots:       4,
	})
	c.Assert(accepted, qt.IsTrue)
	return b
}

func (b *bench) requestNamed(c *qt.C, name, path string) message.Outcome {
	b.forwarded++
	forward := message.Forward{
		ID:               fmt.Sprint(name, b.forwarded),
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
	decisions := b.serving.HandleForward(b.members.Now(), forward)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Start, qt.IsTrue, qt.Commentf("%v", decisions[0].Code))
	outcome, _ := b.serving.Complete(b.members.Now(), decisions[0], b.caller.Call(decisions[0]))
	return outcome
}

func answerOf(name, body string, more ...string) string {
	heads := ""
	for _, line := range more {
		heads += line + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nName: %s\r\nSeal: x\r\n%sContent-Length: %d\r\n\r\n%s", name, heads, len(body), body)
}

// An answer that bears another request's name is passed over, be it in one piece with the
// right one or before it; the connection serves on. Where only others come, nothing is known.
func TestAnswersOfOthersArePassedOver(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	upstream := newStand(c, members, func(request *http.Request) string {
		switch request.URL.Path {
		case "/late":
			return answerOf("a", "not yours") + answerOf("b", "yours")
		case "/others":
			return strings.Repeat(answerOf("a", "not yours"), maxSkippedResponses)
		}
		return answerOf("a", "first")
	})
	b := targetBench(c, members, upstream.listener.Addr().String())
	c.Assert(string(b.requestNamed(c, "a", "/first").Body), qt.Equals, "first")
	outcome := b.requestNamed(c, "b", "/late")
	c.Assert(outcome.Kind, qt.Equals, message.Completed)
	c.Assert(string(outcome.Body), qt.Equals, "yours")
	c.Assert(upstream.connections.Load(), qt.Equals, int64(1))
	outcome = b.requestNamed(c, "c", "/others")
	c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.AnswerMalformed)
	c.Assert(string(b.requestNamed(c, "a", "/first").Body), qt.Equals, "first")
	c.Assert(upstream.connections.Load(), qt.Equals, int64(2))
}

// Bytes behind a whole answer belong to no request: the answer stands, the connection does not.
func TestBytesBehindAnAnswer(t *testing.T) {
	for name, behind := range map[string]string{
		"garbage":          "\x00\x01 nothing",
		"another's answer": answerOf("old", "not yours"),
		"its own, twice":   answerOf("a", "other"),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			members := goroutine.New()
			upstream := newStand(c, members, func(request *http.Request) string {
				return answerOf(strings.TrimPrefix(request.URL.Path, "/"), "whole") + behind
			})
			b := targetBench(c, members, upstream.listener.Addr().String())
			for number, request := range []string{"a", "b"} {
				outcome := b.requestNamed(c, request, "/"+request)
				c.Assert(outcome.Kind, qt.Equals, message.Completed)
				c.Assert(string(outcome.Body), qt.Equals, "whole")
				c.Assert(upstream.connections.Load(), qt.Equals, int64(number+1))
			}
		})
	}
}

// Only what says so was not run. A status that promises it without saying so is not
// passed on, and neither is a success that is not the upstream's own.
func TestWhatAnUpstreamSaysOfRunning(t *testing.T) {
	for name, tried := range map[string]struct {
		answer      string
		kind        int64
		code        errcode.Code
		sent        bool
		connections int64 // after one more request
	}{
		"full and says so": {
			"HTTP/1.1 503 Full\r\nUnrun: full\r\nContent-Length: 4\r\n\r\nfull",
			message.NotStarted,
			errcode.BusySlotsFull,
			true,
			1,
		},
		"says so, and closes": {
			"HTTP/1.1 503 Full\r\nUnrun: full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			message.NotStarted,
			errcode.BusySlotsFull,
			true,
			2,
		},
		"says so of another": {
			"HTTP/1.1 503 Full\r\nName: z\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n" + answerOf("q", "ran"),
			message.Completed,
			errcode.OK,
			false,
			1,
		},
		"another is at its place": {
			"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
			message.NotStarted,
			errcode.BusyUpstreamGone,
			true,
			1,
		},
		"promises in silence": {
			"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			message.OutcomeUnknown,
			errcode.AnswerMalformed,
			false,
			2,
		},
		"a success without seal": {
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			message.OutcomeUnknown,
			errcode.AnswerMalformed,
			false,
			2,
		},
		"its own failure": {
			"HTTP/1.1 500 Oh\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno",
			message.Completed,
			errcode.OK,
			false,
			1,
		},
		"says so, broken off": {
			breaksOff + "HTTP/1.1 503 Full\r\nUnrun: full\r\nContent-Length: 9\r\n\r\nfull",
			message.OutcomeUnknown,
			errcode.AnswerMalformed,
			false,
			2,
		},
		"a connection not to be kept": {answerOf("q", "ok", "Idle: none"), message.Completed, errcode.OK, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			members := goroutine.New()
			upstream := newStand(c, members, func(request *http.Request) string {
				if request.URL.Path == "/more" {
					return answerOf("more", "more")
				}
				return tried.answer
			})
			b := targetBench(c, members, upstream.listener.Addr().String())
			outcome := b.requestNamed(c, "q", "/pay")
			c.Assert(outcome.Kind, qt.Equals, tried.kind)
			c.Assert(errcode.Code(outcome.Code), qt.Equals, tried.code)
			c.Assert(outcome.ReachedUpstream, qt.Equals, tried.sent)
			c.Assert(string(b.requestNamed(c, "more", "/more").Body), qt.Equals, "more")
			c.Assert(upstream.connections.Load(), qt.Equals, tried.connections)
		})
	}
}

// Nobody at the address: the request never left, and nothing is tried there for a moment.
func TestNobodyAtTheAddress(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	b := targetBench(c, members, address)
	outcome := b.requestNamed(c, "q", "/pay")
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(outcome.ReachedUpstream, qt.IsFalse)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.BusyUpstreamGone)
	now, fresh := members.Now(), b.caller.settings.AddressProofTTL()
	c.Assert(codes(b.serving.HandleForward(now, forwardOf("x", "one", 1))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	c.Assert(codes(b.serving.HandleForward(now+fresh+1, forwardOf("y", "one", 1))), qt.DeepEquals, []errcode.Code{errcode.OK})
}

// The path goes out as it came, to the byte, with the host that the caller named and
// with what the manner tells.
func TestRequestTowardsATarget(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	upstream := newStand(c, members, func(*http.Request) string { return answerOf("", "ok") })
	b := targetBench(c, members, upstream.listener.Addr().String())
	for _, path := range []string{"/pay/%7Ea/b%2fc//d", "/", "//double", "/a;b=c", "/a|b\"c"} {
		outcome := b.requestNamed(c, path, path)
		c.Assert(outcome.Kind, qt.Equals, message.Completed)
		request := <-upstream.seen
		c.Check(request.RequestURI, qt.Equals, path)
		c.Check(request.Host, qt.Equals, "shop.example")
		c.Check(request.Header.Get("For"), qt.Equals, "one")
		c.Check(request.Header.Get("Left"), qt.Equals, "true")
	}
}
