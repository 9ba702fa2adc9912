package message

// UpdatesRequest asks a parent in the distribution tree for the changes to a set of topics, or for a part
// of the snapshot of one topic.
type UpdatesRequest struct {
	Round          int64  // numbers the update requests of one child; -1 in a request for a part of a snapshot
	Child          string // member name of the sender
	Role           string
	LastResort     bool       // the child has no other parent left: a registry accepts it beyond the fan-out limit
	Positions      []Position // the child's position in each topic
	SnapshotOffset int64      // byte offset of the requested part in the snapshot of SnapshotTopic
	SnapshotTopic  string     // topic whose snapshot is requested in parts; empty in a request for changes
}

// ConfigurationPatch turns one version of a configuration into a later one.
type ConfigurationPatch struct {
	From       Position
	To         Position
	Difference []byte // encoded by package delta
}

// UpdateItem carries a parent's position in one topic and the content that the child lacks.
type UpdateItem struct {
	Position      Position
	Age           int64  // nanoseconds since the parent's content was known to be current; negative if unknown
	HasContent    bool   // the parent has content of the topic
	Snapshot      bool   // Body is a snapshot or a part of one
	Body          []byte // bytes of a snapshot; the snapshot of a configuration is compressed by package delta
	SnapshotBytes int64  // length of the complete snapshot in bytes
	Offset        int64  // byte offset of Body in the snapshot
	Changes       []RosterChange
	Patches       []ConfigurationPatch // in order, starting at the position in the request
}

// UpdatesResponse answers an UpdatesRequest, or pushes a change.
type UpdatesResponse struct {
	Round        int64 // Round of the request; 0 in a push
	Parent       string
	RelayPath    []string // member names from the root of the tree to the parent, both included
	Refused      bool
	Reason       string   // one of the Refused constants
	Alternatives []string // members that may accept the child instead
	Items        []UpdateItem
}

// Reasons for which a parent refuses a child. The texts are sent in UpdatesResponse.Reason and compared
// by the child.
const (
	RefusedNoPath  = "no path"  // the parent is a proxy that has no path to the source itself
	RefusedLoop    = "loop"     // the child is on the parent's own path
	RefusedNoLease = "no lease" // the parent is a source that does not hold the lease required for serving
	RefusedFull    = "full"     // the parent has reached its fan-out limit
)
