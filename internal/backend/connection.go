package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/safeguard"
)

// Dialer makes a connection to an address, until a deadline at the latest.
type Dialer func(address string, deadline time.Time) (net.Conn, error)

// upstreamConnection is a connection to an upstream, on which at most one request is out.
type upstreamConnection struct {
	conn      net.Conn
	responses *ResponseReader
	idleSince time.Duration
	keepAlive time.Duration // how long the upstream lets it idle; 0: not told
}

// close ends the connection. An error says no more than that it had ended already.
func (c *upstreamConnection) close() { _ = c.conn.Close() }

// peekable is a connection that knows by itself whether something has come on it.
type peekable interface {
	Quiet() bool
}

// isQuiet reports whether nothing waits to be read and the other side has not closed. What comes
// before a request is sent can't be its answer.
func (c *upstreamConnection) isQuiet() bool {
	if !safeguard.QuietConnection.On() {
		return true
	}
	if c.responses.reader.Buffered() > 0 {
		return false
	}
	if peek, knows := c.conn.(peekable); knows {
		return peek.Quiet()
	}
	raw, isRaw := c.conn.(syscall.Conn)
	return isRaw && isSocketQuiet(raw)
}

// isSocketQuiet looks at a socket without reading from it.
func isSocketQuiet(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		size, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = size < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// dialTCP is the Dialer of a real process.
func (c *UpstreamClient) dialTCP(address string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, Timeout: c.settings.DialTimeout()}
	return dialer.DialContext(c.goroutines.Context, "tcp", address)
}

// dial makes a connection to a target, whoever may stand at its address.
func (c *UpstreamClient) dial(target Target, deadline time.Time) (*upstreamConnection, error) {
	conn, err := c.dialer(target.Address, deadline)
	if err != nil {
		return nil, errcode.Wrap("backend.dial", errcode.BusyUpstreamGone, err)
	}
	return &upstreamConnection{conn: conn, responses: NewResponseReader(conn)}, nil
}

// dialProven makes a connection that is proven to reach the target: both before and after the dial
// the target has given a sign of life a moment ago.
func (c *UpstreamClient) dialProven(target Target, deadline time.Time) (*upstreamConnection, errcode.Code) {
	if !c.serving.Dialable(c.goroutines.Now(), target) {
		return nil, errcode.BusyUnproven
	}
	connection, err := c.dial(target, deadline)
	if err != nil {
		return nil, errcode.BusyUpstreamGone
	}
	if !c.serving.Dialable(c.goroutines.Now(), target) || !c.guards.stands(target) {
		// Ended, moved or no longer proven while the connection was being made: nothing is sent on it.
		connection.close()
		return nil, errcode.BusyUnproven
	}
	return connection, errcode.OK
}
