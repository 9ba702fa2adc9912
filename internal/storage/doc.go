// Package storage keeps the state of a control machine on disk: a snapshot and, behind it, a write-ahead
// log of records.
//
// # Files
//
// A directory holds two slots, slot.0 and slot.1, and one log. A snapshot is written to the slot that is
// not the newest, with a generation one higher (slots.go); then the log is emptied and takes that
// generation (wal.go). The state is the snapshot of the highest generation and the records of the log of
// the same generation.
//
// # What is on disk when a call returns
//
//   - Store.Append: the records, all of them, behind those of earlier calls. They were synced together.
//   - Store.Compact: the snapshot, in place of all that was written before.
//   - Open: a log without a torn tail, so that what is appended next stands behind good frames.
//
// A call that fails promises nothing: its records may or may not be found by the next Open. After one
// failed write or sync the store stays failed, since a sync that failed once says nothing by succeeding
// later. Recover opens the directory anew.
//
// # Torn and corrupt data
//
// A write that was under way when the machine lost power may be on disk in part. It was never reported as
// durable, so Open drops it. Data that was complete and fails its checksum was durable: Open refuses with
// errcode.DiskCorrupt rather than guess.
//
// Records that are appended together are one frame. The same header stands at both ends of a frame
// (length, checksum of the body, checksum of the header), with a byte that is not zero behind the second
// one. Each append is synced before the next, so only the last frame can be torn: it lacks its end or,
// where the disk wrote later sectors before earlier ones, the part of it in some sector is all zero. A bad
// frame with a good one behind it, or one that is not torn, is corrupt.
//
// The log is emptied by writing its file anew. A crash may then keep the new header and lose the cut of
// the length, or keep a part of the header. So the checksums of frames include the generation of their
// log: frames of the log before are recognised and cut off, and a log without a header is corrupt only if
// a frame of the newest generation stands in it.
package storage
