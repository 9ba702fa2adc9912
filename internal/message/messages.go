// Package script holds every message that the processes send to each other. Times
// inside messages are durations in nanoseconds (ages, remaining times), never
// instants, since no two machines share a clock. Addresses are "ip:port".
package message

// Roles of a member.
const (
	RoleProxy       = "proxy"
	RoleRegistry    = "registry"
	RoleConfigStore = "configstore"
)

// States of a member, in the order in which they override each other at one
// incarnation.
const (
	Alive   int64 = 0
	Suspect int64 = 1
	Dead    int64 = 2
	Left    int64 = 3
)

// Member is what nodes tell each other about a node. Name is unique in the fleet;
// Birth differs between two lives of one name, so that an address handed on is
// never taken for its old owner.
type Member struct {
	Name        string
	Role        string
	Voter       string
	Zone        string
	Address     string
	Outside     string
	Birth       int64
	Incarnation int64
	State       int64
}

// Hello is the first frame on a connection that a process opens: the address at which
// the opener itself takes connections.
type Hello struct {
	Address string
}

// Probes and their kin go over UDP.
type (
	Ping struct {
		Number int64
		Target string
		From   Member
		Gossip []Member
	}
	Ack struct {
		Number int64
		From   Member
		Gossip []Member
	}
	PingFor struct {
		Number  int64
		Target  string
		Address string
		From    Member
		Gossip  []Member
	}
	JoinRequest struct {
		From  Member
		Known int64 // sum of what is known here: the list is told only where it differs
	}
	JoinResponse struct {
		From    Member
		Members []Member
	}
)

// Quorum: who holds which voter, by the identity of the disk.
type (
	VoterStatus struct {
		Group      string
		Voter      string
		Identity   string
		Formed     bool
		Voting     bool
		Proposal   map[string]string
		MemberList map[string]string
		Answer     bool
		Founder    bool     // takes part in a founding
		Round      int64    // of the proposal
		Free       []string // voters whose holders are dead or have left, as the teller knows
	}
	VoterClaim struct {
		Group    string
		Voter    string
		Identity string
	}
	VoterGrant struct {
		Group      string
		Voter      string
		Identity   string
		To         string
		Refused    bool
		MemberList map[string]string
		State      []byte
	}
)

// VoterState is what a voter's disk says of its standing.
type VoterState struct {
	Identity   string
	Formed     bool
	Voting     bool
	Proposal   map[string]string
	MemberList map[string]string
	Former     []string
	Voter      string // held or claimed, where the settings name none
	Founder    bool   // was made at a start that may found
	Round      int64  // of the proposal; each round is proposed once
}

// Vote is one voter's persisted promise for a tag.
type Vote struct {
	Tag      string
	Epoch    int64
	Holder   string
	Identity string
	Former   string
}

// Lease: activation of a tag by majority.
type (
	LeaseRequest struct {
		Group    string
		Tag      string
		Epoch    int64
		Voter    string
		Identity string
		Round    int64
		Trial    bool // asks whether it would be granted; nothing is written
	}
	LeaseVote struct {
		Group    string
		Tag      string
		Epoch    int64
		Round    int64
		Voter    string
		Identity string
		Granted  bool
		Trial    bool
		Seen     int64
		Reason   string
	}
	LeaseYield struct {
		Group    string
		Tag      string
		Epoch    int64
		Voter    string
		Identity string
		To       string
	}
)

// Registration is one upstream as the roster holds it.
type Registration struct {
	Service             string
	Instance            string
	Incarnation         int64
	Address             string
	Zone                string
	Slots               int64
	State               string
	ServingProxy        string
	ServingProxyAddress string
	ServingProxyBirth   int64
}

// States of a registration.
const (
	StateCreated = "created"
	StateWarming = "warming"
	StateReady   = "ready"
	StateLeaving = "leaving"
)

// Key names a registration within the roster.
func (r Registration) Key() string { return r.Service + "/" + r.Instance }

// Mark is a position in a topic: (epoch, sequence) and the digest there.
type Mark struct {
	Topic string
	Epoch int64
	Seq   int64
	Count int64
	Hash  int64
}

// Before orders two marks of one topic.
func (m Mark) Before(other Mark) bool {
	return m.Epoch < other.Epoch || m.Epoch == other.Epoch && m.Seq < other.Seq
}

// Same says that two marks name the same content.
func (m Mark) Same(other Mark) bool {
	return m.Epoch == other.Epoch && m.Seq == other.Seq && m.Hash == other.Hash && m.Count == other.Count
}

// The roster between proxies and registries and among registries.
type (
	Heartbeat struct {
		Registration Registration
		Age          int64
		Probed       int64 // 0 not probed, 1 answered, 2 refused; of this incarnation
	}
	SignOff struct {
		Service     string
		Instance    string
		Incarnation int64
	}
	UsageCount struct {
		Window int64
		Counts map[string]int64
		Open   map[string]int64 // begun and not answered yet; in the window that runs
	}
	HeartbeatBatch struct {
		Proxy      string
		Birth      int64
		Ready      bool
		Heartbeats []Heartbeat
		Ends       []SignOff
		Marks      []Mark
		Path       []string // the way the updates takes to this proxy
	}
	UsageUpdate struct {
		Proxy  string
		Birth  int64
		Number int64        // of the telling, in this life
		Counts []UsageCount // cumulative, of the windows not sealed yet
		Closed int64        // all windows below this number won't change any more
	}
	HeartbeatResponse struct {
		Registry string
		Sealed   int64 // all windows below this number are sealed
	}
	RosterChange struct {
		Mark         Mark
		Registration Registration
		Gone         bool
		Cause        string
	}
	RosterCheck struct {
		Tag   string
		Round int64
		Voter string
		Mark  Mark
	}
	RosterDigest struct {
		Tag   string
		Round int64
		Voter string
		Mark  Mark
	}
	RosterPull struct {
		Tag   string
		Voter string
	}
	RosterSnapshot struct {
		Tag           string
		Voter         string
		Whole         bool
		Holder        bool
		Mark          Mark
		Registrations []Registration
	}
	ProbeRequest struct {
		Tag         string
		Epoch       int64
		Service     string
		Instance    string
		Incarnation int64
	}
)

// Usage windows among registries.
type (
	UsageSealed struct {
		Window int64
		Epoch  int64
		Counts map[string]int64
	}
	UsageRead struct {
		Epoch    int64
		Voter    string
		Identity string
	}
	UsageReadResponse struct {
		Epoch    int64
		Voter    string
		Identity string
		Sealed   []UsageSealed
		Reported int64
		Held     UsageHeld // counts of windows not reported, as this voter knows them
	}
	UsageSeal struct {
		Voter    string
		Identity string
		Sealed   UsageSealed
		Reported int64
	}
	UsageSealResponse struct {
		Voter    string
		Identity string
		Window   int64
		Epoch    int64
	}
)

// Configurations between registries and configstores and among configstores.
type (
	StoredConfiguration struct {
		ConfigName string
		Version    int64
		Epoch      int64
		Seq        int64
		Body       []byte
	}
	WriteRequest struct {
		RequestID  int64
		ConfigName string
		Version    int64
		Body       []byte
	}
	ReadRequest struct {
		RequestID  int64
		ConfigName string
		Version    int64 // 0: the current one
		List       bool
	}
	StoreResponse struct {
		RequestID   int64
		Code        int64
		Detail      string
		Faults      []string
		ConfigName  string
		Version     int64
		Body        []byte
		Versions    []int64
		ConfigNames []string
		Holder      string
	}
	ConfigurationCommitted struct {
		ConfigName string
		Version    int64
		Body       []byte
	}
	LogPositionRequest struct {
		Epoch    int64
		Voter    string
		Identity string
	}
	LogPositionResponse struct {
		Epoch    int64
		Voter    string
		Identity string
		AtEpoch  int64
		AtSeq    int64
		Hash     int64
	}
	LogSnapshotRequest struct {
		Epoch    int64
		Voter    string
		Identity string
	}
	LogSnapshot struct {
		Epoch          int64
		Voter          string
		AtEpoch        int64
		AtSeq          int64
		Configurations []StoredConfiguration
	}
	LogRecommit struct {
		Epoch    int64
		Voter    string
		Identity string
		AtEpoch  int64
		AtSeq    int64
		Hash     int64
	}
	LogAppend struct {
		Epoch         int64
		Seq           int64
		Voter         string
		Identity      string
		Configuration StoredConfiguration
	}
	LogAppended struct {
		Epoch    int64
		Seq      int64
		Voter    string
		Identity string
	}
)

// Updates: what goes down the tree of relays.
type (
	UpdatesRequest struct {
		Round  int64
		Child  string
		Role   string
		Resort bool
		Marks  []Mark
		Part   int64 // offset wanted of the snapshot named by PartOf
		PartOf string
	}
	// ConfigurationPatch turns one version of a configuration into a later one.
	ConfigurationPatch struct {
		From       Mark
		To         Mark
		Difference []byte // as package delta encodes it
	}
	UpdateItem struct {
		Mark     Mark
		Age      int64 // negative: the parent doesn't know
		Known    bool  // the parent holds content for the topic
		Snapshot bool
		Body     []byte // of a snapshot; a configuration's is compressed by package delta
		Total    int64  // whole length of a snapshot that goes in parts
		Offset   int64
		Changes  []RosterChange
		Patches  []ConfigurationPatch // in order, from the position that was asked for
	}
	UpdatesResponse struct {
		Round   int64
		Parent  string
		Path    []string
		Refused bool
		Reason  string
		Try     []string
		Items   []UpdateItem
	}
)

// Reasons by which a parent refuses a child.
const (
	RefusedNoPath  = "no path"
	RefusedLoop    = "loop"
	RefusedNoLease = "no lease"
	RefusedFull    = "full"
)

// What stands in a slot, and records of the log that are no messages.
type (
	RegistryState struct {
		Voter    VoterState
		Votes    []Vote
		Slices   []RosterSnapshot
		Sealed   []UsageSealed
		Reported int64
		Seen     []string
		Usage    UsageHeld
	}
	ConfigStoreState struct {
		Voter          VoterState
		Votes          []Vote
		Epoch          int64
		Seq            int64
		Configurations []StoredConfiguration
		Seen           []string
	}
	SeenState struct {
		Addresses []string
	}
	UsageHeld struct {
		Lives []UsageLife
	}
	UsageLife struct {
		Window int64
		Life   string
		Number int64
		Counts map[string]int64
		Open   map[string]int64
	}
	UsageReported struct {
		Window int64
	}
)

// RosterSlice is the body of a slice's snapshot.
type RosterSlice struct {
	Registrations []Registration
}

// Requests between two proxies.
type (
	HeaderLine struct {
		Name  string
		Value string
	}
	Forward struct {
		ID                string
		Proxy             string
		ServingProxyBirth int64
		ConfigName        string
		Version           int64
		Route             string
		Service           string
		Instance          string
		Incarnation       int64
		Tenant            string
		Caller            string
		Method            string
		Path              string
		RawQuery          string
		Headers           []HeaderLine
		Body              []byte
		Remaining         int64
		AnswerCap         int64
		Host              string
		Name              string // the caller's own name of this try
		Priority          int64  // 0 goes first
		Aim               int64  // what is left of the time within which an answer has its full worth; 0: not told
		Once              bool
	}
	Outcome struct {
		ID          string
		Kind        int64
		Code        int64
		Status      int64
		Headers     []HeaderLine
		Body        []byte
		Outstanding int64
		Slots       int64
		Load        float64
		RetryAfter  int64
		Whole       int64 // how long ago the answer was whole at the serving proxy
		Took        int64 // from the start at the upstream to its whole answer
		Sent        bool  // an upstream has seen the request, be it that it turned it away
	}
	OutcomeRequest struct {
		ID                string
		ServingProxyBirth int64
	}
	Withdraw struct {
		ID string
	}
)

// Kinds of outcome.
const (
	NotStarted     int64 = 1
	StartedWhole   int64 = 2
	StartedNoWhole int64 = 3
	StillRunning   int64 = 4
)

func init() {
	for index, sample := range []any{
		Ping{}, Ack{}, PingFor{}, JoinRequest{}, JoinResponse{},
		VoterStatus{}, VoterClaim{}, VoterGrant{},
		LeaseRequest{}, LeaseVote{}, LeaseYield{},
		HeartbeatBatch{}, HeartbeatResponse{}, RosterChange{}, RosterCheck{}, RosterDigest{}, RosterPull{}, RosterSnapshot{}, ProbeRequest{},
		UsageRead{}, UsageReadResponse{}, UsageSeal{}, UsageSealResponse{},
		WriteRequest{}, ReadRequest{}, StoreResponse{}, ConfigurationCommitted{}, LogPositionRequest{}, LogPositionResponse{}, LogSnapshotRequest{}, LogSnapshot{}, LogRecommit{}, LogAppend{}, LogAppended{},
		UpdatesRequest{}, UpdatesResponse{},
		Forward{}, Outcome{}, OutcomeRequest{}, Withdraw{}, Hello{}, RosterSlice{}, Registration{},
		VoterState{}, Vote{}, RegistryState{}, ConfigStoreState{}, UsageUpdate{}, UsageHeld{}, SeenState{}, UsageSealed{}, UsageReported{},
	} {
		enrol(byte(index+1), sample)
	}
}
