// The tests in this file compare the bytes on connections and in datagrams with golden bytes, using plain sockets.
package transport

import (
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
)

const (
	goldenFrameLimit  = 1 << 20 // bytes
	goldenQueueLength = 16      // frames
	goldenDialTimeout = 2 * time.Second
	goldenTimeout     = 5 * time.Second
	// goldenHelloKind is the kind byte of the first frame on a connection.
	goldenHelloKind = 41
)

// goldenCancel and goldenOutcomeRequest are messages with their encoded frames, without the length that
// precedes a frame on a connection.
var (
	goldenCancel              = message.Cancel{ID: "try-1"}
	goldenCancelFrame         = "280a7472792d31ac70cc4a"
	goldenOutcomeRequest      = message.OutcomeRequest{ID: "try-2", ServingProxyStartTime: 300}
	goldenOutcomeRequestFrame = "270a7472792d32d804ce4b62c1"
)

// goldenArrival is a message that a transport received.
type goldenArrival struct {
	from  string
	msg   any
	reply func(msg any) error
}

// startTransport starts a transport and returns it with a channel of the messages that it receives.
func startTransport(c *qt.C) (*Transport, <-chan goldenArrival) {
	group := goroutine.New()
	arrivals := make(chan goldenArrival, goldenQueueLength)
	inbound := func(from string, msg any, reply func(msg any) error) { arrivals <- goldenArrival{from, msg, reply} }
	config := Config{Address: "127.0.0.1:0", FrameLimit: goldenFrameLimit, QueueLength: goldenQueueLength, DialTimeout: goldenDialTimeout}
	network, err := New(group, config, inbound)
	c.Assert(err, qt.IsNil)
	network.Start()
	c.Cleanup(func() {
		network.Close()
		group.Stop(goldenTimeout)
	})
	return network, arrivals
}

// fromHex decodes golden bytes.
func fromHex(c *qt.C, text string) []byte {
	body, err := hex.DecodeString(text)
	c.Assert(err, qt.IsNil)
	return body
}

// withLengthPrefix returns a frame as sent on a connection, preceded by its length.
func withLengthPrefix(frame []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)
}

// helloFrame builds the first frame of a connection without package message: the kind byte, the length of the
// sender's address as a zigzag number, the address, and the CRC-32C checksum of these.
func helloFrame(address string) []byte {
	frame := append([]byte{goldenHelloKind, byte(2 * len(address))}, address...)
	return binary.BigEndian.AppendUint32(frame, crc32.Checksum(frame, crc32.MakeTable(crc32.Castagnoli)))
}

// assertReads reads len(want) bytes from a connection and compares them with want.
func assertReads(c *qt.C, conn net.Conn, want []byte) {
	c.Assert(conn.SetReadDeadline(time.Now().Add(goldenTimeout)), qt.IsNil)
	got := make([]byte, len(want))
	_, err := io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Assert(hex.EncodeToString(got), qt.Equals, hex.EncodeToString(want))
}

// awaitArrival returns the next received message, and fails the test if there is none within goldenTimeout.
func awaitArrival(c *qt.C, arrivals <-chan goldenArrival) goldenArrival {
	select {
	case arrival := <-arrivals:
		return arrival
	case <-time.After(goldenTimeout):
		c.Fatal("the transport received no message")
		return goldenArrival{}
	}
}

// The first frame on a connection has the sender's address. The length of each frame precedes it as four bytes
// in network byte order.
func TestSentFramesMatchGoldenBytes(t *testing.T) {
	c := qt.New(t)
	network, _ := startTransport(c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()

	c.Assert(network.Send(listener.Addr().String(), goldenCancel), qt.IsNil)
	c.Assert(network.Send(listener.Addr().String(), goldenOutcomeRequest), qt.IsNil)
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	assertReads(c, conn, withLengthPrefix(helloFrame(network.address)))
	assertReads(c, conn, fromHex(c, "0000000b"+goldenCancelFrame))
	assertReads(c, conn, fromHex(c, "0000000d"+goldenOutcomeRequestFrame))
}

// Bytes in the format of earlier builds are decoded, and the reply is sent on the same connection.
func TestGoldenFramesAreReceived(t *testing.T) {
	c := qt.New(t)
	network, arrivals := startTransport(c)
	conn, err := net.Dial("tcp", network.address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()

	const peerAddress = "127.0.0.1:4321"
	stream := append(withLengthPrefix(helloFrame(peerAddress)), fromHex(c, "0000000b"+goldenCancelFrame)...)
	_, err = conn.Write(stream)
	c.Assert(err, qt.IsNil)
	arrival := awaitArrival(c, arrivals)
	c.Assert(arrival.from, qt.Equals, peerAddress)
	c.Assert(arrival.msg, qt.DeepEquals, any(goldenCancel))
	c.Assert(arrival.reply(goldenOutcomeRequest), qt.IsNil)
	assertReads(c, conn, fromHex(c, "0000000d"+goldenOutcomeRequestFrame))
}

// A datagram is one frame without a length prefix.
func TestDatagramsMatchGoldenBytes(t *testing.T) {
	c := qt.New(t)
	network, arrivals := startTransport(c)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer socket.Close()

	c.Assert(network.Datagram(socket.LocalAddr().String(), goldenOutcomeRequest), qt.IsNil)
	c.Assert(socket.SetReadDeadline(time.Now().Add(goldenTimeout)), qt.IsNil)
	buffer := make([]byte, maxDatagramBytes)
	size, _, err := socket.ReadFrom(buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(hex.EncodeToString(buffer[:size]), qt.Equals, goldenOutcomeRequestFrame)

	target, err := net.ResolveUDPAddr("udp", network.address)
	c.Assert(err, qt.IsNil)
	_, err = socket.WriteTo(fromHex(c, goldenCancelFrame), target)
	c.Assert(err, qt.IsNil)
	arrival := awaitArrival(c, arrivals)
	c.Assert(arrival.from, qt.Equals, socket.LocalAddr().String())
	c.Assert(arrival.msg, qt.DeepEquals, any(goldenCancel))
	c.Assert(arrival.reply, qt.IsNil)
}
