package api

import (
	"net"
	"net/http"
	"sync"
)

// connectionLimit bounds how many connections are open at once. A new connection above the limit
// closes the one that has been idle longest, or is closed itself where none is idle. The server has
// read no request on an idle connection, so that a caller may safely repeat what it has sent on one.
type connectionLimit struct {
	most int
	lock sync.Mutex
	open map[net.Conn]bool
	idle connectionQueue
}

func newConnectionLimit(most int) *connectionLimit {
	return &connectionLimit{most: most, open: map[net.Conn]bool{}, idle: newConnectionQueue()}
}

// stateChanged is the server's ConnState hook.
func (l *connectionLimit) stateChanged(conn net.Conn, state http.ConnState) {
	if surplus := l.update(conn, state); surplus != nil {
		surplus.Close()
	}
}

// update takes over a connection's new state, and returns the connection that is to be closed, or
// nil.
func (l *connectionLimit) update(conn net.Conn, state http.ConnState) (surplus net.Conn) {
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
		return l.surplus(conn)
	}
	return nil
}

// surplus returns the connection that has to go for a new one.
func (l *connectionLimit) surplus(newest net.Conn) net.Conn {
	if len(l.open) <= l.most {
		return nil
	}
	longestIdle, found := l.idle.first()
	if !found {
		delete(l.open, newest)
		return newest
	}
	l.idle.remove(longestIdle)
	delete(l.open, longestIdle)
	return longestIdle
}
