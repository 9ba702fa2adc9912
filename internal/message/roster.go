package message

// States of a registration. The texts travel in Registration.State and are compared by the receiver.
const (
	StateCreated  = "created" // announced, and not probed yet
	StateWarming  = "warming" // takes no requests yet
	StateReady    = "ready"
	StateDraining = "leaving" // takes no new requests
)

// Registration is one upstream instance in the roster.
type Registration struct {
	Service               string
	Instance              string
	Incarnation           int64
	Address               string
	Zone                  string
	Slots                 int64 // requests that it runs at one time
	State                 string
	ServingProxy          string // member name of the proxy beside it
	ServingProxyAddress   string
	ServingProxyStartTime int64
}

// Key returns the name of a registration within the roster.
func (r Registration) Key() string { return r.Service + "/" + r.Instance }

// Position is a position in the history of a topic, ordered by (epoch, sequence), with a digest of the
// content there. Two sources with the same position have the same content.
type Position struct {
	Topic string
	Epoch int64
	Seq   int64
	Count int64 // entries
	Hash  int64
}

// Before reports whether p is older than another position of the same topic.
func (p Position) Before(other Position) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Seq < other.Seq
}

// SameContent reports whether two positions name the same content.
func (p Position) SameContent(other Position) bool {
	return p.Epoch == other.Epoch && p.Seq == other.Seq && p.Hash == other.Hash && p.Count == other.Count
}

// Results of a probe, as heartbeats carry them.
const (
	NotProbed     int64 = 0
	ProbeAnswered int64 = 1
	ProbeRefused  int64 = 2
)

// Heartbeat says that an upstream has announced itself to the proxy beside it.
type Heartbeat struct {
	Registration Registration
	Age          int64 // nanoseconds since the announcement
	ProbeResult  int64 // NotProbed, ProbeAnswered or ProbeRefused, of this incarnation
}

// Deregistration ends the registration of one incarnation of an instance.
type Deregistration struct {
	Service     string
	Instance    string
	Incarnation int64
}

// HeartbeatBatch is what a proxy sends to the registries once a heartbeat interval and after each
// change.
type HeartbeatBatch struct {
	Proxy           string
	StartTime       int64
	Ready           bool // the proxy takes traffic
	Heartbeats      []Heartbeat
	Deregistrations []Deregistration
	Positions       []Position // what configurations and slices the proxy has in force
	RelayPath       []string   // the relays between the source and this proxy
	CurrentWindow   int64      // usage window under way, by the proxy's time of day
}

// HeartbeatResponse answers a HeartbeatBatch.
type HeartbeatResponse struct {
	Registry       string
	SealedBelow    int64      // all usage windows below this number are sealed
	NewerPositions []Position // configurations of which the registry has a newer version than the proxy
}

// RosterChange is one change of a slice, sent by the slice's lease holder.
type RosterChange struct {
	Position     Position // position after the change
	Registration Registration
	Removed      bool
	Cause        string
}

// RosterCheck asks the other registries for their position in a slice.
type RosterCheck struct {
	Zone     string
	Round    int64
	Voter    string
	Position Position
}

// RosterDigest answers a RosterCheck.
type RosterDigest struct {
	Zone     string
	Round    int64
	Voter    string
	Position Position
}

// RosterPull asks for a whole slice.
type RosterPull struct {
	Zone  string
	Voter string
}

// RosterSnapshot is a whole slice of the roster.
type RosterSnapshot struct {
	Zone          string
	Voter         string
	Complete      bool // the sender's slice is complete
	HoldsLease    bool // the sender holds the slice's lease
	Position      Position
	Registrations []Registration
}

// RosterSlice is the body of a slice's snapshot in the distribution tree.
type RosterSlice struct {
	Registrations []Registration
}

// ProbeRequest asks the serving proxy to probe an upstream.
type ProbeRequest struct {
	Zone        string
	Epoch       int64
	Service     string
	Instance    string
	Incarnation int64
}
