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

	"beaconvane/internal/goroutine"
)

// roundTrip sends a request on a connection and reads the response. It returns an error if the server
// has closed the connection.
func roundTrip(conn net.Conn) error {
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against callers that exhaust the process's file descriptors by opening connections and leaving
// them idle: the connection that has been idle longest is closed in favour of the new one.
func TestRestingConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	group := goroutine.New()
	defer group.Stop(time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	server := NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) }))
	const maxOpen, callers = 8, 40
	server.LimitConnections(maxOpen)
	c.Assert(server.Serve(group, address), qt.IsNil)
	defer server.server.Close()
	conns := []net.Conn{}
	for range callers {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		c.Assert(roundTrip(conn), qt.IsNil)
		conns = append(conns, conn)
		time.Sleep(5 * time.Millisecond) // lets the server mark the connection idle
	}
	served := 0
	for _, conn := range conns {
		if roundTrip(conn) == nil {
			served++
		}
	}
	c.Assert(served <= maxOpen, qt.IsTrue, qt.Commentf("%d of %d connections are open", served, callers))
	c.Assert(served >= maxOpen/2, qt.IsTrue, qt.Commentf("%d of %d connections are open", served, callers))
}
