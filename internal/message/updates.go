package message

// UpdatesRequest asks a parent of the distribution tree for what has changed.
type UpdatesRequest struct {
	Round          int64  // counts the requests of one child
	Child          string // member name
	Role           string
	LastResort     bool       // no other parent is left; a registry asked so may not refuse
	Positions      []Position // what the child has
	SnapshotOffset int64      // offset wanted of the snapshot of topic PartOf
	SnapshotTopic  string
}

// ConfigurationPatch turns one version of a configuration into a later one.
type ConfigurationPatch struct {
	From       Position
	To         Position
	Difference []byte // as package delta encodes it
}

// UpdateItem is what a parent has of one topic.
type UpdateItem struct {
	Position      Position
	Age           int64  // nanoseconds since the parent's content was known current; negative: not known
	HasContent    bool   // the parent has content of the topic
	Snapshot      bool   // Body is a snapshot, or a part of one
	Body          []byte // of a snapshot; a configuration's is compressed by package delta
	SnapshotBytes int64  // whole length in bytes of a snapshot that is sent in parts
	Offset        int64
	Changes       []RosterChange
	Patches       []ConfigurationPatch // in order, from the position that was asked for
}

// UpdatesResponse answers an UpdatesRequest, or pushes a change.
type UpdatesResponse struct {
	Round        int64
	Parent       string
	RelayPath    []string // the relays between the source and the parent
	Refused      bool
	Reason       string   // one of the Refused constants
	Alternatives []string // members that may take the child instead
	Items        []UpdateItem
}

// Reasons for which a parent refuses a child. The texts travel in UpdatesResponse.Reason and are compared
// by the child.
const (
	RefusedNoPath  = "no path"
	RefusedLoop    = "loop"
	RefusedNoLease = "no lease"
	RefusedFull    = "full"
)
