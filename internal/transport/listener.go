package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"beaconvane/internal/message"
)

// acceptRetryDelay is the delay after a failed accept or receive, for example when the process has run out of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// acceptConnections accepts connections of other processes until the listener is closed. It retries after other
// errors, since the process may temporarily run out of file descriptors.
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

// serveConnection reads an accepted connection until it is closed. The handler gets the address in the peer's Hello
// as the sender. Replies are sent on the same connection and are paced as traffic.
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
		t.handler(from, received, connection.PostReply)
	})
}

// waitBeforeRetry waits acceptRetryDelay after a failed call on a listening socket. It reports whether to retry, which is
// false if the socket is closed or the process is stopping.
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
