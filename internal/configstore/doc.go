// Package configstore is the control state machine of a configuration store: a log of configuration
// versions that is replicated to all voters of the group.
//
// One voter holds the lease of the log (package lease); the lease's epoch is the term. The holder orders
// all writes. It has one write in flight at a time, appends it to its own log and to those of the other
// voters, and acknowledges it once a majority has it on disk in this epoch.
//
// A new holder reads the log positions of a majority, takes the highest one, fetching that log if it is
// another voter's, and commits it again in its own epoch. Only then does it serve (takeover.go).
//
// Safety rests on epochs and on synced writes: a voter that promised a higher epoch accepts nothing of a
// lower one, and a voter confirms only what is on its disk. A response that commits nothing, such as a
// read, is sent only after a majority has renewed the lease in a round that began after the request came
// (responses.go). docs/control-safety.md has the argument.
//
// Version numbers are the operators'. The order of commitment is the log's own: (epoch, sequence).
//
// What a voter does for the holder of the lease is in follower.go.
//
// The parts of the state are types of their own:
//
//   - replicatedLog: the entries, their position, and how far the disk has them (log.go);
//   - committedVersions: the digest of each version that was ever committed (committed_versions.go);
//   - leadership: the term, the phase of a takeover, and who acknowledged what (leadership.go);
//   - followerProgress: how far each voter has confirmed the log (progress.go);
//   - proposal and pendingWrite: the write in flight and those behind it (proposal.go);
//   - pendingResponse: responses that wait for a renewal of the lease (responses.go);
//   - snapshotBackoff: pauses between requests for another voter's log (catchup.go);
//   - differenceEncoder: the compressed form in which logs travel (differences.go).
package configstore
