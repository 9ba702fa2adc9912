// Tests of requests whose caller has disconnected: repeatable requests are cancelled, others run to their
// end.
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

// silentUpstream is an upstream that reads one request per connection and never responds.
type silentUpstream struct {
	listener net.Listener
	received chan struct{} // receives one value for each request read
	closed   chan struct{} // receives one value when the connection of a request has ended
}

// newSilentUpstream starts a silentUpstream on a loopback port.
func newSilentUpstream(c *qt.C, goroutines *goroutine.Group) *silentUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	s := &silentUpstream{listener: listener, received: make(chan struct{}, 10), closed: make(chan struct{}, 10)}
	goroutines.Go("silent", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			goroutines.Go("silent.connection", func(context.Context) { s.serve(conn) })
		}
	})
	return s
}

// serve reads one request and then waits until the peer closes the connection.
func (s *silentUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	s.received <- struct{}{}
	_, _ = io.Copy(io.Discard, reader)
	s.closed <- struct{}{}
}

// waitFor waits for an event, and fails the test after a minute.
func waitFor(c *qt.C, happened <-chan struct{}, what string) {
	select {
	case <-happened:
	case <-time.After(time.Minute):
		c.Fatalf("%s did not happen within a minute", what)
	}
}

// newForward returns a request to instance one with an hour remaining. atMostOnce marks it as not
// repeatable.
func newForward(id string, atMostOnce bool) message.Forward {
	return message.Forward{ID: id, AttemptName: id, Service: "pay", Instance: "one", Incarnation: 1, Method: http.MethodGet, Path: "/pay",
		Headers: []message.HeaderLine{}, Body: []byte{}, Remaining: int64(time.Hour), MaxResponseBytes: 1000, AtMostOnce: atMostOnce}
}

// Cancelling a call closes its connection, and the outcome is unknown since the request was sent.
func TestCancelledCallEndsItsConnection(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	defer goroutines.Stop(0)
	upstream := newSilentUpstream(c, goroutines)
	fixture := newTargetProofFixture(c, goroutines, upstream.listener.Addr().String())
	decisions := fixture.serving.HandleForward(goroutines.Now(), newForward("a", false))
	c.Assert(decisions, qt.HasLen, 1)
	ended := make(chan message.Outcome, 1)
	goroutines.Go("call", func(context.Context) { ended <- fixture.client.Call(decisions[0]) })
	waitFor(c, upstream.received, "the request")
	_, cancel := fixture.serving.Withdraw("a")
	c.Assert(cancel, qt.IsTrue)
	fixture.client.Cancel("a")
	waitFor(c, upstream.closed, "the end of the connection")
	outcome := <-ended
	c.Assert(outcome.Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.UnknownOutcome)
	// An ended call can't be cancelled, since its connection may carry another call by then.
	c.Assert(fixture.client.calls.active, qt.HasLen, 0)
}

// A call that is cancelled while its connection is being dialled sends nothing.
func TestCallCancelledBeforeItIsSent(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	defer goroutines.Stop(0)
	upstream := newPersistentUpstream(c, goroutines, func(*http.Request) string { return okResponse })
	fixture := newTargetProofFixture(c, goroutines, upstream.listener.Addr().String())
	dial := fixture.client.dialTCP
	fixture.client.UseDialer(func(address string, deadline time.Time) (net.Conn, error) {
		fixture.client.Cancel("a")
		return dial(address, deadline)
	})
	decisions := fixture.serving.HandleForward(goroutines.Now(), newForward("a", false))
	outcome := fixture.client.Call(decisions[0])
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(upstream.requests, qt.HasLen, 0)
}

// Withdraw refuses a queued request, and permits cancelling a running request only if it is repeatable.
func TestWithdrawTellsWhatMayBeBrokenOff(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.TargetProof = settings.ProofTarget
	serving := New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	_, _, _ = serving.Announce(0, Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: "a:1", Zone: "d", Slots: 2})
	c.Assert(serving.HandleForward(0, newForward("repeatable", false)), qt.HasLen, 1)
	c.Assert(serving.HandleForward(0, newForward("once", true)), qt.HasLen, 1)
	c.Assert(serving.HandleForward(0, newForward("queued", false)), qt.HasLen, 0)
	for id, expected := range map[string]struct {
		refused int
		cancel  bool
	}{"repeatable": {0, true}, "once": {0, false}, "queued": {1, false}, "unknown": {0, false}} {
		decisions, cancel := serving.Withdraw(id)
		c.Check(decisions, qt.HasLen, expected.refused, qt.Commentf("%s", id))
		c.Check(cancel, qt.Equals, expected.cancel, qt.Commentf("%s", id))
	}
}
