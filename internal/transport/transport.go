package transport

import (
	"net"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/locking"
)

// Config is the configuration of a Transport.
type Config struct {
	Address     string        // "ip:port" to bind on TCP and UDP
	FrameLimit  int64         // maximum size of a sent or received frame in bytes
	QueueLength int           // capacity of the send queue of a connection in frames
	DialTimeout time.Duration // limit for establishing a TCP connection
}

// Handler handles a received message. from is the address of the sender. reply sends on the same connection; it is
// nil for a datagram. Handlers are called concurrently.
type Handler func(from string, received any, reply func(message any) error)

// LargeFrameBytes is the size from which on a received frame is subject to the gate for large frames.
const LargeFrameBytes = 64 << 10

// LargeFrameGate decides whether a large frame may be read into memory. It gets the first bytes of the frame, at most
// message.PeekBytes, and its size. A frame that is not accepted is read and discarded. For an accepted frame, failed
// is called if it can't be read or decoded. The gate may block, which holds up the connection.
type LargeFrameGate func(head []byte, size int64, reply func(message any) error) (accepted bool, failed func())

// Transport sends and receives the messages of one process. Its methods are safe for concurrent use after Start.
type Transport struct {
	config           Config
	goroutines       *goroutine.Group
	handler          Handler
	address          string // bound address
	listener         net.Listener
	datagrams        net.PacketConn
	onConnectionLost func(address string)
	gate             LargeFrameGate // nil: every frame is accepted
	counters         frameCounters
	pacer            pacer

	lock     locking.Mutex          // guards the fields below
	control  map[string]*Connection // connections that Send opened, by address
	accepted map[net.Conn]bool      // connections that other processes opened
}

// New binds the address on TCP and UDP. Nothing is received before Start.
func New(goroutines *goroutine.Group, config Config, handler Handler) (*Transport, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errcode.Wrap("transport.listen", errcode.ConnectionLost, err)
	}
	address := listener.Addr().String()
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		listener.Close()
		return nil, errcode.Wrap("transport.listen", errcode.ConnectionLost, err)
	}
	return &Transport{
		config:     config,
		goroutines: goroutines,
		handler:    handler,
		address:    address,
		listener:   listener,
		datagrams:  datagrams,
		control:    map[string]*Connection{},
		accepted:   map[net.Conn]bool{},
	}, nil
}

// OnConnectionLost sets a function that is called with the address when a control connection that Send opened is
// closed or can't be established, unless the process is stopping. It must be set before Start.
func (t *Transport) OnConnectionLost(notify func(address string)) { t.onConnectionLost = notify }

// GateLargeFrames sets the gate for large frames. It must be called before Start.
func (t *Transport) GateLargeFrames(gate LargeFrameGate) { t.gate = gate }

// LimitRate paces traffic so that all sent messages together stay within a rate. It must be called before Start.
func (t *Transport) LimitRate(bytesPerSecond int64) { t.pacer.rate = bytesPerSecond }

// Backlog returns how long a traffic frame that is posted now would wait until it is due.
func (t *Transport) Backlog() time.Duration { return t.pacer.backlog() }

// Start starts to accept connections and datagrams.
func (t *Transport) Start() {
	t.goroutines.Go("transport.accept", t.acceptConnections)
	t.goroutines.Go("transport.datagrams", t.receiveDatagrams)
}

// Close closes the listeners, the accepted connections and the control connections. Traffic connections are closed
// by their owners.
func (t *Transport) Close() {
	t.listener.Close()
	t.datagrams.Close()
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, connection := range t.control {
		connection.Close()
	}
	for conn := range t.accepted {
		conn.Close()
	}
}

// Send queues a control message on the connection to an address. It opens the connection if there is none.
func (t *Transport) Send(to string, message any) error {
	return t.controlConnection(to).Post(message)
}

// controlConnection returns the control connection to an address, and opens one if there is none or it is closed.
func (t *Transport) controlConnection(to string) *Connection {
	t.lock.Lock()
	defer t.lock.Unlock()
	connection := t.control[to]
	if connection == nil || connection.Broken() {
		discard := func(any) {}
		connection = t.open(to, priorityControl, discard, t.onConnectionLost)
		t.control[to] = connection
	}
	return connection
}

// OpenTraffic opens a traffic connection, which the caller must close. deliver is called with each message that is
// received on it.
func (t *Transport) OpenTraffic(to string, deliver func(received any)) *Connection {
	return t.open(to, priorityTraffic, deliver, nil)
}
