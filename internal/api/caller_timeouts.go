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

// The HTTP server is given fixed timeouts that no limit reaches. callerConn recognises by them what
// the server waits for, and puts the limit that is in force at that moment in their place.
const (
	serverHeadTimeout = 100 * time.Hour
	serverIdleTimeout = 200 * time.Hour
	timeoutTolerance  = 10 * time.Hour // a deadline that is nearer than a timeout less this is another one
)

// maxCallerHeadBytes is how much the server reads of a request's header before the configuration's
// own limit is looked at.
const maxCallerHeadBytes = 1 << 20

// CallerTimeouts are the limits for callers' connections that are in force. They change with the
// configuration while connections are open.
type CallerTimeouts interface {
	// IdleTime is how long a connection may be idle before and between requests.
	IdleTime() time.Duration
	// HeadTime is how long a request's header may take.
	HeadTime() time.Duration
}

// UseCallerTimeouts makes the server follow the limits in force for idle connections and for
// headers. Bodies and answers have no limit here, since the deadline of each request bounds them. It
// is called before Serve.
func (s *Server) UseCallerTimeouts(timeouts CallerTimeouts) {
	s.server.ReadTimeout, s.server.ReadHeaderTimeout, s.server.IdleTimeout = 0, serverHeadTimeout, serverIdleTimeout
	s.server.MaxHeaderBytes = maxCallerHeadBytes
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, frontend.ArrivalKey{}, conn)
	}
	inner := s.server.Handler
	s.server.Handler = http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		conn, known := in.Context().Value(frontend.ArrivalKey{}).(*callerConn)
		if known {
			conn.beginRequest()
			defer conn.endRequest()
		}
		inner.ServeHTTP(out, in)
	})
	s.wrapListener = func(listener net.Listener) net.Listener { return callerListener{listener, timeouts} }
}

// callerListener accepts connections as callerConn.
type callerListener struct {
	net.Listener
	timeouts CallerTimeouts
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, timeouts: l.timeouts}, nil
}

// The frontend finds the time of arrival by a type assertion.
var _ frontend.Arrival = (*callerConn)(nil)

// callerConn is a caller's connection. It replaces the server's fixed timeouts by the limits in
// force, lets a connection stay idle for longer when the limit was raised meanwhile, and knows when
// the first byte of the present request arrived.
type callerConn struct {
	net.Conn
	timeouts CallerTimeouts

	lock            sync.Mutex
	idleSince       time.Time // zero: no request is awaited
	handlingSince   time.Time // of the present request; zero: none is handled
	nextArrivedAt   time.Time // the next request's first byte, which came while this one was handled
	firstReadAt     time.Time // since the last answer
	lastReadAt      time.Time
	requestReadFrom time.Time // when the present request's first byte arrived
}

// SetReadDeadline sets a deadline by the limit in force where the server asks for one of its fixed
// timeouts.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	return c.Conn.SetReadDeadline(c.deadlineInForce(deadline))
}

func (c *callerConn) deadlineInForce(deadline time.Time) time.Time {
	left := time.Until(deadline)
	c.lock.Lock()
	defer c.lock.Unlock()
	beforeFirstRequest := c.lastReadAt.IsZero()
	c.idleSince = time.Time{}
	switch {
	case deadline.IsZero() || left < serverHeadTimeout-timeoutTolerance:
		return deadline
	case left > serverIdleTimeout-timeoutTolerance || beforeFirstRequest:
		// A new connection may be idle before its first request, too.
		c.idleSince = time.Now()
		return c.idleSince.Add(c.timeouts.IdleTime())
	default:
		return time.Now().Add(c.timeouts.HeadTime())
	}
}

// Read reads from the connection and notes when bytes arrived. An idle connection whose limit was
// raised waits on.
func (c *callerConn) Read(into []byte) (int, error) {
	for {
		size, err := c.Conn.Read(into)
		if size > 0 {
			c.noteRead(len(into) == 1)
		}
		if size > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdle() {
			return size, err
		}
	}
}

// extendIdle reports whether the limit has grown since the connection became idle, and then sets
// the later deadline.
func (c *callerConn) extendIdle() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.idleSince.IsZero() {
		return false
	}
	deadline := c.idleSince.Add(c.timeouts.IdleTime())
	return time.Now().Before(deadline) && c.Conn.SetReadDeadline(deadline) == nil
}

// noteRead notes the time of a read. While a request is handled the server reads a single byte ahead,
// which belongs to the next one.
func (c *callerConn) noteRead(singleByte bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lastReadAt = time.Now()
	switch {
	case singleByte && !c.handlingSince.IsZero():
		c.nextArrivedAt = c.lastReadAt
	case c.firstReadAt.IsZero():
		c.firstReadAt = c.lastReadAt
	}
}

// beginRequest notes that a request's header is complete and its handling begins.
func (c *callerConn) beginRequest() {
	c.lock.Lock()
	defer c.lock.Unlock()
	switch {
	case !c.nextArrivedAt.IsZero():
		c.requestReadFrom = c.nextArrivedAt
	case !c.firstReadAt.IsZero():
		c.requestReadFrom = c.firstReadAt
	default:
		c.requestReadFrom = c.lastReadAt // it was read together with the request before it
	}
	c.handlingSince, c.nextArrivedAt, c.firstReadAt = time.Now(), time.Time{}, time.Time{}
}

// endRequest notes that the answer is written.
func (c *callerConn) endRequest() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.handlingSince, c.firstReadAt = time.Time{}, time.Time{}
}

// ArrivedAt returns when the first byte of the present request arrived.
func (c *callerConn) ArrivedAt() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.requestReadFrom
}
