package message

// StoredConfiguration is one entry of the configuration log.
type StoredConfiguration struct {
	ConfigName string
	Version    int64 // the operators' number
	Epoch      int64
	Seq        int64
	Body       []byte
}

// VersionDigest is the SHA-256 of a committed content. An empty digest says that the versions up to this
// one are no longer remembered.
type VersionDigest struct {
	ConfigName string
	Version    int64
	Digest     []byte
}

// ContentCheck is what the registry found in a configuration before it asked for the write. The
// check of a large one takes too long for a thread that renews leases.
type ContentCheck struct {
	Done     bool
	TooLarge bool
	Faults   []string
}

// WriteRequest asks the log's lease holder to commit a version of a configuration.
type WriteRequest struct {
	RequestID  int64
	ConfigName string
	Version    int64
	Body       []byte
	Compressed bool // the body is compressed by package delta
	Check      ContentCheck
}

// ReadRequest asks the log's lease holder for a version, or for the list of versions.
type ReadRequest struct {
	RequestID  int64
	ConfigName string
	Version    int64 // 0: the current one
	List       bool
}

// StoreResponse answers a WriteRequest or a ReadRequest.
type StoreResponse struct {
	RequestID   int64
	Code        int64 // errcode.Code
	Detail      string
	Faults      []string // of a configuration that was refused
	ConfigName  string
	Version     int64
	Body        []byte
	Compressed  bool // the body is compressed by package delta
	Versions    []int64
	ConfigNames []string
	Holder      string // voter that holds the log's lease, as far as the sender knows
}

// ConfigurationCommitted tells the registries of a committed version.
type ConfigurationCommitted struct {
	ConfigName string
	Version    int64
	Body       []byte // compressed by package delta
}

// LogPositionRequest asks a voter for the end of its log. A new lease holder reads a majority.
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
	Hash          int64
}

// LogSnapshotRequest asks a voter for its whole log.
type LogSnapshotRequest struct {
	Epoch    int64
	Voter    string
	Identity string
}

// LogSnapshot is a voter's whole log. The body of each configuration is the difference from
// the version before it in the list, as package delta encodes it; the first of a name is
// compressed whole.
type LogSnapshot struct {
	Epoch          int64
	Voter          string
	PositionEpoch  int64
	PositionSeq    int64
	Configurations []StoredConfiguration
	History        []VersionDigest
}

// LogRecommit asks a voter to take over its log, as it stands, into the holder's epoch. A new lease holder
// sends it with the last position of the epochs before; later the holder sends it, with a position of its
// own epoch, to a voter that lags behind.
type LogRecommit struct {
	Epoch         int64
	Voter         string
	Identity      string
	PositionEpoch int64
	PositionSeq   int64
	Hash          int64
}

// LogAppend is one entry as a voter writes it to disk; it travels as a LogAppendDelta.
type LogAppend struct {
	Epoch         int64
	Seq           int64
	Voter         string
	Identity      string
	Configuration StoredConfiguration
}

// LogAppendDelta asks a voter to append one entry. The content is the difference from the newest version
// of the same configuration in the log before it.
type LogAppendDelta struct {
	Epoch       int64
	Seq         int64
	Voter       string
	Identity    string
	ConfigName  string
	Version     int64
	BaseVersion int64  // the version that the difference is from; 0: from nothing
	Difference  []byte // as package delta encodes it
	Digest      []byte // SHA-256 of the content
}

// LogAppended acknowledges that the log is on the voter's disk up to (Epoch, Seq).
type LogAppended struct {
	Epoch    int64
	Seq      int64
	Voter    string
	Identity string
}
