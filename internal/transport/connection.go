package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// sendPriority says whether the frames of a connection wait for their turn on the machine's link.
type sendPriority int

const (
	priorityControl sendPriority = iota // sent at once
	priorityTraffic                     // paced
)

// bufferBytes is the size of a connection's buffers, each way: some frames.
const bufferBytes = 8 << 10

// Connection is one TCP stream of frames with a bounded queue of those to be sent. It begins
// unattached where it is still being dialled, and is closed once, for good.
type Connection struct {
	transport *Transport
	priority  sendPriority
	queue     chan queuedFrame
	closed    chan struct{}
	closeOnce sync.Once

	lock sync.Mutex
	conn net.Conn // nil until it is attached
}

// queuedFrame is a frame that is to be written.
type queuedFrame struct {
	frame []byte
	due   time.Time // its turn on the link; zero: at once
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

// attach hands over a net.Conn that was dialled, and reports whether it was taken: not by a connection
// that was closed meanwhile.
func (c *Connection) attach(conn net.Conn) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.Broken() {
		return false
	}
	c.conn = conn
	return true
}

// Established reports whether the TCP connection was ever made. Before that nothing was sent.
func (c *Connection) Established() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.conn != nil
}

// Broken reports whether the connection has ended.
func (c *Connection) Broken() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Closed returns a channel that is closed when the connection ends.
func (c *Connection) Closed() <-chan struct{} { return c.closed }

// Close ends the connection. Frames that are still queued are not sent.
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

// Post queues a message. After an error nothing of it was sent; that nothing is returned does not mean
// that it arrives.
func (c *Connection) Post(sent any) error {
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
	queued := c.transport.pacer.reserve(len(frame)+frameHeaderBytes, func(due time.Time) bool {
		return c.enqueue(frame, due)
	})
	if !queued {
		return errcode.Wrap("transport.post", errcode.ConnectionFull, nil)
	}
	return nil
}

// enqueue queues a frame if there is room.
func (c *Connection) enqueue(frame []byte, due time.Time) bool {
	if c.priority == priorityControl {
		due = time.Time{}
	}
	select {
	case c.queue <- queuedFrame{frame, due}:
		return true
	default:
		return false
	}
}

// write writes the queued frames until the connection ends, and closes it.
func (c *Connection) write(ctx context.Context) {
	defer c.Close()
	writer := bufio.NewWriterSize(c.conn, bufferBytes)
	for {
		select {
		case next := <-c.queue:
			if !c.waitUntilDue(ctx, writer, next.due) || !c.send(writer, next.frame) {
				return
			}
		case <-c.closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waitUntilDue waits until a frame's turn on the link, after what was written before has been flushed. It
// reports whether the connection goes on.
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

// send writes a frame, and flushes where none waits behind it. It reports whether the connection goes
// on: a failed write ends it.
func (c *Connection) send(writer *bufio.Writer, frame []byte) bool {
	if err := writeFrame(writer, frame); err != nil {
		return false
	}
	c.transport.counters.add(protocolTCP, outbound, frame[0], frameHeaderBytes+len(frame))
	return len(c.queue) > 0 || writer.Flush() == nil
}

// read hands over the messages that arrive until the connection ends. What can't be read ends it, too:
// after a bad frame the borders of the next one are not known.
func (c *Connection) read(deliver func(received any)) {
	reader := bufio.NewReaderSize(c.conn, bufferBytes)
	for {
		frame, err := readFrame(reader, c.transport.config.FrameLimit)
		if err != nil {
			return
		}
		decoded, err := message.Decode(frame)
		if err != nil {
			return
		}
		c.transport.counters.add(protocolTCP, inbound, frame[0], frameHeaderBytes+len(frame))
		deliver(decoded)
	}
}
