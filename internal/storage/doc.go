// Package storage persists the state of a control machine: a snapshot, and a write-ahead log of the records
// that were written after it.
//
// # Files
//
// A directory contains two slots, slot.0 and slot.1, and one log. A snapshot is written to the slot that
// doesn't contain the newest snapshot, with a generation one higher (slots.go). The log is then reset to
// that generation (wal.go). The state is the snapshot of the highest generation and the records of the log of
// the same generation.
//
// # Durability
//
// When a call returns without an error, the following is on disk:
//
//   - Store.Append: all of its records, synced together, after those of earlier calls.
//   - Store.Compact: the snapshot, in place of everything that was written before.
//   - Open: a log without a torn tail, so that the next append follows intact frames.
//
// The records of a call that fails may or may not be found by the next Open. After one failed write or
// sync the store stays failed, since a later successful sync doesn't imply that the data of the failed one
// is durable. Recover reopens the directory.
//
// # Torn and corrupt data
//
// A write that was in progress when the machine lost power may be on disk partially. It was never reported
// as durable, so Open discards it. Data that was written completely and fails its checksum was durable:
// Open returns an error with the code errcode.DiskCorrupt instead of discarding it.
//
// Records that are appended together form one frame. A frame begins and ends with the same header (length,
// checksum of the body, checksum of the header), and the second header is followed by a non-zero byte.
// Each append is synced before the next one, so only the last frame can be torn: its end is missing or,
// if the disk wrote later sectors before earlier ones, its bytes in some sector are all zero. A bad frame
// is corrupt if it is not torn or if an intact frame follows it.
//
// The log is reset by rewriting its file. A crash may leave the new header without the truncation of the
// old content, or only a prefix of the header. Checksums of frames therefore include the generation of the
// log: frames of the previous log are recognised and removed, and a log without a valid header is corrupt
// only if it contains a frame of the newest generation.
package storage
