package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"beaconvane/internal/message"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// userTimeoutDials is how many dial timeouts sent bytes may stay without an acknowledgement.
const userTimeoutDials = 6

// open returns a connection that is being made; what is posted on it waits until it is. lost, which may
// be nil, is called with the address when it has ended or could not be made.
func (t *Transport) open(to string, priority sendPriority, deliver func(received any), onLost func(address string)) *Connection {
	connection := newConnection(t, nil, priority)
	_ = connection.Post(message.Hello{Address: t.address}) // its queue is empty
	t.goroutines.Go("transport.dial", func(ctx context.Context) {
		t.runConnection(ctx, to, connection, deliver)
		if onLost != nil && ctx.Err() == nil {
			onLost(to)
		}
	})
	return connection
}

// runConnection makes a connection and writes what is posted on it, until it ends.
func (t *Transport) runConnection(ctx context.Context, to string, connection *Connection, deliver func(received any)) {
	dialer := net.Dialer{Timeout: t.config.DialTimeout, Control: t.setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		connection.Close()
		return
	}
	if !connection.attach(conn) {
		conn.Close()
		return
	}
	t.goroutines.Go("transport.read", func(context.Context) {
		connection.read(deliver)
		connection.Close()
	})
	connection.write(ctx)
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged by the peer's kernel. After a
// partition the kernel would otherwise go on with a connection that it retries seldom, long after a
// new one could be made.
func (t *Transport) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	timeout := int(t.config.DialTimeout * userTimeoutDials / time.Millisecond)
	var optionErr error
	controlErr := raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, timeout)
	})
	return errors.Join(controlErr, optionErr)
}
