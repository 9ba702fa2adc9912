// Package configstore is the control state machine of a configuration store: a log of configuration
// versions that is replicated to all voters of the group.
//
// The log has a lease (package lease), which one voter holds; the lease's epoch serves as the term. The
// holder orders all writes. It replicates one write at a time: it appends the write to its own log and to
// the logs of the other voters, and acknowledges it once a majority has synced it in this epoch.
//
// A new holder reads the log positions of a majority and selects the log with the highest position. If
// that log belongs to another voter, the holder fetches it. It then commits the log again in its own epoch
// before it serves any request (takeover.go).
//
// Safety rests on epochs and on synced writes: a voter that promised an epoch accepts no message of a
// lower epoch, and a voter acknowledges only entries that are on its disk. A response that commits
// nothing, such as a read, is sent only after a majority has renewed the lease in a round that began after
// the request was received (responses.go). docs/control-safety.md has the argument.
//
// Operators assign the version numbers. The log orders its commits by (epoch, sequence number).
//
// follower.go handles the requests that the holder of the lease sends to the other voters.
//
// The state consists of these types:
//
//   - replicatedLog: the entries, the log's position, and the position that is synced (log.go);
//   - committedVersions: the digests of committed versions, within a limit (committed_versions.go);
//   - leadership: the term, the phase of the takeover, and the acknowledgements (leadership.go);
//   - followerProgress: the last sequence number that each voter acknowledged (progress.go);
//   - proposal and pendingWrite: the write in flight and the queue behind it (proposal.go);
//   - pendingResponse: responses that wait for a renewal of the lease (responses.go);
//   - snapshotBackoff: the interval between requests for another voter's log (catchup.go);
//   - differenceEncoder: the compressed encoding of logs on the wire (differences.go).
package configstore
