// Package transport sends messages between processes. Delivery is not guaranteed: the state machines repeat lost
// messages.
//
// # Protocols
//
// Control messages are sent on one TCP connection per address, which Send opens on demand. Traffic, which is the
// requests and responses between proxies, is sent on separate connections (OpenTraffic), so that a large response
// doesn't delay a vote. Probes are sent over UDP. Package message encodes each message. On TCP, the length of the
// encoding precedes it in four bytes.
//
// # Pacing and queues
//
// Each connection has a bounded queue. A message that doesn't fit is rejected immediately. LimitRate paces traffic
// to the rate of the machine's link, while control messages are sent immediately (pacer).
//
// # Ownership
//
// A Transport owns its listeners, accepted connections and control connections, and Close closes them. A traffic
// connection is owned by the caller of OpenTraffic. A Connection owns its net.Conn once it is attached and closes it
// once, in Close, which may be called by its reader, its writer, the Transport or the caller of OpenTraffic.
package transport
