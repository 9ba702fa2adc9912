// Package message defines every message that the processes of the mesh send to each other, one
// file a subject, and their binary form: a kind byte, an Avro record and a checksum.
//
// Times inside messages are durations in nanoseconds (ages, remaining times), never instants,
// since no two machines share a clock. Addresses are "ip:port". Some types are not sent but are
// written to disk in the same form; they stand in storage.go.
package message
