// Work whose caller has left: what may be repeated is broken off, the rest runs on.
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// silent is an upstream that takes requests and answers none.
type silent struct {
	listener net.Listener
	took     chan struct{} // a request is in
	left     chan struct{} // its connection has ended
}

func newSilent(c *qt.C, members *goroutine.Group) *silent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	s := &silent{listener: listener, took: make(chan struct{}, 10), left: make(chan struct{}, 10)}
	members.Go("silent", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			members.Go("silent.connection", func(context.Context) { s.serve(conn) })
		}
	})
	return s
}

func (s *silent) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	s.took <- struct{}{}
	_, _ = io.Copy(io.Discard, reader)
	s.left <- struct{}{}
}

// within waits for something that has to happen.
func within(c *qt.C, happened <-chan struct{}, what string) {
	select {
	case <-happened:
	case <-time.After(time.Minute):
		c.Fatalf("%s: not seen", what)
	}
}

func repeatableOrNot(id string, once bool) message.Forward {
	return message.Forward{ID: id, AttemptName: id, Service: "pay", Instance: "one", Incarnation: 1, Method: http.MethodGet, Path: "/pay",
		Headers: []message.HeaderLine{}, Body: []byte{}, Remaining: int64(time.Hour), MaxResponseBytes: 1000, AtMostOnce: once}
}

func TestCancelledCallEndsItsConnection(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	defer members.Stop(0)
	upstream := newSilent(c, members)
	b := targetBench(c, members, upstream.listener.Addr().String())
	decisions := b.serving.HandleForward(members.Now(), repeatableOrNot("a", false))
	c.Assert(decisions, qt.HasLen, 1)
	ended := make(chan message.Outcome, 1)
	members.Go("call", func(context.Context) { ended <- b.caller.Call(decisions[0]) })
	within(c, upstream.took, "the request")
	_, cancel := b.serving.Withdraw("a")
	c.Assert(cancel, qt.IsTrue)
	b.caller.Cancel("a")
	within(c, upstream.left, "the end of the connection")
	outcome := <-ended
	c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.UnknownOutcome)
	// Behind its end a call can't be cancelled: its connection may serve another by then.
	c.Assert(b.caller.calls.active, qt.HasLen, 0)
}

// A call that is cancelled before it has a connection sends nothing.
func TestCallCancelledBeforeItIsSent(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	defer members.Stop(0)
	stand := newStand(c, members, func(*http.Request) string { return good })
	b := targetBench(c, members, stand.listener.Addr().String())
	dial := b.caller.dialTCP
	b.caller.UseDialer(func(address string, until time.Time) (net.Conn, error) {
		b.caller.Cancel("a")
		return dial(address, until)
	})
	decisions := b.serving.HandleForward(members.Now(), repeatableOrNot("a", false))
	outcome := b.caller.Call(decisions[0])
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(stand.seen, qt.HasLen, 0)
}

func TestWithdrawTellsWhatMayBeBrokenOff(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.TargetProof = settings.ProofTarget
	serving := New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	_, _, _ = serving.Announce(0, Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: "a:1", Zone: "d", Slots: 2})
	c.Assert(serving.HandleForward(0, repeatableOrNot("repeatable", false)), qt.HasLen, 1)
	c.Assert(serving.HandleForward(0, repeatableOrNot("once", true)), qt.HasLen, 1)
	c.Assert(serving.HandleForward(0, repeatableOrNot("queued", false)), qt.HasLen, 0)
	for id, wanted := range map[string]struct {
		refused int
		cancel  bool
	}{"repeatable": {0, true}, "once": {0, false}, "queued": {1, false}, "unknown": {0, false}} {
		decisions, cancel := serving.Withdraw(id)
		c.Check(decisions, qt.HasLen, wanted.refused, qt.Commentf("%s", id))
		c.Check(cancel, qt.Equals, wanted.cancel, qt.Commentf("%s", id))
	}
}
