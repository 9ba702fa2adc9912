// This file is the server towards callers: HTTP with times that follow the configuration in
// force. A connection may rest and a head may take as long as the limits say at that
// moment; a body and an answer take their time, which the request's own deadline bounds.

package api

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"beaconvane/internal/frontend"
)

// The server is given times that no limit reaches, by which callerConn knows what it waits
// for; callerConn puts the limits in force in their place.
const (
	headMark    = 100 * time.Hour
	idleMark    = 200 * time.Hour
	markNearest = 10 * time.Hour // what is nearer than a mark less this is a time of its own
)

// mostHeadBytes is what the server reads of a head before the configuration's own limit
// is looked at.
const mostHeadBytes = 1 << 20

// CallerTimes are the limits in force.
type CallerTimes interface {
	IdleTime() time.Duration
	HeadTime() time.Duration
}

// ServeCallersBy makes the server go by the callers' limits in force.
func (s *Server) ServeCallersBy(times CallerTimes) {
	s.server.ReadTimeout, s.server.ReadHeaderTimeout, s.server.IdleTimeout = 0, headMark, idleMark
	s.server.MaxHeaderBytes = mostHeadBytes
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, frontend.ArrivalKey{}, conn)
	}
	inner := s.server.Handler
	s.server.Handler = http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		conn, known := in.Context().Value(frontend.ArrivalKey{}).(*callerConn)
		if known {
			conn.begin()
			defer conn.end()
		}
		inner.ServeHTTP(out, in)
	})
	s.wrap = func(listener net.Listener) net.Listener { return callerListener{listener, times} }
}

type callerListener struct {
	net.Listener
	times CallerTimes
}

// Accept takes a connection that goes by the limits.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, times: l.times}, nil
}

// callerConn is a caller's connection. It turns the marks into the limits in force, lets a
// connection rest longer when the figure was raised meanwhile, and knows when the present
// request's first byte came.
type callerConn struct {
	net.Conn
	times CallerTimes

	lock      sync.Mutex
	restsFrom time.Time // not zero: it waits for a request's first byte
	began     time.Time // the present request's handling
	early     time.Time // the next request's first byte came while this one was handled
	first     time.Time // the first read since the last answer
	last      time.Time // the last read
	came      time.Time
}

// SetReadDeadline puts the limit in force in the place of a mark.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	left := time.Until(deadline)
	c.lock.Lock()
	fresh := c.last.IsZero()
	c.restsFrom = time.Time{}
	switch {
	case deadline.IsZero() || left < headMark-markNearest:
	case left > idleMark-markNearest || fresh:
		// A new connection may rest before its first request, too.
		c.restsFrom = time.Now()
		deadline = c.restsFrom.Add(c.times.IdleTime())
	default:
		deadline = time.Now().Add(c.times.HeadTime())
	}
	c.lock.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// Read notes when bytes came, and rests on where the figure has grown.
func (c *callerConn) Read(into []byte) (int, error) {
	for {
		size, err := c.Conn.Read(into)
		if size > 0 {
			c.note(len(into) == 1)
		}
		if size > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.restsOn() {
			return size, err
		}
	}
}

// restsOn: the limit has grown since the connection began to rest.
func (c *callerConn) restsOn() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.restsFrom.IsZero() {
		return false
	}
	until := c.restsFrom.Add(c.times.IdleTime())
	return time.Now().Before(until) && c.Conn.SetReadDeadline(until) == nil
}

// note takes the time of a read; while a request is handled the server reads one byte
// ahead, which is the next one's.
func (c *callerConn) note(ahead bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.last = time.Now()
	switch {
	case ahead && !c.began.IsZero():
		c.early = c.last
	case c.first.IsZero():
		c.first = c.last
	}
}

// begin notes that a request's head is whole and its handling begins.
func (c *callerConn) begin() {
	c.lock.Lock()
	defer c.lock.Unlock()
	switch {
	case !c.early.IsZero():
		c.came = c.early
	case !c.first.IsZero():
		c.came = c.first
	default:
		c.came = c.last // it was read together with the request before it
	}
	c.began, c.early, c.first = time.Now(), time.Time{}, time.Time{}
}

// end notes that the answer is written.
func (c *callerConn) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.began, c.first = time.Time{}, time.Time{}
}

// ArrivedAt is when the present request's first byte came.
func (c *callerConn) ArrivedAt() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.came
}
