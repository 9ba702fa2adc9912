package message

// States of a registration. The texts are sent in Registration.State and compared by the receiver.
const (
	StateCreated  = "created" // announced, but no probe has succeeded yet
	StateWarming  = "warming" // accepts no requests yet
	StateReady    = "ready"
	StateDraining = "leaving" // accepts no new requests
)

// Registration is the roster entry of one upstream instance.
type Registration struct {
	Service               string
	Instance              string
	Incarnation           int64
	Address               string
	Zone                  string
	Slots                 int64 // number of requests that the upstream runs concurrently
	State                 string
	ServingProxy          string // member name of the proxy beside the upstream
	ServingProxyAddress   string
	ServingProxyStartTime int64
}

// Key identifies a registration within the roster.
func (r Registration) Key() string { return r.Service + "/" + r.Instance }

// Position is a position in the history of a topic, ordered by (Epoch, Seq), with a digest of the content
// at this position. Two sources with equal positions have the same content.
type Position struct {
	Topic string
	Epoch int64
	Seq   int64
	Count int64 // number of entries in the content
	Hash  int64 // digest of the content
}

// Before reports whether p is older than another position of the same topic.
func (p Position) Before(other Position) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Seq < other.Seq
}

// SameContent reports whether two positions have the same content.
func (p Position) SameContent(other Position) bool {
	return p.Epoch == other.Epoch && p.Seq == other.Seq && p.Hash == other.Hash && p.Count == other.Count
}

// Results of a probe, as sent in Heartbeat.ProbeResult.
const (
	NotProbed     int64 = 0
	ProbeAnswered int64 = 1
	ProbeRefused  int64 = 2
)

// Heartbeat carries the last announcement of an upstream to the proxy beside it.
type Heartbeat struct {
	Registration Registration
	Age          int64 // nanoseconds since the announcement
	ProbeResult  int64 // result for this incarnation: NotProbed, ProbeAnswered or ProbeRefused
}

// Deregistration ends the registration of one incarnation of an instance. It is also the form of a
// deregistration on disk.
type Deregistration struct {
	Service     string
	Instance    string
	Incarnation int64
}

// DeregistrationsStored tells a proxy which deregistrations of its batch are on a registry's disk.
type DeregistrationsStored struct {
	Registry        string
	Deregistrations []Deregistration
}

// HeartbeatBatch carries the state of a proxy and of the upstreams beside it to the registries. A proxy
// sends it once per heartbeat interval and after each change.
type HeartbeatBatch struct {
	Proxy           string
	StartTime       int64
	Ready           bool // the proxy is ready to accept traffic
	Heartbeats      []Heartbeat
	Deregistrations []Deregistration
	Positions       []Position // positions of the configurations and slices that the proxy uses
	RelayPath       []string   // member names from the root of the distribution tree to this proxy's parent
	CurrentWindow   int64      // current usage window by the proxy's wall clock
}

// HeartbeatResponse answers a HeartbeatBatch.
type HeartbeatResponse struct {
	Registry       string
	SealedBelow    int64      // all usage windows below this number are sealed
	NewerPositions []Position // configurations that are newer at the registry than at the proxy
}

// RosterChange is one change of a slice. The holder of the slice's lease broadcasts it.
type RosterChange struct {
	Position     Position // position of the slice after the change
	Registration Registration
	Removed      bool // Registration was removed from the slice
	Cause        string
}

// RosterCheck asks for the lease holder's position in a slice. It is sent to all registries, and only the
// holder answers.
type RosterCheck struct {
	Zone     string
	Round    int64
	Voter    string
	Position Position
}

// RosterDigest answers a RosterCheck with the holder's position in the slice.
type RosterDigest struct {
	Zone     string
	Round    int64
	Voter    string
	Position Position
}

// RosterPull asks a registry for its complete copy of a slice.
type RosterPull struct {
	Zone  string
	Voter string
}

// RosterSnapshot is the sender's copy of a slice of the roster. It is also the form of a slice on disk, where
// Voter, Complete and HoldsLease are not set.
type RosterSnapshot struct {
	Zone          string
	Voter         string
	Complete      bool // the sender's copy is complete
	HoldsLease    bool // the sender holds the slice's lease
	Position      Position
	Registrations []Registration
}

// RosterSlice is the body of a slice's snapshot in UpdateItem.Body.
type RosterSlice struct {
	Registrations []Registration
}

// ProbeRequest asks a serving proxy to probe an upstream beside it.
type ProbeRequest struct {
	Zone        string
	Epoch       int64
	Service     string
	Instance    string
	Incarnation int64
}
