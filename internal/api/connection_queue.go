package api

import (
	"container/list"
	"net"
)

// connectionQueue is an ordered set of connections, the one that was added first in front.
type connectionQueue struct {
	order  *list.List // of net.Conn
	places map[net.Conn]*list.Element
}

func newConnectionQueue() connectionQueue {
	return connectionQueue{order: list.New(), places: map[net.Conn]*list.Element{}}
}

func (q connectionQueue) push(conn net.Conn) { q.places[conn] = q.order.PushBack(conn) }

// remove takes a connection out, wherever it stands; one that isn't there is no error.
func (q connectionQueue) remove(conn net.Conn) {
	if place, found := q.places[conn]; found {
		q.order.Remove(place)
		delete(q.places, conn)
	}
}

// first returns the connection in front.
func (q connectionQueue) first() (conn net.Conn, found bool) {
	front := q.order.Front()
	if front == nil {
		return nil, false
	}
	conn, found = front.Value.(net.Conn)
	return conn, found
}
