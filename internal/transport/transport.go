package transport

import (
	"net"
	"sync"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
)

// Config is what a Transport needs to know of its process.
type Config struct {
	Address     string        // "ip:port" that is bound on TCP and UDP
	FrameLimit  int64         // bytes of the largest frame, either way
	QueueLength int           // frames that wait on one connection
	DialTimeout time.Duration // for a TCP connection to be made
}

// Handler takes a message that has arrived from an address. reply answers on the same connection; it is
// nil for a datagram.
type Handler func(from string, received any, reply func(message any) error)

// Transport carries the messages of one process.
type Transport struct {
	config           Config
	goroutines       *goroutine.Group
	handler          Handler
	address          string // that was bound
	listener         net.Listener
	datagrams        net.PacketConn
	onConnectionLost func(address string)
	counters         frameCounters
	pacer            pacer

	lock     sync.Mutex             // guards what follows
	control  map[string]*Connection // that this process opened, by address
	accepted map[net.Conn]bool      // that other processes opened
}

// New binds the address on TCP and UDP. Start begins to serve it.
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

// OnConnectionLost sets what is called with the address when a control connection that this process
// opened has ended, or could not be made. It is called before Start, and not for connections that
// end with the process.
func (t *Transport) OnConnectionLost(notify func(address string)) { t.onConnectionLost = notify }

// LimitRate bounds what is sent to so many bytes a second by making traffic wait. It is called before
// Start.
func (t *Transport) LimitRate(bytesPerSecond int64) { t.pacer.rate = bytesPerSecond }

// Backlog returns how long a traffic frame that was posted now would wait for its turn on the link.
func (t *Transport) Backlog() time.Duration { return t.pacer.backlog() }

// Start begins to accept connections and datagrams.
func (t *Transport) Start() {
	t.goroutines.Go("transport.accept", t.acceptConnections)
	t.goroutines.Go("transport.datagrams", t.receiveDatagrams)
}

// Close closes the listeners, and all connections but those for traffic that this process opened,
// which their owners close.
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

// Send queues a control message on the connection to an address, and opens it where there is none.
func (t *Transport) Send(to string, message any) error {
	return t.controlConnection(to).Post(message)
}

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

// OpenTraffic opens a connection for traffic, which the caller closes. deliver gets what comes back
// on it.
func (t *Transport) OpenTraffic(to string, deliver func(received any)) *Connection {
	return t.open(to, priorityTraffic, deliver, nil)
}
