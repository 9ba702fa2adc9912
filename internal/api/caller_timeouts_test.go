// Callers' connections on real sockets: how long they may be idle, how slow a header may be, and
// that the body of a long request is not cut off.
package api

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/atomic"

	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
)

// changing are limits that a test changes.
type changing struct{ idle, head *atomic.Duration }

func (l changing) IdleTime() time.Duration { return l.idle.Load() }
func (l changing) HeadTime() time.Duration { return l.head.Load() }

func callersServer(c *qt.C, limits CallerTimeouts, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	server := NewServer(handler)
	server.server.ReadTimeout = 100 * time.Millisecond // what callers' requests must not be cut by
	if limits != nil {
		server.UseCallerTimeouts(limits)
	}
	c.Assert(server.Serve(goroutine.New(), address), qt.IsNil)
	c.Cleanup(func() { server.server.Close() })
	return address
}

func dialCaller(c *qt.C, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

const plainRequest = "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"

func answered(c *qt.C, reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(body)
}

// A body is bounded by the request's own deadline only: the server's read timeout
// cut every body after 30 s, with 400. Red where UseCallerTimeouts is left out.
func TestALongBodyIsNotCut(t *testing.T) {
	c := qt.New(t)
	limits := changing{atomic.NewDuration(time.Second), atomic.NewDuration(time.Second)}
	address := callersServer(c, limits, func(out http.ResponseWriter, in *http.Request) {
		body, err := io.ReadAll(in.Body)
		fmt.Fprint(out, string(body), err)
	})
	conn, reader := dialCaller(c, address)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n\r\nwh")
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(conn, "ole")
	c.Assert(answered(c, reader), qt.Equals, "whole<nil>")
}

// A connection stays idle for as long as the limit allows, for longer where the limit is raised
// meanwhile, and not for ever.
func TestIdleConnections(t *testing.T) {
	c := qt.New(t)
	limits := changing{atomic.NewDuration(400 * time.Millisecond), atomic.NewDuration(time.Second)}
	address := callersServer(c, limits, func(out http.ResponseWriter, _ *http.Request) { fmt.Fprint(out, "ok") })
	conn, reader := dialCaller(c, address)
	time.Sleep(200 * time.Millisecond) // a new one may be idle, too
	for range 2 {
		fmt.Fprint(conn, plainRequest)
		c.Assert(answered(c, reader), qt.Equals, "ok")
		time.Sleep(300 * time.Millisecond)
	}
	limits.idle.Store(1200 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(conn, plainRequest)
	c.Assert(answered(c, reader), qt.Equals, "ok")
	limits.idle.Store(200 * time.Millisecond)
	fmt.Fprint(conn, plainRequest)
	c.Assert(answered(c, reader), qt.Equals, "ok")
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := reader.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// A head has its own time, from its first bytes.
func TestASlowHead(t *testing.T) {
	c := qt.New(t)
	limits := changing{atomic.NewDuration(5 * time.Second), atomic.NewDuration(200 * time.Millisecond)}
	address := callersServer(c, limits, func(out http.ResponseWriter, _ *http.Request) { fmt.Fprint(out, "ok") })
	conn, reader := dialCaller(c, address)
	fmt.Fprint(conn, plainRequest)
	c.Assert(answered(c, reader), qt.Equals, "ok")
	began := time.Now()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost:")
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	_, err := reader.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
}

// A request that was sent behind another has waited since it came, not since the one
// before it was answered; answers come in their order.
func TestPipelinedRequestsWaitFromWhenTheyCame(t *testing.T) {
	c := qt.New(t)
	limits := changing{atomic.NewDuration(5 * time.Second), atomic.NewDuration(time.Second)}
	address := callersServer(c, limits, func(out http.ResponseWriter, in *http.Request) {
		waited := time.Since(in.Context().Value(frontend.ArrivalKey{}).(frontend.Arrival).ArrivedAt())
		time.Sleep(300 * time.Millisecond)
		fmt.Fprintf(out, "%s %t", in.URL.Path, waited > 150*time.Millisecond)
	})
	for name, pause := range map[string]time.Duration{"in one piece": 0, "a moment later": 50 * time.Millisecond} {
		c.Run(name, func(c *qt.C) {
			conn, reader := dialCaller(c, address)
			fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
			if pause > 0 {
				time.Sleep(pause)
			}
			fmt.Fprint(conn, "GET /2 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
			c.Check(answered(c, reader), qt.Equals, "/1 false")
			c.Check(answered(c, reader), qt.Equals, "/2 true")
			time.Sleep(300 * time.Millisecond)
			fmt.Fprint(conn, "GET /3 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
			c.Check(answered(c, reader), qt.Equals, "/3 false")
		})
	}
}
