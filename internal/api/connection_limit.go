package api

import (
	"net"
	"net/http"

	"beaconvane/internal/locking"
)

// connectionLimit bounds the number of open connections. When a new connection exceeds the limit, the
// connection that has been idle longest is closed, or the new one if none is idle. The server has not
// read a request from an idle connection, so a caller may safely retry a request that it sent on one.
type connectionLimit struct {
	maxOpen int
	lock    locking.Mutex
	open    map[net.Conn]bool
	idle    connectionQueue
}

// newConnectionLimit returns a limit of maxOpen connections.
func newConnectionLimit(maxOpen int) *connectionLimit {
	return &connectionLimit{maxOpen: maxOpen, open: map[net.Conn]bool{}, idle: newConnectionQueue()}
}

// stateChanged is the ConnState hook of the HTTP server.
func (l *connectionLimit) stateChanged(conn net.Conn, state http.ConnState) {
	if evicted := l.update(conn, state); evicted != nil {
		evicted.Close()
	}
}

// update records a connection's new state and returns the connection that the caller must close, or nil.
func (l *connectionLimit) update(conn net.Conn, state http.ConnState) (evicted net.Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.idle.remove(conn)
	switch state {
	case http.StateIdle:
		l.idle.push(conn)
	case http.StateClosed, http.StateHijacked:
		delete(l.open, conn)
	case http.StateNew:
		l.open[conn] = true
		return l.evict(conn)
	}
	return nil
}

// evict removes the connection that must be closed in favour of newConn, and returns it. It returns nil
// if the limit is not exceeded. The caller must hold l.lock.
func (l *connectionLimit) evict(newConn net.Conn) net.Conn {
	if len(l.open) <= l.maxOpen {
		return nil
	}
	longestIdle, found := l.idle.first()
	if !found {
		delete(l.open, newConn)
		return newConn
	}
	l.idle.remove(longestIdle)
	delete(l.open, longestIdle)
	return longestIdle
}
