// Tests of callers' connections on real sockets: idle timeout, header timeout, and that no read timeout
// cuts off the body of a long request.
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

// adjustableTimeouts implements CallerTimeouts with values that a test changes while connections are open.
type adjustableTimeouts struct{ idle, head *atomic.Duration }

func (t adjustableTimeouts) IdleTime() time.Duration { return t.idle.Load() }
func (t adjustableTimeouts) HeadTime() time.Duration { return t.head.Load() }

// startCallerServer serves handler on a free local port and returns its address.
func startCallerServer(c *qt.C, timeouts CallerTimeouts, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	server := NewServer(handler)
	server.server.ReadTimeout = 100 * time.Millisecond // must not apply to callers' requests
	if timeouts != nil {
		server.UseCallerTimeouts(timeouts)
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

// readResponseBody reads one response and returns its body.
func readResponseBody(c *qt.C, reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(body)
}

// Only the request's own deadline bounds its body. Guards against the server's read timeout, which cut
// off every body after 30 s with status 400. The test fails without UseCallerTimeouts.
func TestLongBodyIsNotCutOff(t *testing.T) {
	c := qt.New(t)
	timeouts := adjustableTimeouts{atomic.NewDuration(time.Second), atomic.NewDuration(time.Second)}
	address := startCallerServer(c, timeouts, func(out http.ResponseWriter, in *http.Request) {
		body, err := io.ReadAll(in.Body)
		fmt.Fprint(out, string(body), err)
	})
	conn, reader := dialCaller(c, address)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n\r\nwh")
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(conn, "ole")
	c.Assert(readResponseBody(c, reader), qt.Equals, "whole<nil>")
}

// An idle connection is closed after the idle timeout. Raising the timeout while the connection is idle
// extends its deadline.
func TestIdleConnections(t *testing.T) {
	c := qt.New(t)
	timeouts := adjustableTimeouts{atomic.NewDuration(400 * time.Millisecond), atomic.NewDuration(time.Second)}
	address := startCallerServer(c, timeouts, func(out http.ResponseWriter, _ *http.Request) { fmt.Fprint(out, "ok") })
	conn, reader := dialCaller(c, address)
	time.Sleep(200 * time.Millisecond) // a new connection may also be idle
	for range 2 {
		fmt.Fprint(conn, plainRequest)
		c.Assert(readResponseBody(c, reader), qt.Equals, "ok")
		time.Sleep(300 * time.Millisecond)
	}
	timeouts.idle.Store(1200 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(conn, plainRequest)
	c.Assert(readResponseBody(c, reader), qt.Equals, "ok")
	timeouts.idle.Store(200 * time.Millisecond)
	fmt.Fprint(conn, plainRequest)
	c.Assert(readResponseBody(c, reader), qt.Equals, "ok")
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := reader.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// The header timeout starts with the first bytes of a request's header and is independent of the idle
// timeout.
func TestHeaderTimeout(t *testing.T) {
	c := qt.New(t)
	timeouts := adjustableTimeouts{atomic.NewDuration(5 * time.Second), atomic.NewDuration(200 * time.Millisecond)}
	address := startCallerServer(c, timeouts, func(out http.ResponseWriter, _ *http.Request) { fmt.Fprint(out, "ok") })
	conn, reader := dialCaller(c, address)
	fmt.Fprint(conn, plainRequest)
	c.Assert(readResponseBody(c, reader), qt.Equals, "ok")
	start := time.Now()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost:")
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	_, err := reader.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(time.Since(start) < 3*time.Second, qt.IsTrue)
}

// The arrival time of a pipelined request is when its first byte arrived, not when the previous request
// was answered. Responses keep the order of the requests.
func TestPipelinedRequestArrivalTime(t *testing.T) {
	c := qt.New(t)
	timeouts := adjustableTimeouts{atomic.NewDuration(5 * time.Second), atomic.NewDuration(time.Second)}
	address := startCallerServer(c, timeouts, func(out http.ResponseWriter, in *http.Request) {
		waited := time.Since(in.Context().Value(frontend.ArrivalKey{}).(frontend.Arrival).ArrivedAt())
		time.Sleep(300 * time.Millisecond)
		fmt.Fprintf(out, "%s %t", in.URL.Path, waited > 150*time.Millisecond)
	})
	for name, pause := range map[string]time.Duration{"sent together": 0, "sent 50 ms later": 50 * time.Millisecond} {
		c.Run(name, func(c *qt.C) {
			conn, reader := dialCaller(c, address)
			fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
			if pause > 0 {
				time.Sleep(pause)
			}
			fmt.Fprint(conn, "GET /2 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
			c.Check(readResponseBody(c, reader), qt.Equals, "/1 false")
			c.Check(readResponseBody(c, reader), qt.Equals, "/2 true")
			time.Sleep(300 * time.Millisecond)
			fmt.Fprint(conn, "GET /3 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
			c.Check(readResponseBody(c, reader), qt.Equals, "/3 false")
		})
	}
}

// Guards against the HTTP server's own empty 200 for "OPTIONS *": the handler decides on every request.
func TestServerAnswersNothingByItself(t *testing.T) {
	c := qt.New(t)
	address := startCallerServer(c, nil, func(out http.ResponseWriter, in *http.Request) {
		out.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(out, in.RequestURI)
	})
	conn, reader := dialCaller(c, address)
	_, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(readResponseBody(c, reader), qt.Equals, "*")
}
