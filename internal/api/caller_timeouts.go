package api

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"beaconvane/internal/frontend"
	"beaconvane/internal/locking"
)

// The HTTP server is configured with placeholder timeouts longer than any configured limit. From the
// deadline that the server sets, callerConn recognises whether the server waits for a header or for the
// next request, and substitutes the limit currently in force.
const (
	serverHeadTimeout = 100 * time.Hour
	serverIdleTimeout = 200 * time.Hour
	timeoutTolerance  = 10 * time.Hour // a deadline matches a placeholder if at least the placeholder minus this remains
)

// maxCallerHeadBytes is the server's limit for a request's header. The limit of the configuration is
// checked afterwards, by the frontend.
const maxCallerHeadBytes = 1 << 20

// CallerTimeouts provides the timeouts currently in force for callers' connections. They change with
// the configuration while connections are open.
type CallerTimeouts interface {
	// IdleTime returns how long a connection may be idle before and between requests.
	IdleTime() time.Duration
	// HeadTime returns how long receiving a request's header may take.
	HeadTime() time.Duration
}

// UseCallerTimeouts applies the given timeouts to idle connections and to request headers. Reading a
// body and writing a response have no timeout here, since the deadline of each request bounds them.
// UseCallerTimeouts must be called before Serve.
func (s *Server) UseCallerTimeouts(timeouts CallerTimeouts) {
	s.server.ReadTimeout, s.server.ReadHeaderTimeout, s.server.IdleTimeout = 0, serverHeadTimeout, serverIdleTimeout
	s.server.MaxHeaderBytes = maxCallerHeadBytes
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, frontend.ArrivalKey{}, conn)
	}
	inner := s.server.Handler
	s.server.Handler = http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		callerConnection, isCallerConn := in.Context().Value(frontend.ArrivalKey{}).(*callerConn)
		if isCallerConn {
			callerConnection.beginRequest()
			defer callerConnection.endRequest()
		}
		inner.ServeHTTP(out, in)
	})
	s.wrapListener = func(listener net.Listener) net.Listener { return callerListener{listener, timeouts} }
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	timeouts CallerTimeouts
}

// Accept waits for the next connection and wraps it.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, timeouts: l.timeouts}, nil
}

// The frontend obtains the arrival time of a request by a type assertion to frontend.Arrival.
var _ frontend.Arrival = (*callerConn)(nil)

// callerConn is a caller's connection. It replaces the server's placeholder timeouts by the timeouts in
// force, extends the idle deadline when the idle timeout was raised meanwhile, and records when the
// first byte of the current request arrived.
type callerConn struct {
	net.Conn
	timeouts CallerTimeouts

	lock             locking.Mutex
	idleSince        time.Time // start of the wait for a request; zero while the server does not wait for one
	handlingSince    time.Time // when the handler of the current request started; zero while none runs
	nextArrivedAt    time.Time // arrival of the next request's first byte, if it arrived during the current request
	firstReadAt      time.Time // first read since the last response; zero if there was none
	lastReadAt       time.Time
	requestArrivedAt time.Time // arrival of the current request's first byte
}

// SetReadDeadline sets the read deadline. A deadline that stems from one of the server's placeholder
// timeouts is replaced by one computed from the timeout in force.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	return c.Conn.SetReadDeadline(c.effectiveDeadline(deadline))
}

// effectiveDeadline returns the deadline to set where the server asks for the given one.
func (c *callerConn) effectiveDeadline(deadline time.Time) time.Time {
	remaining := time.Until(deadline)
	c.lock.Lock()
	defer c.lock.Unlock()
	beforeFirstRequest := c.lastReadAt.IsZero()
	c.idleSince = time.Time{}
	switch {
	case deadline.IsZero() || remaining < serverHeadTimeout-timeoutTolerance:
		return deadline
	case remaining > serverIdleTimeout-timeoutTolerance || beforeFirstRequest:
		// The server sets the header timeout on a new connection, which may also be idle before its
		// first request.
		c.idleSince = time.Now()
		return c.idleSince.Add(c.timeouts.IdleTime())
	default:
		return time.Now().Add(c.timeouts.HeadTime())
	}
}

// Read reads from the connection and records when bytes arrived. If an idle connection reaches its
// deadline after the idle timeout was raised, Read continues to wait until the extended deadline.
func (c *callerConn) Read(buffer []byte) (int, error) {
	for {
		size, err := c.Conn.Read(buffer)
		if size > 0 {
			c.noteRead(len(buffer) == 1)
		}
		if size > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdle() {
			return size, err
		}
	}
}

// extendIdle sets a later read deadline if the idle timeout was raised since the connection became
// idle, and reports whether it did.
func (c *callerConn) extendIdle() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.idleSince.IsZero() {
		return false
	}
	deadline := c.idleSince.Add(c.timeouts.IdleTime())
	return time.Now().Before(deadline) && c.Conn.SetReadDeadline(deadline) == nil
}

// noteRead records the time of a read. While a request is handled, the server reads a single byte
// ahead, which belongs to the next request.
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

// beginRequest records that a request's header is complete and that its handler starts.
func (c *callerConn) beginRequest() {
	c.lock.Lock()
	defer c.lock.Unlock()
	switch {
	case !c.nextArrivedAt.IsZero():
		c.requestArrivedAt = c.nextArrivedAt
	case !c.firstReadAt.IsZero():
		c.requestArrivedAt = c.firstReadAt
	default:
		c.requestArrivedAt = c.lastReadAt // the request was read together with the previous one
	}
	c.handlingSince, c.nextArrivedAt, c.firstReadAt = time.Now(), time.Time{}, time.Time{}
}

// endRequest records that the handler of the current request has returned.
func (c *callerConn) endRequest() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.handlingSince, c.firstReadAt = time.Time{}, time.Time{}
}

// ArrivedAt returns when the first byte of the current request arrived.
func (c *callerConn) ArrivedAt() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.requestArrivedAt
}
