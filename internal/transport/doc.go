// Package transport carries messages between processes. Nothing here promises delivery: the machines
// repeat what was lost.
//
// # Ways
//
// Control messages go over one TCP connection to each address, which Send opens on demand. Traffic
// goes over connections of its own, from OpenTraffic, so that a large answer never delays a vote.
// Probes go over UDP. Each message is encoded by package message; on TCP a frame is the four bytes of
// its length, then the encoding.
//
// # Pacing and queues
//
// Each connection has a bounded queue, and a message for which it has no room is refused at once.
// LimitRate makes traffic wait for its turn on the machine's link, while control messages go at once
// (pacer).
//
// # Ownership
//
// A Transport owns its listeners, the connections that it accepted and its control connections; Close
// closes these. A connection for traffic belongs to who opened it. A Connection owns its net.Conn from
// attach on and closes it once, in Close, whoever calls that: its reader or its writer when they end,
// the Transport, or the opener.
package transport
