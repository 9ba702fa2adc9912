// Package wings carries frames between processes: control messages over TCP wires
// that are opened on demand and dropped when their pending queue is full, probes
// over UDP, and traffic frames over wires of their own so that a large answer never
// delays a vote. A frame is a four-byte length, then script's encoding. Nothing here
// promises delivery; the machines ask again.
package wings

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

	"beaconvane/internal/crew"
	"beaconvane/internal/notice"
	"beaconvane/internal/script"
)

// bufferSize of a wire, each way: some frames.
const bufferSize = 8 << 10

// Inbound takes what arrives. Back answers on the same wire, for traffic frames.
type Inbound func(from string, message any, back func(message any) error)

// Wings is the transport of one process.
type Wings struct {
	crew      *crew.Crew
	address   string
	frameCap  int64
	pending   int
	dialLimit time.Duration
	inbound   Inbound
	listener  net.Listener
	packets   net.PacketConn
	lock      sync.Mutex
	wires     map[string]*Wire
	inWires   map[net.Conn]bool
	broke     func(address string)
	tally     tally
}

// OnBroke is told of control wires that ended.
func (w *Wings) OnBroke(broke func(address string)) { w.broke = broke }

// New binds the address on TCP and UDP.
func New(members *crew.Crew, address string, frameCap int64, pending int, dialLimit time.Duration, inbound Inbound) (*Wings, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, notice.Wrap("wings.listen", notice.WireLost, err)
	}
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		listener.Close()
		return nil, notice.Wrap("wings.listen", notice.WireLost, err)
	}
	return &Wings{crew: members, address: listener.Addr().String(), frameCap: frameCap, pending: pending, dialLimit: dialLimit,
		inbound: inbound, listener: listener, packets: packets, wires: map[string]*Wire{}, inWires: map[net.Conn]bool{}}, nil
}

// Start begins to accept.
func (w *Wings) Start() {
	w.crew.Go("wings.accept", func(ctx context.Context) {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			w.lock.Lock()
			w.inWires[conn] = true
			w.lock.Unlock()
			w.crew.Go("wings.serve", func(context.Context) { w.serve(conn) })
		}
	})
	w.crew.Go("wings.packets", func(ctx context.Context) {
		buffer := make([]byte, 65536)
		for {
			size, from, err := w.packets.ReadFrom(buffer)
			if err != nil {
				return
			}
			if message, err := script.Decode(buffer[:size]); err == nil {
				w.tally.add(wayUDP, inward, buffer[0], size)
				w.inbound(from.String(), message, nil)
			}
		}
	})
}

// Close ends the listeners and every wire.
func (w *Wings) Close() {
	w.listener.Close()
	w.packets.Close()
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, wire := range w.wires {
		wire.Close()
	}
	for conn := range w.inWires {
		conn.Close()
	}
}

func (w *Wings) serve(conn net.Conn) {
	wire := newWire(w, conn, conn.RemoteAddr().String())
	defer func() {
		wire.Close()
		w.lock.Lock()
		delete(w.inWires, conn)
		w.lock.Unlock()
	}()
	w.crew.Go("wings.back", wire.write)
	from := wire.peer
	wire.read(func(message any) {
		if hello, isHello := message.(script.Hello); isHello {
			from = hello.Address
			return
		}
		w.inbound(from, message, wire.Post)
	})
}

// Datagram sends over UDP.
func (w *Wings) Datagram(to string, message any) error {
	frame, err := script.Encode(message)
	if err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return notice.Wrap("wings.datagram", notice.WireLost, err)
	}
	if _, err := w.packets.WriteTo(frame, target); err != nil {
		return notice.Wrap("wings.datagram", notice.WireLost, err)
	}
	w.tally.add(wayUDP, outward, frame[0], len(frame))
	return nil
}

// Send queues a control message on the wire to an address, opening it if need be.
func (w *Wings) Send(to string, message any) error {
	w.lock.Lock()
	wire := w.wires[to]
	if wire == nil || wire.Broken() {
		wire = w.open(to, func(any) {}, w.broke)
		w.wires[to] = wire
	}
	w.lock.Unlock()
	return wire.Post(message)
}

// Open makes a wire of its own for traffic; heard gets what comes back.
func (w *Wings) Open(to string, heard func(message any)) *Wire { return w.open(to, heard, nil) }

func (w *Wings) open(to string, heard func(message any), broke func(address string)) *Wire {
	wire := newWire(w, nil, to)
	_ = wire.Post(script.Hello{Address: w.address})
	w.crew.Go("wings.dial", func(ctx context.Context) {
		dialer := net.Dialer{Timeout: w.dialLimit, Control: w.impatient}
		conn, err := dialer.DialContext(ctx, "tcp", to)
		defer func() {
			if broke != nil && ctx.Err() == nil {
				broke(to)
			}
		}()
		if err != nil {
			wire.Close()
			return
		}
		if !wire.attach(conn) {
			conn.Close()
			return
		}
		w.crew.Go("wings.read", func(context.Context) {
			wire.read(heard)
			wire.Close()
		})
		wire.write(ctx)
	})
	return wire
}

// impatient bounds how long what was sent may stay unanswered by the other kernel: after
// a cut the kernel would go on with a wire that it tries seldom, long after a new one
// would do.
func (w *Wings) impatient(_, _ string, raw syscall.RawConn) error {
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

// Wire is one TCP stream of frames with a bounded pending queue.
type Wire struct {
	wings   *Wings
	peer    string
	lock    sync.Mutex
	conn    net.Conn
	pending chan []byte
	closed  chan struct{}
	once    sync.Once
}

func newWire(w *Wings, conn net.Conn, peer string) *Wire {
	return &Wire{wings: w, peer: peer, conn: conn, pending: make(chan []byte, w.pending), closed: make(chan struct{})}
}

func (wire *Wire) attach(conn net.Conn) bool {
	wire.lock.Lock()
	defer wire.lock.Unlock()
	if wire.Broken() {
		return false
	}
	wire.conn = conn
	return true
}

// Broken says that the wire carries nothing any more.
func (wire *Wire) Broken() bool {
	select {
	case <-wire.closed:
		return true
	default:
		return false
	}
}

// Attached says that the wire was ever made; before that nothing was sent on it.
func (wire *Wire) Attached() bool {
	wire.lock.Lock()
	defer wire.lock.Unlock()
	return wire.conn != nil
}

// Closed is closed when the wire breaks.
func (wire *Wire) Closed() <-chan struct{} { return wire.closed }

// Close breaks the wire.
func (wire *Wire) Close() {
	wire.once.Do(func() {
		close(wire.closed)
		wire.lock.Lock()
		defer wire.lock.Unlock()
		if wire.conn != nil {
			wire.conn.Close()
		}
	})
}

// Post queues a frame; a full queue refuses at once and the frame was not sent.
func (wire *Wire) Post(message any) error {
	frame, err := script.Encode(message)
	if err != nil {
		return err
	}
	if int64(len(frame)) > wire.wings.frameCap {
		return notice.Wrap("wings.post", notice.FrameBad, fmt.Errorf("frame of %d bytes", len(frame)))
	}
	if wire.Broken() {
		return notice.Wrap("wings.post", notice.WireLost, nil)
	}
	select {
	case wire.pending <- frame:
		return nil
	default:
		return notice.Wrap("wings.post", notice.WireFull, nil)
	}
}

func (wire *Wire) write(ctx context.Context) {
	defer wire.Close()
	writer := bufio.NewWriterSize(wire.conn, bufferSize)
	var head [4]byte
	for {
		select {
		case frame := <-wire.pending:
			binary.BigEndian.PutUint32(head[:], uint32(len(frame)))
			if _, err := writer.Write(head[:]); err != nil {
				return
			}
			if _, err := writer.Write(frame); err != nil {
				return
			}
			wire.wings.tally.add(wayTCP, outward, frame[0], len(head)+len(frame))
			if len(wire.pending) == 0 {
				if err := writer.Flush(); err != nil {
					return
				}
			}
		case <-wire.closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (wire *Wire) read(heard func(message any)) {
	reader := bufio.NewReaderSize(wire.conn, bufferSize)
	var head [4]byte
	for {
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return
		}
		size := int64(binary.BigEndian.Uint32(head[:]))
		if size == 0 || size > wire.wings.frameCap {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(reader, frame); err != nil {
			return
		}
		message, err := script.Decode(frame)
		if err != nil {
			return
		}
		wire.wings.tally.add(wayTCP, inward, frame[0], len(head)+len(frame))
		heard(message)
	}
}
