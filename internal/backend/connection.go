package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/safeguard"
)

// Dialer connects to an address. It fails when the deadline passes.
type Dialer func(address string, deadline time.Time) (net.Conn, error)

// upstreamConnection is a connection to an upstream, with at most one outstanding request.
type upstreamConnection struct {
	conn      net.Conn
	responses *ResponseReader
	idleSince time.Duration
	keepAlive time.Duration // idle time that the upstream allows; 0 if not sent
}

// close closes the connection. The error is ignored, since it only means that the connection was
// already closed.
func (c *upstreamConnection) close() { _ = c.conn.Close() }

// quietReporter is a connection that is not a socket and reports itself whether it is quiet, such as a
// simulated one.
type quietReporter interface {
	Quiet() bool
}

// isQuiet reports whether there are no unread bytes and the peer has not closed the connection. Bytes
// that arrive before a request is sent can't be its response.
func (c *upstreamConnection) isQuiet() bool {
	if !safeguard.QuietConnection.On() {
		return true
	}
	if c.responses.reader.Buffered() > 0 {
		return false
	}
	if reporter, canReport := c.conn.(quietReporter); canReport {
		return reporter.Quiet()
	}
	raw, isRaw := c.conn.(syscall.Conn)
	return isRaw && isSocketQuiet(raw)
}

// isSocketQuiet peeks at a socket without consuming bytes. It reports false on any error.
func isSocketQuiet(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		size, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = size < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// dialTCP is the default Dialer.
func (c *UpstreamClient) dialTCP(address string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, Timeout: c.settings.DialTimeout()}
	return dialer.DialContext(c.goroutines.Context, "tcp", address)
}

// dial connects to the address of a target. It does not verify which process owns the address.
func (c *UpstreamClient) dial(target Target, deadline time.Time) (*upstreamConnection, error) {
	conn, err := c.dialer(target.Address, deadline)
	if err != nil {
		return nil, errcode.Wrap("backend.dial", errcode.BusyUpstreamGone, err)
	}
	return &upstreamConnection{conn: conn, responses: NewResponseReader(conn)}, nil
}

// dialProven opens a connection that is proven to reach the target: Dialable must hold both before and
// after the dial.
func (c *UpstreamClient) dialProven(target Target, deadline time.Time) (*upstreamConnection, errcode.Code) {
	if !c.serving.Dialable(c.goroutines.Now(), target) {
		return nil, errcode.BusyUnproven
	}
	connection, err := c.dial(target, deadline)
	if err != nil {
		return nil, errcode.BusyUpstreamGone
	}
	if !c.serving.Dialable(c.goroutines.Now(), target) || !c.guards.isIntact(target) {
		// The registration ended or changed, or the proof expired, during the dial.
		connection.close()
		return nil, errcode.BusyUnproven
	}
	return connection, errcode.OK
}
