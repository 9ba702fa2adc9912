// Package message defines the messages that the processes of the mesh exchange, and their binary form.
//
// # Frames
//
// Encode turns a message into a frame and Decode turns a frame back into the message, by value:
//
//	frame, err := message.Encode(message.Ping{Sequence: 1})
//	decoded, err := message.Decode(frame)
//	ping, isPing := decoded.(message.Ping)
//
// A frame is one byte for the kind of the message, an Avro record without its schema, and a CRC-32C
// checksum over both. Records with a wrong checksum are never read. The same form is used for what
// is written to disk: the types in storage.go are kept there only.
//
// # Compatibility
//
// Processes of different builds talk to each other, and a process reads the disk that an earlier
// build wrote. What they rely on must not change:
//
//   - the kind byte, which is the place of the type in the list in kinds.go; new types go to its end;
//   - the order and the types of a struct's fields, since an Avro record holds values without names;
//   - the texts that receivers compare: roles, states of a registration, reasons of a refusal.
//
// Names of Go types and fields are not part of a frame and may be changed. The golden frames in
// testdata fix all of this.
//
// # Conventions
//
// Times inside messages are durations in nanoseconds (ages, remaining times), never instants, since no
// two machines share a clock. Addresses are "ip:port". An "identity" names the disk of a voter, and a
// message that only a member of the quorum may send carries the sender's voter and identity.
//
// The messages stand in a file for each subject: member.go (membership by SWIM), quorum.go (who the
// voters are), lease.go (leases on epochs), configuration.go (the replicated configuration log),
// roster.go (registrations of upstreams), updates.go (distribution tree), request.go (requests between
// proxies), usage.go (usage reports).
package message
