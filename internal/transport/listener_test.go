package transport

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
)

// testConfig returns the configuration of a transport on a free loopback port.
func testConfig(queueLength int) Config {
	return Config{Address: "127.0.0.1:0", FrameLimit: 1 << 20, QueueLength: queueLength, DialTimeout: time.Second}
}

// failingListener fails its first calls of Accept with the error for a process that is out of file descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// failingPacketConn fails its first calls of ReadFrom.
type failingPacketConn struct {
	net.PacketConn
	failures int
}

func (p *failingPacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	if p.failures > 0 {
		p.failures--
		return 0, nil, &net.OpError{Op: "read", Err: syscall.ENOBUFS}
	}
	return p.PacketConn.ReadFrom(buffer)
}

// A failed accept or receive, for example because the process is out of file descriptors, must not stop the
// transport from accepting connections and datagrams.
func TestOutOfDescriptorsIsNotTheEndOfAccepting(t *testing.T) {
	c := qt.New(t)
	group := goroutine.New()
	defer group.Stop(time.Second)
	received := make(chan any, 16)
	from, err := New(group, testConfig(16), func(string, any, func(any) error) {})
	c.Assert(err, qt.IsNil)
	to, err := New(group, testConfig(16), func(_ string, msg any, _ func(any) error) { received <- msg })
	c.Assert(err, qt.IsNil)
	to.listener, to.datagrams = &failingListener{to.listener, 3}, &failingPacketConn{to.datagrams, 3}
	from.Start()
	to.Start()
	defer from.Close()
	defer to.Close()

	c.Assert(from.Send(to.address, message.UpdatesRequest{Positions: []message.Position{}}), qt.IsNil)
	c.Assert(from.Datagram(to.address, message.Ping{Sequence: 1, Gossip: []message.Member{}}), qt.IsNil)
	for range 2 {
		select {
		case <-received:
		case <-time.After(2 * time.Second):
			c.Fatal("the transport stopped accepting after failed calls of Accept or ReadFrom")
		}
	}
}
