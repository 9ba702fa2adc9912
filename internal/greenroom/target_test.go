// Calls where each query names its upstream (proof "target"), to a stand-in on loopback
// and in a manner of the test's own.
package greenroom

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

	"beaconvane/internal/crew"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// named is a manner in which answers bear the query's name and may say "unrun".
type named struct{}

func (named) Dress(header http.Header, carry script.Carry, _ Target, left time.Duration) {
	header.Set("For", carry.Instance)
	header.Set("Left", fmt.Sprint(left > 0 && left <= time.Duration(carry.Remaining)))
}

func (named) Heed(answer *http.Response, carry script.Carry, _ Target) Heard {
	heard := Heard{}
	switch name := answer.Header.Get("Name"); {
	case name != "" && name != carry.Name:
		heard.Other = true
	case answer.StatusCode == http.StatusMisdirectedRequest:
		heard.Refuse = notice.BusyUpstreamGone
	case answer.Header.Get("Unrun") != "":
		heard.Refuse = notice.BusySlotsFull
	case answer.StatusCode == http.StatusServiceUnavailable:
		heard.Hides = true
	case answer.Header.Get("Seal") == "":
		heard.Spoilt = true
	}
	if answer.Header.Get("Idle") != "" {
		heard.Idle = time.Nanosecond
	}
	return heard
}

// breaksOff stands before a text behind which the wire is closed.
const breaksOff = "!"

// stand is an upstream that writes, for each request, one text in one go, and keeps the
// wire open.
type stand struct {
	listener net.Listener
	wires    atomic.Int64
	seen     chan *http.Request
}

func newStand(c *qt.C, members *crew.Crew, answer func(request *http.Request) string) *stand {
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
			s.wires.Inc()
			c.Cleanup(func() { conn.Close() })
			members.Go("stand.wire", func(context.Context) {
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

func targetBench(c *qt.C, members *crew.Crew, address string) *bench {
	config := playbill.Default()
	config.Proof = playbill.ProofTarget
	room := New(config, func(script.Carry) notice.Code { return notice.OK })
	b := &bench{room: room, caller: NewCaller(config, room, members), members: members, address: address}
	b.caller.Speak(named{})
	accepted, _, _ := room.Announce(members.Now(), Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: address, District: "d", Slots: 4})
	c.Assert(accepted, qt.IsTrue)
	return b
}

func (b *bench) askNamed(c *qt.C, name, path string) script.Verdict {
	b.carried++
	carry := script.Carry{ID: fmt.Sprint(name, b.carried), Name: name, Service: "pay", Instance: "one", Incarnation: 1, Method: http.MethodPost, Path: path, Headers: []script.HeaderLine{},
		Body: []byte("body"), Remaining: int64(2 * time.Second), AnswerCap: 1000, Host: "shop.example"}
	orders := b.room.Carried(b.members.Now(), carry)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Start, qt.IsTrue, qt.Commentf("%v", orders[0].Code))
	verdict, _ := b.room.Finish(b.members.Now(), orders[0], b.caller.Call(orders[0]))
	return verdict
}

func answerOf(name, body string, more ...string) string {
	heads := ""
	for _, line := range more {
		heads += line + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nName: %s\r\nSeal: x\r\n%sContent-Length: %d\r\n\r\n%s", name, heads, len(body), body)
}

// An answer that bears another query's name is passed over, be it in one piece with the
// right one or before it; the wire serves on. Where only others come, nothing is known.
func TestAnswersOfOthersArePassedOver(t *testing.T) {
	c := qt.New(t)
	members := crew.New()
	upstream := newStand(c, members, func(request *http.Request) string {
		switch request.URL.Path {
		case "/late":
			return answerOf("a", "not yours") + answerOf("b", "yours")
		case "/others":
			return strings.Repeat(answerOf("a", "not yours"), othersPassed)
		}
		return answerOf("a", "first")
	})
	b := targetBench(c, members, upstream.listener.Addr().String())
	c.Assert(string(b.askNamed(c, "a", "/first").Body), qt.Equals, "first")
	verdict := b.askNamed(c, "b", "/late")
	c.Assert(verdict.Kind, qt.Equals, script.StartedWhole)
	c.Assert(string(verdict.Body), qt.Equals, "yours")
	c.Assert(upstream.wires.Load(), qt.Equals, int64(1))
	verdict = b.askNamed(c, "c", "/others")
	c.Assert(verdict.Kind, qt.Equals, script.StartedNoWhole)
	c.Assert(notice.Code(verdict.Code), qt.Equals, notice.AnswerMalformed)
	c.Assert(string(b.askNamed(c, "a", "/first").Body), qt.Equals, "first")
	c.Assert(upstream.wires.Load(), qt.Equals, int64(2))
}

// Bytes behind a whole answer belong to no query: the answer stands, the wire does not.
func TestBytesBehindAnAnswer(t *testing.T) {
	for name, behind := range map[string]string{"garbage": "\x00\x01 nothing", "another's answer": answerOf("old", "not yours"), "its own, twice": answerOf("a", "other")} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			members := crew.New()
			upstream := newStand(c, members, func(request *http.Request) string {
				return answerOf(strings.TrimPrefix(request.URL.Path, "/"), "whole") + behind
			})
			b := targetBench(c, members, upstream.listener.Addr().String())
			for number, query := range []string{"a", "b"} {
				verdict := b.askNamed(c, query, "/"+query)
				c.Assert(verdict.Kind, qt.Equals, script.StartedWhole)
				c.Assert(string(verdict.Body), qt.Equals, "whole")
				c.Assert(upstream.wires.Load(), qt.Equals, int64(number+1))
			}
		})
	}
}

// Only what says so was not run. A status that promises it without saying so is not
// passed on, and neither is a success that is not the upstream's own.
func TestWhatAnUpstreamSaysOfRunning(t *testing.T) {
	for name, tried := range map[string]struct {
		answer string
		kind   int64
		code   notice.Code
		sent   bool
		wires  int64 // after one more query
	}{
		"full and says so":        {"HTTP/1.1 503 Full\r\nUnrun: full\r\nContent-Length: 4\r\n\r\nfull", script.NotStarted, notice.BusySlotsFull, true, 1},
		"says so, and closes":     {"HTTP/1.1 503 Full\r\nUnrun: full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", script.NotStarted, notice.BusySlotsFull, true, 2},
		"says so of another":      {"HTTP/1.1 503 Full\r\nName: z\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n" + answerOf("q", "ran"), script.StartedWhole, notice.OK, false, 1},
		"another is at its place": {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", script.NotStarted, notice.BusyUpstreamGone, true, 1},
		"promises in silence":     {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", script.StartedNoWhole, notice.AnswerMalformed, false, 2},
		"a success without seal":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", script.StartedNoWhole, notice.AnswerMalformed, false, 2},
		"its own failure":         {"HTTP/1.1 500 Oh\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", script.StartedWhole, notice.OK, false, 1},
		"says so, broken off":     {breaksOff + "HTTP/1.1 503 Full\r\nUnrun: full\r\nContent-Length: 9\r\n\r\nfull", script.StartedNoWhole, notice.AnswerMalformed, false, 2},
		"a wire not to be kept":   {answerOf("q", "ok", "Idle: none"), script.StartedWhole, notice.OK, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			members := crew.New()
			upstream := newStand(c, members, func(request *http.Request) string {
				if request.URL.Path == "/more" {
					return answerOf("more", "more")
				}
				return tried.answer
			})
			b := targetBench(c, members, upstream.listener.Addr().String())
			verdict := b.askNamed(c, "q", "/pay")
			c.Assert(verdict.Kind, qt.Equals, tried.kind)
			c.Assert(notice.Code(verdict.Code), qt.Equals, tried.code)
			c.Assert(verdict.Sent, qt.Equals, tried.sent)
			c.Assert(string(b.askNamed(c, "more", "/more").Body), qt.Equals, "more")
			c.Assert(upstream.wires.Load(), qt.Equals, tried.wires)
		})
	}
}

// Nobody at the address: the query never left, and nothing is tried there for a moment.
func TestNobodyAtTheAddress(t *testing.T) {
	c := qt.New(t)
	members := crew.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	b := targetBench(c, members, address)
	verdict := b.askNamed(c, "q", "/pay")
	c.Assert(verdict.Kind, qt.Equals, script.NotStarted)
	c.Assert(verdict.Sent, qt.IsFalse)
	c.Assert(notice.Code(verdict.Code), qt.Equals, notice.BusyUpstreamGone)
	now, fresh := members.Now(), b.caller.config.DialFresh()
	c.Assert(codes(b.room.Carried(now, carryOf("x", "one", 1))), qt.DeepEquals, []notice.Code{notice.BusyUpstreamGone})
	c.Assert(codes(b.room.Carried(now+fresh+1, carryOf("y", "one", 1))), qt.DeepEquals, []notice.Code{notice.OK})
}

// The path goes out as it came, to the byte, with the host that the caller named and
// with what the manner tells.
func TestQueryTowardsATarget(t *testing.T) {
	c := qt.New(t)
	members := crew.New()
	upstream := newStand(c, members, func(*http.Request) string { return answerOf("", "ok") })
	b := targetBench(c, members, upstream.listener.Addr().String())
	for _, path := range []string{"/pay/%7Ea/b%2fc//d", "/", "//double", "/a;b=c", "/a|b\"c"} {
		verdict := b.askNamed(c, path, path)
		c.Assert(verdict.Kind, qt.Equals, script.StartedWhole)
		request := <-upstream.seen
		c.Check(request.RequestURI, qt.Equals, path)
		c.Check(request.Host, qt.Equals, "shop.example")
		c.Check(request.Header.Get("For"), qt.Equals, "one")
		c.Check(request.Header.Get("Left"), qt.Equals, "true")
	}
}
