// Package message defines the messages that the processes of the mesh exchange, and their binary encoding.
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
// checksum over both. Decode rejects a frame whose checksum does not match. Records on disk have the same
// encoding; the types in storage.go are used only there.
//
// # Compatibility
//
// Processes of different builds communicate with each other, and a process reads records that an earlier
// build wrote to disk. The following must therefore not change:
//
//   - the kind byte, which is the index of the type in the list in kinds.go; new types are appended;
//   - the order and the types of a struct's fields, since an Avro record holds values without names;
//   - the texts that receivers compare: roles, states of a registration, reasons for a refusal.
//
// Names of Go types and fields are not part of a frame and may be changed, but counters of frames show
// the type names (KindName). The golden frames in testdata verify compatibility.
//
// # Conventions
//
// Times in messages are durations in nanoseconds (ages, remaining times), not instants, since the clocks of
// two machines differ. Start times are the exception: they only identify a run of a process. Addresses are
// "ip:port". An identity identifies the disk of a voter. A message that only a member of the quorum may
// send carries the sender's voter and, in the field Identity, its signature: the identity, which in a group
// with discovered voters is followed by a digest of the member list (Quorum.Signature). VoterStatus,
// VoterClaim and VoterGrant carry the identity alone.
//
// There is one file per subject: member.go (SWIM membership), quorum.go (membership of the voters),
// lease.go (leases with epochs), configuration.go (the replicated configuration log),
// roster.go (registrations of upstreams), updates.go (distribution tree), request.go (requests between
// proxies), usage.go (usage reports), storage.go (records that exist only on disk).
package message
