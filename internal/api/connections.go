package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connectionBound closes the connections that rested longest when more than a number are
// open, and a new one where none rests. What closes a connection that rests has read no
// request on it, so that a caller may send again whatever it had sent there.
type connectionBound struct {
	most    int
	lock    sync.Mutex
	open    map[net.Conn]bool
	resting *list.List // of net.Conn, the longest first
	places  map[net.Conn]*list.Element
}

func newConnectionBound(most int) *connectionBound {
	return &connectionBound{most: most, open: map[net.Conn]bool{}, resting: list.New(), places: map[net.Conn]*list.Element{}}
}

// changed is the server's ConnState hook.
func (b *connectionBound) changed(conn net.Conn, state http.ConnState) {
	if surplus := b.note(conn, state); surplus != nil {
		surplus.Close()
	}
}

// note takes a connection's new state, and gives one that is to be closed, or nil.
func (b *connectionBound) note(conn net.Conn, state http.ConnState) net.Conn {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.wake(conn)
	switch state {
	case http.StateIdle:
		b.places[conn] = b.resting.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		delete(b.open, conn)
	case http.StateNew:
		b.open[conn] = true
		return b.surplus(conn)
	}
	return nil
}

// wake takes a connection off the list of those that rest.
func (b *connectionBound) wake(conn net.Conn) {
	if place, rests := b.places[conn]; rests {
		b.resting.Remove(place)
		delete(b.places, conn)
	}
}

// surplus gives the connection that goes for a new one.
func (b *connectionBound) surplus(newest net.Conn) net.Conn {
	if len(b.open) <= b.most {
		return nil
	}
	longest := b.resting.Front()
	if longest == nil {
		delete(b.open, newest)
		return newest
	}
	conn := longest.Value.(net.Conn)
	b.wake(conn)
	delete(b.open, conn)
	return conn
}
