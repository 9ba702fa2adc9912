// Package transport carries frames between processes: control messages over TCP connections
// that are opened on demand and dropped when their pending queue is full, probes
// over UDP, and traffic frames over connections of their own so that a large answer never
// delays a vote. A frame is a four-byte length, then script's encoding. Nothing here
// promises delivery; the machines ask again.
package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
)

// bufferSize of a connection, each way: some frames.
const bufferSize = 8 << 10

// frameHead is the bytes of a frame's length, before the frame.
const frameHead = 4

// Handler takes what arrives. Back answers on the same connection, for traffic frames.
type Handler func(from string, msg any, back func(msg any) error)

// Transport is the transport of one process.
type Transport struct {
	goroutines    *goroutine.Group
	address       string
	frameCap      int64
	queue         int
	dialLimit     time.Duration
	inbound       Handler
	listener      net.Listener
	packets       net.PacketConn
	lock          sync.Mutex
	connections   map[string]*Connection
	inConnections map[net.Conn]bool
	broke         func(address string)
	tally         tally
	pacer         pacer
}

// OnConnectionLost is told of control connections that ended.
func (w *Transport) OnConnectionLost(broke func(address string)) { w.broke = broke }

// New binds the address on TCP and UDP.
func New(members *goroutine.Group, address string, frameCap int64, queue int, dialLimit time.Duration, inbound Handler) (*Transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errcode.Wrap("transport.listen", errcode.ConnectionLost, err)
	}
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		listener.Close()
		return nil, errcode.Wrap("transport.listen", errcode.ConnectionLost, err)
	}
	return &Transport{goroutines: members, address: listener.Addr().String(), frameCap: frameCap, queue: queue, dialLimit: dialLimit,
		inbound: inbound, listener: listener, packets: packets, connections: map[string]*Connection{}, inConnections: map[net.Conn]bool{}}, nil
}

// Start begins to accept.
func (w *Transport) Start() {
	w.goroutines.Go("transport.accept", w.accept)
	w.goroutines.Go("transport.packets", w.receivePackets)
}

// acceptPause is the rest after a failed accept or receive, as when the process is out of
// descriptors.
const acceptPause = 20 * time.Millisecond

// goesOn says, after a failed call on a listening socket, whether to try again: until the
// socket is closed.
func goesOn(ctx context.Context, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// accept serves connections of others. Being out of descriptors for a moment must not
// make this process deaf for good.
func (w *Transport) accept(ctx context.Context) {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			if !goesOn(ctx, err) {
				return
			}
			continue
		}
		w.lock.Lock()
		w.inConnections[conn] = true
		w.lock.Unlock()
		w.goroutines.Go("transport.serve", func(context.Context) { w.serve(conn) })
	}
}

// receivePackets takes datagrams.
func (w *Transport) receivePackets(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := w.packets.ReadFrom(buffer)
		if err != nil {
			if !goesOn(ctx, err) {
				return
			}
			continue
		}
		if msg, err := message.Decode(buffer[:size]); err == nil {
			w.tally.add(wayUDP, inward, buffer[0], size)
			w.inbound(from.String(), msg, nil)
		}
	}
}

// maxDatagram is the largest datagram in bytes.
const maxDatagram = 65536

// Close ends the listeners and every connection.
func (w *Transport) Close() {
	w.listener.Close()
	w.packets.Close()
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, connection := range w.connections {
		connection.Close()
	}
	for conn := range w.inConnections {
		conn.Close()
	}
}

func (w *Transport) serve(conn net.Conn) {
	connection := newConnection(w, conn, conn.RemoteAddr().String(), true)
	defer func() {
		connection.Close()
		w.lock.Lock()
		delete(w.inConnections, conn)
		w.lock.Unlock()
	}()
	w.goroutines.Go("transport.back", connection.write)
	from := connection.peer
	connection.read(func(msg any) {
		if hello, isHello := msg.(message.Hello); isHello {
			from = hello.Address
			return
		}
		w.inbound(from, msg, connection.Post)
	})
}

// Datagram sends over UDP.
func (w *Transport) Datagram(to string, msg any) error {
	frame, err := message.Encode(msg)
	if err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return errcode.Wrap("transport.datagram", errcode.ConnectionLost, err)
	}
	if _, err := w.packets.WriteTo(frame, target); err != nil {
		return errcode.Wrap("transport.datagram", errcode.ConnectionLost, err)
	}
	w.pacer.charge(len(frame))
	w.tally.add(wayUDP, outward, frame[0], len(frame))
	return nil
}

// Send queues a control message on the connection to an address, opening it if need be.
func (w *Transport) Send(to string, msg any) error {
	w.lock.Lock()
	connection := w.connections[to]
	if connection == nil || connection.Broken() {
		connection = w.open(to, false, func(any) {}, w.broke)
		w.connections[to] = connection
	}
	w.lock.Unlock()
	return connection.Post(msg)
}

// OpenTraffic makes a connection of its own for traffic; heard gets what comes back.
func (w *Transport) OpenTraffic(to string, received func(msg any)) *Connection {
	return w.open(to, true, received, nil)
}

func (w *Transport) open(to string, traffic bool, received func(msg any), broke func(address string)) *Connection {
	connection := newConnection(w, nil, to, traffic)
	_ = connection.Post(message.Hello{Address: w.address})
	w.goroutines.Go("transport.dial", func(ctx context.Context) {
		dialer := net.Dialer{Timeout: w.dialLimit, Control: w.impatient}
		conn, err := dialer.DialContext(ctx, "tcp", to)
		defer func() {
			if broke != nil && ctx.Err() == nil {
				broke(to)
			}
		}()
		if err != nil {
			connection.Close()
			return
		}
		if !connection.attach(conn) {
			conn.Close()
			return
		}
		w.goroutines.Go("transport.read", func(context.Context) {
			connection.read(received)
			connection.Close()
		})
		connection.write(ctx)
	})
	return connection
}

// impatient bounds how long what was sent may stay unanswered by the other kernel: after
// a cut the kernel would go on with a connection that it tries seldom, long after a new one
// would do.
func (w *Transport) impatient(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(w.dialLimit*unheardDials/time.Millisecond))
	})
	return errors.Join(err, failure)
}

// tcpUserTimeout is the option's number in the kernel; unheardDials its value, in times
// that a dial may take.
const (
	tcpUserTimeout = 18
	unheardDials   = 6
)

// Connection is one TCP stream of frames with a bounded pending queue.
type Connection struct {
	transport *Transport
	peer      string
	lock      sync.Mutex
	conn      net.Conn
	queue     chan queued
	traffic   bool // waits for its turn on the link, behind control messages
	closed    chan struct{}
	once      sync.Once
}

// queued is a frame before it is written, and when its turn on the link comes.
type queued struct {
	frame []byte
	due   time.Time
}

func newConnection(w *Transport, conn net.Conn, peer string, traffic bool) *Connection {
	return &Connection{transport: w, peer: peer, conn: conn, traffic: traffic, queue: make(chan queued, w.queue), closed: make(chan struct{})}
}

func (connection *Connection) attach(conn net.Conn) bool {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	if connection.Broken() {
		return false
	}
	connection.conn = conn
	return true
}

// Broken says that the connection carries nothing any more.
func (connection *Connection) Broken() bool {
	select {
	case <-connection.closed:
		return true
	default:
		return false
	}
}

// Attached says that the connection was ever made; before that nothing was sent on it.
func (connection *Connection) Attached() bool {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.conn != nil
}

// Closed is closed when the connection breaks.
func (connection *Connection) Closed() <-chan struct{} { return connection.closed }

// Close breaks the connection.
func (connection *Connection) Close() {
	connection.once.Do(func() {
		close(connection.closed)
		connection.lock.Lock()
		defer connection.lock.Unlock()
		if connection.conn != nil {
			connection.conn.Close()
		}
	})
}

// Post queues a frame; a full queue refuses at once and the frame was not sent.
func (connection *Connection) Post(msg any) error {
	frame, err := message.Encode(msg)
	if err != nil {
		return err
	}
	if int64(len(frame)) > connection.transport.frameCap {
		return errcode.Wrap("transport.post", errcode.FrameBad, fmt.Errorf("frame of %d bytes", len(frame)))
	}
	if connection.Broken() {
		return errcode.Wrap("transport.post", errcode.ConnectionLost, nil)
	}
	accepted := connection.transport.pacer.reserve(len(frame)+frameHead, func(due time.Time) bool {
		if !connection.traffic {
			due = time.Time{}
		}
		select {
		case connection.queue <- queued{frame, due}:
			return true
		default:
			return false
		}
	})
	if !accepted {
		return errcode.Wrap("transport.post", errcode.ConnectionFull, nil)
	}
	return nil
}

func (connection *Connection) write(ctx context.Context) {
	defer connection.Close()
	writer := bufio.NewWriterSize(connection.conn, bufferSize)
	for {
		select {
		case next := <-connection.queue:
			if !connection.waitTurn(ctx, writer, next.due) || !connection.writeFrame(writer, next.frame) {
				return
			}
		case <-connection.closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waitTurn waits until a frame's turn on the link, having flushed what went before.
func (connection *Connection) waitTurn(ctx context.Context, writer *bufio.Writer, due time.Time) bool {
	wait := time.Until(due)
	if due.IsZero() || wait <= 0 {
		return true
	}
	if err := writer.Flush(); err != nil {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-connection.closed:
		return false
	case <-ctx.Done():
		return false
	}
}

// writeFrame writes a frame behind its length, and flushes when none waits behind it.
func (connection *Connection) writeFrame(writer *bufio.Writer, frame []byte) bool {
	var head [frameHead]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(frame)))
	if _, err := writer.Write(head[:]); err != nil {
		return false
	}
	if _, err := writer.Write(frame); err != nil {
		return false
	}
	connection.transport.tally.add(wayTCP, outward, frame[0], len(head)+len(frame))
	return len(connection.queue) > 0 || writer.Flush() == nil
}

func (connection *Connection) read(received func(msg any)) {
	reader := bufio.NewReaderSize(connection.conn, bufferSize)
	var head [frameHead]byte
	for {
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return
		}
		size := int64(binary.BigEndian.Uint32(head[:]))
		if size == 0 || size > connection.transport.frameCap {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(reader, frame); err != nil {
			return
		}
		msg, err := message.Decode(frame)
		if err != nil {
			return
		}
		connection.transport.tally.add(wayTCP, inward, frame[0], len(head)+len(frame))
		received(msg)
	}
}
