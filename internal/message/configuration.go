package message

// StoredConfiguration is one entry of the configuration log.
type StoredConfiguration struct {
	ConfigName string
	Version    int64 // version number that the operator assigned
	Epoch      int64
	Seq        int64
	Body       []byte
}

// VersionDigest is the SHA-256 digest of a committed version's content. An empty digest means that the
// digests of all versions up to this one were dropped.
type VersionDigest struct {
	ConfigName string
	Version    int64
	Digest     []byte
}

// ContentCheck is the result of the registry's validation of a configuration, which precedes the write.
// Validating a large configuration takes too long for the goroutine that renews leases.
type ContentCheck struct {
	Done     bool // the registry validated the content; otherwise the configuration store does
	TooLarge bool
	Faults   []string
}

// Faulty reports whether the content must be refused.
func (c ContentCheck) Faulty() bool { return c.TooLarge || len(c.Faults) > 0 }

// WriteRequest asks the holder of the log's lease to commit a version of a configuration.
type WriteRequest struct {
	RequestID  int64
	ConfigName string
	Version    int64
	Body       []byte
	Compressed bool // the body is compressed by package delta
	Check      ContentCheck
}

// ReadRequest asks the holder of the log's lease for a version, or for the list of versions.
type ReadRequest struct {
	RequestID  int64
	ConfigName string
	Version    int64 // 0 for the current version
	List       bool  // list the versions instead
}

// StoreResponse answers a WriteRequest or a ReadRequest.
type StoreResponse struct {
	RequestID   int64
	Code        int64 // errcode.Code
	Detail      string
	Faults      []string // faults of a refused configuration
	ConfigName  string
	Version     int64
	Body        []byte
	Compressed  bool // the body is compressed by package delta
	Versions    []int64
	ConfigNames []string
	Holder      string // voter that holds the log's lease, in the sender's view
}

// ConfigurationCommitted notifies the registries of a committed version.
type ConfigurationCommitted struct {
	ConfigName string
	Version    int64
	Body       []byte // compressed by package delta
}

// LogPositionRequest asks a voter for the position of the end of its log. A new lease holder reads the
// positions of a majority.
type LogPositionRequest struct {
	Epoch    int64
	Voter    string
	Identity string
}

// LogPositionResponse answers a LogPositionRequest.
type LogPositionResponse struct {
	Epoch         int64
	Voter         string
	Identity      string
	PositionEpoch int64
	PositionSeq   int64
	Hash          int64 // digest of the log up to the position
}

// LogSnapshotRequest asks a voter for its complete log.
type LogSnapshotRequest struct {
	Epoch    int64
	Voter    string
	Identity string
}

// LogSnapshot is a voter's complete log. The body of each configuration is encoded by package delta: as the
// difference from the preceding version of the same name in the list, or compressed on its own for the first
// version of a name.
type LogSnapshot struct {
	Epoch          int64
	Voter          string
	PositionEpoch  int64
	PositionSeq    int64
	Configurations []StoredConfiguration
	History        []VersionDigest
}

// LogRecommit asks a voter to commit its unchanged log in the holder's epoch. A new lease holder sends it with
// the last position of the earlier epochs; later the holder sends it, with a position of its own epoch, to
// a voter that lags behind.
type LogRecommit struct {
	Epoch         int64
	Voter         string
	Identity      string
	PositionEpoch int64
	PositionSeq   int64
	Hash          int64
}

// LogAppend is one log entry in the form in which a voter writes it to disk. Between processes an entry is
// sent as a LogAppendDelta.
type LogAppend struct {
	Epoch         int64
	Seq           int64
	Voter         string
	Identity      string
	Configuration StoredConfiguration
}

// LogAppendDelta asks a voter to append one entry. The content is sent as the difference from the newest
// version of the same configuration that precedes the entry in the log.
type LogAppendDelta struct {
	Epoch       int64
	Seq         int64
	Voter       string
	Identity    string
	ConfigName  string
	Version     int64
	BaseVersion int64  // version to which the difference applies; 0 for empty content
	Difference  []byte // encoded by package delta
	Digest      []byte // SHA-256 digest of the content
}

// LogAppended acknowledges that the voter has written its log up to (Epoch, Seq) to disk.
type LogAppended struct {
	Epoch    int64
	Seq      int64
	Voter    string
	Identity string
}
