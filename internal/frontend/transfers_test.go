// Tests of the memory of large requests and answers between proxies, on real sockets.
package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

const largeBodyBytes = 3 << 20

// newTransferSettings returns settings with memory for two forwarded bodies of largeBodyBytes.
func newTransferSettings() settings.Settings {
	cfg := settings.Default()
	cfg.TargetProof, cfg.Zone = settings.ProofTarget, "here"
	cfg.Limits.Memory, cfg.Limits.Body, cfg.Limits.Response = 64, largeBodyBytes, largeBodyBytes
	return cfg
}

// newTransport returns a transport on a free local port.
func newTransport(c *qt.C, group *goroutine.Group, handler transport.Handler) (network *transport.Transport, address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address = listener.Addr().String()
	listener.Close()
	network, err = transport.New(group, transport.Config{
		Address: address, FrameLimit: 16 << 20, QueueLength: 64, DialTimeout: time.Second,
	}, handler)
	c.Assert(err, qt.IsNil)
	c.Cleanup(network.Close)
	return network, address
}

// startServingProxy starts a pipeline whose only upstream is at an address, and returns its address and backend.
func startServingProxy(c *qt.C, upstreamAddress string) (address string, serving *backend.Backend) {
	cfg, group := newTransferSettings(), goroutine.New()
	serving = backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	client := backend.NewUpstreamClient(cfg, serving, group)
	front := New(cfg, serving.LookupDelegation)
	pipeline := NewPipeline(cfg, front, serving, client, group, message.Member{}, func(any) {})
	network, address := newTransport(c, group, func(from string, received any, reply func(message any) error) {
		pipeline.HandlePeerFrame(from, received, reply)
	})
	pipeline.Start(network)
	network.Start()
	announcement := newAnnouncement("one", upstreamAddress, 1)
	announcement.Slots = 16
	c.Assert(pipeline.Announce(announcement), qt.IsTrue)
	return address, serving
}

// forwardOf returns a forwarded request of the test's upstream.
func forwardOf(id string, body []byte) message.Forward {
	return message.Forward{
		ID: id, Service: "pay", Instance: "one", Incarnation: 1, Method: http.MethodPost, Path: "/x", Headers: []message.HeaderLine{},
		Body: body, Remaining: int64(20 * time.Second), MaxResponseBytes: 1 << 20, AtMostOnce: true,
	}
}

// Guards against large uploads of several callers' proxies that take a serving proxy over its memory: what doesn't fit
// is refused before it is read, as not started, and fits once the others have ended.
func TestForwardedBodiesAreBounded(t *testing.T) {
	c := qt.New(t)
	release, arrived := make(chan struct{}), make(chan string, 64)
	upstream := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		body, err := io.ReadAll(in.Body)
		if err != nil || len(body) != largeBodyBytes || bytes.Count(body, []byte("x")) != largeBodyBytes {
			arrived <- fmt.Sprintf("%d bytes: %v", len(body), err)
			return
		}
		arrived <- "whole"
		<-release
	}))
	endRuns := sync.OnceFunc(func() { close(release) })
	c.Cleanup(upstream.Close)
	c.Cleanup(endRuns)
	address, _ := startServingProxy(c, upstream.Listener.Addr().String())
	group := goroutine.New()
	network, _ := newTransport(c, group, func(string, any, func(message any) error) {})
	network.Start()
	outcomes := make(chan message.Outcome, 64)
	body := bytes.Repeat([]byte("x"), largeBodyBytes)
	for number := range 10 {
		connection := network.OpenTraffic(address, func(received any) { outcomes <- received.(message.Outcome) })
		c.Cleanup(connection.Close)
		c.Assert(connection.Post(forwardOf(fmt.Sprintf("first-%d", number), body)), qt.IsNil)
	}
	for range 8 {
		select {
		case outcome := <-outcomes:
			c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
			c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.BusyBodies)
		case <-time.After(10 * time.Second):
			c.Fatal("fewer than 8 of 10 large bodies were refused")
		}
	}
	c.Assert([]string{<-arrived, <-arrived}, qt.DeepEquals, []string{"whole", "whole"})
	endRuns()
	for range 2 {
		c.Assert((<-outcomes).Kind, qt.Equals, message.Completed)
	}
	connection := network.OpenTraffic(address, func(received any) { outcomes <- received.(message.Outcome) })
	c.Cleanup(connection.Close)
	c.Assert(connection.Post(forwardOf("second", body)), qt.IsNil)
	c.Assert((<-outcomes).Kind, qt.Equals, message.Completed)
}

// A connection that breaks in the middle of a large body returns its memory.
func TestBrokenTransferReturnsItsMemory(t *testing.T) {
	c := qt.New(t)
	pipeline := newLimitedPipeline(`{}`, func(cfg *settings.Settings) { *cfg = newTransferSettings() })
	frame, err := message.Encode(forwardOf("a", make([]byte, largeBodyBytes)))
	c.Assert(err, qt.IsNil)
	accepted, failed := pipeline.gateLargeFrame(frame[:message.PeekBytes], int64(len(frame)), nil)
	c.Assert(accepted, qt.IsTrue)
	c.Assert(pipeline.transfers.forwards.bytes.Used(), qt.Equals, int64(len(frame)*frameCopies))
	failed()
	c.Assert(pipeline.transfers.forwards.bytes.Used(), qt.Equals, int64(0))
}

// A large answer that doesn't fit for a while is given up as of unknown outcome; one that nobody waits for is not read.
func TestAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	pipeline := newLimitedPipeline(`{}`, func(cfg *settings.Settings) { *cfg = newTransferSettings() })
	gate := func(id string) bool {
		frame, err := message.Encode(message.Outcome{
			ID: id, Kind: message.Completed, Headers: []message.HeaderLine{}, Body: make([]byte, largeBodyBytes),
		})
		c.Assert(err, qt.IsNil)
		accepted, _ := pipeline.gateLargeFrame(frame[:message.PeekBytes], int64(len(frame)), nil)
		return accepted
	}
	await := func(id string) *PendingRequest {
		pending := &PendingRequest{Request: &Request{}}
		c.Assert(pending.beginAttempt(id, nil), qt.IsTrue)
		pipeline.pending[id] = pending
		return pending
	}
	await("first")
	second := await("second")
	c.Assert(gate("nobody waits"), qt.IsFalse)
	c.Assert(gate("first"), qt.IsTrue)
	c.Assert(gate("second"), qt.IsFalse)
	c.Assert(second.answeredBy(), qt.Equals, "second")
	given := <-pipeline.outcomeQueue
	c.Assert(given.Outcome.Kind, qt.Equals, message.OutcomeUnknown)
	c.Assert(errcode.Code(given.Outcome.Code), qt.Equals, errcode.AnswerTooLarge)
	pipeline.transfers.answers.release("first")
	await("third")
	c.Assert(gate("third"), qt.IsTrue)
	pipeline.transfers.answers.release("third")
	c.Assert(pipeline.transfers.answers.bytes.Used(), qt.Equals, int64(0))
}

// Large answers pass the serving proxy one after the other, and its memory is returned.
func TestLargeAnswersPassInTurn(t *testing.T) {
	c := qt.New(t)
	answer := bytes.Repeat([]byte("y"), 1<<20)
	upstream := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		if in.ContentLength == 1 {
			out.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		}
		_, _ = out.Write(answer)
	}))
	c.Cleanup(upstream.Close)
	address, _ := startServingProxy(c, upstream.Listener.Addr().String())
	group := goroutine.New()
	network, _ := newTransport(c, group, func(string, any, func(message any) error) {})
	network.Start()
	outcomes := make(chan message.Outcome, 64)
	connection := network.OpenTraffic(address, func(received any) { outcomes <- received.(message.Outcome) })
	c.Cleanup(connection.Close)
	const requests = 24 // more than fit, with a known length and in chunks
	for number := range requests {
		c.Assert(connection.Post(forwardOf(fmt.Sprint(number), make([]byte, number%2))), qt.IsNil)
	}
	completed := 0
	for range requests {
		outcome := <-outcomes
		if outcome.Kind == message.Completed {
			completed++
			c.Assert(bytes.Equal(outcome.Body, answer), qt.IsTrue)
		} else {
			c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.BusySlotsFull)
		}
	}
	c.Assert(completed >= 16, qt.IsTrue, qt.Commentf("%d", completed))
}
