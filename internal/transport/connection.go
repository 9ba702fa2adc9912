package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/locking"
	"beaconvane/internal/message"
)

// sendPriority selects whether the frames of a connection are paced.
type sendPriority int

const (
	priorityControl sendPriority = iota // written immediately
	priorityTraffic                     // paced to the rate limit of the transport
)

// bufferBytes is the size of a connection's read buffer and of its write buffer. Each holds a few frames.
const bufferBytes = 8 << 10

// Connection is a TCP connection that carries frames, with a bounded queue of frames to send. A connection that
// is still being dialed has no net.Conn attached. A closed connection is not reopened.
type Connection struct {
	transport *Transport
	priority  sendPriority
	queue     chan queuedFrame
	closed    chan struct{}
	closeOnce sync.Once

	lock locking.Mutex
	conn net.Conn // nil until attach
}

// queuedFrame is a frame in the send queue.
type queuedFrame struct {
	frame   []byte
	due     time.Time     // earliest time of writing, set by the pacer; zero for immediately
	written chan struct{} // closed once the frame was written; nil if nobody waits
}

func newConnection(transport *Transport, conn net.Conn, priority sendPriority) *Connection {
	return &Connection{
		transport: transport,
		priority:  priority,
		queue:     make(chan queuedFrame, transport.config.QueueLength),
		closed:    make(chan struct{}),
		conn:      conn,
	}
}

// attach sets the net.Conn after dialing. It returns false, and leaves conn to the caller, if the connection was
// closed in the meantime.
func (c *Connection) attach(conn net.Conn) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.Broken() {
		return false
	}
	c.conn = conn
	return true
}

// Established reports whether the TCP connection was ever established. If not, nothing was sent.
func (c *Connection) Established() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.conn != nil
}

// Broken reports whether the connection is closed.
func (c *Connection) Broken() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Closed returns a channel that is closed when the connection is closed.
func (c *Connection) Closed() <-chan struct{} { return c.closed }

// Close closes the connection. Queued frames are not sent. Further calls have no effect.
func (c *Connection) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.lock.Lock()
		defer c.lock.Unlock()
		if c.conn != nil {
			c.conn.Close()
		}
	})
}

// Post queues a message. If it returns an error, no part of the message was sent. A nil error does not guarantee
// delivery.
func (c *Connection) Post(sent any) error { return c.post(sent, nil) }

// PostReply queues a message as Post does and, if its frame is large, waits until it was written or the connection is
// closed. The memory of the message is thus in use until PostReply returns.
func (c *Connection) PostReply(sent any) error {
	written := make(chan struct{})
	if err := c.post(sent, written); err != nil {
		return err
	}
	select {
	case <-written:
	case <-c.closed:
	}
	return nil
}

// post queues a message. written, which may be nil, is closed at once for a frame that is not large, and otherwise
// once the frame was written.
func (c *Connection) post(sent any, written chan struct{}) error {
	frame, err := message.Encode(sent)
	if err != nil {
		return err
	}
	if int64(len(frame)) > c.transport.config.FrameLimit {
		return errcode.Wrap("transport.post", errcode.FrameBad, &frameSizeError{int64(len(frame))})
	}
	if c.Broken() {
		return errcode.Wrap("transport.post", errcode.ConnectionLost, nil)
	}
	if written != nil && len(frame) < LargeFrameBytes {
		close(written)
		written = nil
	}
	queued := c.transport.pacer.reserve(len(frame)+frameHeaderBytes, func(due time.Time) bool {
		return c.enqueue(queuedFrame{frame, due, written})
	})
	if !queued {
		return errcode.Wrap("transport.post", errcode.ConnectionFull, nil)
	}
	return nil
}

// enqueue adds a frame to the queue. It reports false if the queue is full.
func (c *Connection) enqueue(next queuedFrame) bool {
	if c.priority == priorityControl {
		next.due = time.Time{}
	}
	select {
	case c.queue <- next:
		return true
	default:
		return false
	}
}

// write writes queued frames until the connection is closed, a write fails or ctx ends. Then it closes the
// connection.
func (c *Connection) write(ctx context.Context) {
	defer c.Close()
	writer := bufio.NewWriterSize(c.conn, bufferBytes)
	for {
		select {
		case next := <-c.queue:
			if !c.waitUntilDue(ctx, writer, next.due) || !c.send(writer, next.frame) {
				return
			}
			if next.written != nil {
				close(next.written)
			}
		case <-c.closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waitUntilDue flushes the earlier frames and waits until a frame is due. It reports whether the connection
// is still usable.
func (c *Connection) waitUntilDue(ctx context.Context, writer *bufio.Writer, due time.Time) bool {
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
	case <-c.closed:
		return false
	case <-ctx.Done():
		return false
	}
}

// send writes a frame, and flushes if the queue is empty. It reports whether the connection is still usable, which
// it is not after a failed write.
func (c *Connection) send(writer *bufio.Writer, frame []byte) bool {
	if err := writeFrame(writer, frame); err != nil {
		return false
	}
	c.transport.counters.add(protocolTCP, outbound, frame[0], frameHeaderBytes+len(frame))
	return len(c.queue) > 0 || writer.Flush() == nil
}

// read calls deliver for each received message until the connection is closed. It also returns on a frame that
// can't be decoded, since the stream may be out of step with the frame boundaries after it.
func (c *Connection) read(deliver func(received any)) {
	reader := bufio.NewReaderSize(c.conn, bufferBytes)
	for {
		size, err := readFrameSize(reader, c.transport.config.FrameLimit)
		if err != nil {
			return
		}
		accepted, failed, err := c.passGate(reader, size)
		if err != nil {
			return
		}
		if !accepted {
			continue
		}
		decoded, err := c.readMessage(reader, size)
		if err != nil {
			failed()
			return
		}
		deliver(decoded)
	}
}

// readMessage reads and decodes a frame whose header has been read.
func (c *Connection) readMessage(reader io.Reader, size int64) (any, error) {
	frame, err := readFrameContent(reader, size)
	if err != nil {
		return nil, err
	}
	decoded, err := message.Decode(frame)
	if err != nil {
		return nil, err
	}
	c.transport.counters.add(protocolTCP, inbound, frame[0], frameHeaderBytes+len(frame))
	return decoded, nil
}

// passGate passes a large frame whose header has been read to the gate, and discards it if it is not accepted.
func (c *Connection) passGate(reader *bufio.Reader, size int64) (accepted bool, failed func(), err error) {
	if c.transport.gate == nil || size < LargeFrameBytes {
		return true, func() {}, nil
	}
	head, err := reader.Peek(message.PeekBytes)
	if err != nil {
		return false, nil, err
	}
	accepted, failed = c.transport.gate(head, size, c.Post)
	if !accepted {
		_, err = io.CopyN(io.Discard, reader, size)
	}
	return accepted, failed, err
}
