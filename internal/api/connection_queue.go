package api

import (
	"container/list"
	"net"
)

// connectionQueue is a set of connections in the order in which they were added.
type connectionQueue struct {
	connections *list.List // of net.Conn
	elements    map[net.Conn]*list.Element
}

// newConnectionQueue returns an empty queue.
func newConnectionQueue() connectionQueue {
	return connectionQueue{connections: list.New(), elements: map[net.Conn]*list.Element{}}
}

// push appends a connection, which must not be in the queue.
func (q connectionQueue) push(conn net.Conn) { q.elements[conn] = q.connections.PushBack(conn) }

// remove removes a connection. It does nothing if the connection is not in the queue.
func (q connectionQueue) remove(conn net.Conn) {
	if element, found := q.elements[conn]; found {
		q.connections.Remove(element)
		delete(q.elements, conn)
	}
}

// first returns the connection that was added first, without removing it.
func (q connectionQueue) first() (conn net.Conn, found bool) {
	front := q.connections.Front()
	if front == nil {
		return nil, false
	}
	conn, found = front.Value.(net.Conn)
	return conn, found
}
