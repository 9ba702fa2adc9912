package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"beaconvane/internal/message"
)

// acceptRetryDelay is the pause after a failed accept or receive, as when the process is out of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// acceptConnections serves connections of other processes until the listener is closed. Being out of
// file descriptors for a moment must not end it.
func (t *Transport) acceptConnections(ctx context.Context) {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if !waitBeforeRetry(ctx, err) {
				return
			}
			continue
		}
		t.lock.Lock()
		t.accepted[conn] = true
		t.lock.Unlock()
		t.goroutines.Go("transport.serve", func(context.Context) { t.serveConnection(conn) })
	}
}

// serveConnection reads an accepted connection until it ends. Its messages come from the address that the peer
// names in its Hello; replies go back on the same connection, with the priority of traffic.
func (t *Transport) serveConnection(conn net.Conn) {
	connection := newConnection(t, conn, priorityTraffic)
	defer func() {
		connection.Close()
		t.lock.Lock()
		delete(t.accepted, conn)
		t.lock.Unlock()
	}()
	t.goroutines.Go("transport.reply", connection.write)
	from := conn.RemoteAddr().String()
	connection.read(func(received any) {
		if hello, isHello := received.(message.Hello); isHello {
			from = hello.Address
			return
		}
		t.handler(from, received, connection.Post)
	})
}

// waitBeforeRetry waits after a failed call on a listening socket, and reports whether to try again: until
// the socket is closed or the process stops.
func waitBeforeRetry(ctx context.Context, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	timer := time.NewTimer(acceptRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
