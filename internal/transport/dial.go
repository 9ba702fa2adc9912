package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"beaconvane/internal/message"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which package syscall doesn't define.
const tcpUserTimeout = 18

// userTimeoutDials is TCP_USER_TIMEOUT in units of the dial timeout.
const userTimeoutDials = 6

// open returns a connection that is dialed in the background. Messages posted before it is established are queued.
// onLost, which may be nil, is called with the address when the connection is closed or the dial failed, unless the
// process is stopping.
func (t *Transport) open(to string, priority sendPriority, deliver func(received any), onLost func(address string)) *Connection {
	connection := newConnection(t, nil, priority)
	_ = connection.Post(message.Hello{Address: t.address}) // can't fail: the queue is empty
	t.goroutines.Go("transport.dial", func(ctx context.Context) {
		t.runConnection(ctx, to, connection, deliver)
		if onLost != nil && ctx.Err() == nil {
			onLost(to)
		}
	})
	return connection
}

// runConnection dials a connection, and then reads and writes it until it is closed.
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

// setUserTimeout limits how long sent bytes may remain unacknowledged by the peer's kernel. Without the limit, the
// kernel keeps a connection that a network partition interrupted, and retransmits on it at long intervals, long
// after a new connection could be established.
func (t *Transport) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	timeout := int(t.config.DialTimeout * userTimeoutDials / time.Millisecond)
	var optionErr error
	controlErr := raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, timeout)
	})
	return errors.Join(controlErr, optionErr)
}
