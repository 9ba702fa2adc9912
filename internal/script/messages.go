// Package script holds every message that the processes send to each other. Times
// inside messages are durations in nanoseconds (ages, remaining times), never
// instants, since no two machines share a clock. Addresses are "ip:port".
package script

// Roles of a member.
const (
	RoleUsher      = "usher"
	RoleCallboard  = "callboard"
	RolePromptbook = "promptbook"
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
	Seat        string
	District    string
	Address     string
	Outside     string
	Birth       int64
	Incarnation int64
	State       int64
}

// Hello is the first frame on a wire that a process opens: the address at which
// the opener itself takes wires.
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
	JoinAsk struct {
		From  Member
		Known int64 // sum of what is known here: the list is told only where it differs
	}
	JoinTold struct {
		From    Member
		Members []Member
	}
)

// Seating: who holds which seat, by the identity of the disk.
type (
	SeatTold struct {
		Group    string
		Seat     string
		Identity string
		Formed   bool
		Standing bool
		Pledge   map[string]string
		Roll     map[string]string
		Answer   bool
		Founder  bool     // takes part in a founding
		Round    int64    // of the pledge
		Free     []string // seats whose holders are dead or have left, as the teller knows
	}
	SeatClaim struct {
		Group    string
		Seat     string
		Identity string
	}
	SeatGrant struct {
		Group    string
		Seat     string
		Identity string
		To       string
		Refused  bool
		Roll     map[string]string
		State    []byte
	}
)

// SeatState is what a seat's disk says of its standing.
type SeatState struct {
	Identity string
	Formed   bool
	Standing bool
	Pledge   map[string]string
	Roll     map[string]string
	Former   []string
	Seat     string // held or claimed, where the settings name none
	Founder  bool   // was made at a start that may found
	Round    int64  // of the pledge; each round is pledged once
}

// Vote is one voter's persisted promise for a tag.
type Vote struct {
	Tag      string
	Epoch    int64
	Holder   string
	Identity string
	Former   string
}

// Tenure: activation of a tag by majority.
type (
	TenureAsk struct {
		Group    string
		Tag      string
		Epoch    int64
		Seat     string
		Identity string
		Round    int64
		Trial    bool // asks whether it would be granted; nothing is written
	}
	TenureVote struct {
		Group    string
		Tag      string
		Epoch    int64
		Round    int64
		Seat     string
		Identity string
		Granted  bool
		Trial    bool
		Seen     int64
		Reason   string
	}
	TenureYield struct {
		Group    string
		Tag      string
		Epoch    int64
		Seat     string
		Identity string
		To       string
	}
)

// Registration is one upstream as the roster holds it.
type Registration struct {
	Service     string
	Instance    string
	Incarnation int64
	Address     string
	District    string
	Slots       int64
	State       string
	Home        string
	HomeAddress string
	HomeBirth   int64
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

// The roster between ushers and callboards and among callboards.
type (
	Beat struct {
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
	BeatBatch struct {
		Usher string
		Birth int64
		Ready bool
		Beats []Beat
		Ends  []SignOff
		Marks []Mark
		Path  []string // the way the news takes to this usher
	}
	UsageTold struct {
		Usher  string
		Birth  int64
		Number int64        // of the telling, in this life
		Counts []UsageCount // cumulative, of the windows not sealed yet
		Closed int64        // all windows below this number won't change any more
	}
	BeatTold struct {
		Callboard string
		Sealed    int64 // all windows below this number are sealed
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
		Seat  string
		Mark  Mark
	}
	RosterDigest struct {
		Tag   string
		Round int64
		Seat  string
		Mark  Mark
	}
	RosterPull struct {
		Tag  string
		Seat string
	}
	RosterView struct {
		Tag           string
		Seat          string
		Whole         bool
		Keeper        bool
		Mark          Mark
		Registrations []Registration
	}
	ProbeAsk struct {
		Tag         string
		Epoch       int64
		Service     string
		Instance    string
		Incarnation int64
	}
)

// Usage windows among callboards.
type (
	UsageSealed struct {
		Window int64
		Epoch  int64
		Counts map[string]int64
	}
	UsageRead struct {
		Epoch    int64
		Seat     string
		Identity string
	}
	UsageReadTold struct {
		Epoch    int64
		Seat     string
		Identity string
		Sealed   []UsageSealed
		Reported int64
		Held     UsageHeld // counts of windows not reported, as this seat knows them
	}
	UsageSeal struct {
		Seat     string
		Identity string
		Sealed   UsageSealed
		Reported int64
	}
	UsageSealTold struct {
		Seat     string
		Identity string
		Window   int64
		Epoch    int64
	}
)

// Layouts between callboards and promptbooks and among promptbooks.
type (
	KeptLayout struct {
		Sheet   string
		Version int64
		Epoch   int64
		Seq     int64
		Body    []byte
	}
	BookPut struct {
		Ticket  int64
		Sheet   string
		Version int64
		Body    []byte
	}
	BookGet struct {
		Ticket  int64
		Sheet   string
		Version int64 // 0: the current one
		List    bool
	}
	BookTold struct {
		Ticket   int64
		Code     int64
		Detail   string
		Faults   []string
		Sheet    string
		Version  int64
		Body     []byte
		Versions []int64
		Sheets   []string
		Holder   string
	}
	SheetSettled struct {
		Sheet   string
		Version int64
		Body    []byte
	}
	BookRead struct {
		Epoch    int64
		Seat     string
		Identity string
	}
	BookReadTold struct {
		Epoch    int64
		Seat     string
		Identity string
		AtEpoch  int64
		AtSeq    int64
		Hash     int64
	}
	BookPull struct {
		Epoch    int64
		Seat     string
		Identity string
	}
	BookView struct {
		Epoch   int64
		Seat    string
		AtEpoch int64
		AtSeq   int64
		Layouts []KeptLayout
	}
	BookAdopt struct {
		Epoch    int64
		Seat     string
		Identity string
		AtEpoch  int64
		AtSeq    int64
		Hash     int64
	}
	BookSettle struct {
		Epoch    int64
		Seq      int64
		Seat     string
		Identity string
		Layout   KeptLayout
	}
	BookSettled struct {
		Epoch    int64
		Seq      int64
		Seat     string
		Identity string
	}
)

// News: what goes down the tree of relays.
type (
	NewsAsk struct {
		Round  int64
		Child  string
		Role   string
		Resort bool
		Marks  []Mark
		Part   int64 // offset wanted of the view named by PartOf
		PartOf string
	}
	NewsItem struct {
		Mark    Mark
		Age     int64 // negative: the parent doesn't know
		Known   bool  // the parent holds content for the topic
		View    bool
		Body    []byte
		Total   int64 // whole length of a view that goes in parts
		Offset  int64
		Changes []RosterChange
	}
	NewsTold struct {
		Round   int64
		Parent  string
		Path    []string
		Refused bool
		Reason  string
		Try     []string
		Items   []NewsItem
	}
)

// Reasons by which a parent refuses a child.
const (
	RefusedNoPath   = "no path"
	RefusedLoop     = "loop"
	RefusedNoTenure = "no tenure"
	RefusedFull     = "full"
)

// What stands in a slot, and records of the log that are no messages.
type (
	CallboardState struct {
		Seat     SeatState
		Votes    []Vote
		Slices   []RosterView
		Sealed   []UsageSealed
		Reported int64
		Seen     []string
		Usage    UsageHeld
	}
	BookState struct {
		Seat    SeatState
		Votes   []Vote
		Epoch   int64
		Seq     int64
		Layouts []KeptLayout
		Seen    []string
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

// RosterSlice is the body of a slice's view.
type RosterSlice struct {
	Registrations []Registration
}

// Queries between two ushers.
type (
	HeaderLine struct {
		Name  string
		Value string
	}
	Carry struct {
		ID          string
		Usher       string
		HomeBirth   int64
		Sheet       string
		Version     int64
		Route       string
		Service     string
		Instance    string
		Incarnation int64
		Tenant      string
		Caller      string
		Method      string
		Path        string
		RawQuery    string
		Headers     []HeaderLine
		Body        []byte
		Remaining   int64
		AnswerCap   int64
		Host        string
		Name        string // the caller's own name of this try
		Priority    int64  // 0 goes first
		Aim         int64  // what is left of the time within which an answer has its full worth; 0: not told
		Once        bool
	}
	Verdict struct {
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
		Whole       int64 // how long ago the answer was whole at the home
		Took        int64 // from the start at the upstream to its whole answer
		Sent        bool  // an upstream has seen the query, be it that it turned it away
	}
	VerdictAsk struct {
		ID        string
		HomeBirth int64
	}
	Withdraw struct {
		ID string
	}
)

// Kinds of verdict.
const (
	NotStarted     int64 = 1
	StartedWhole   int64 = 2
	StartedNoWhole int64 = 3
	StillRunning   int64 = 4
)

func init() {
	for index, sample := range []any{
		Ping{}, Ack{}, PingFor{}, JoinAsk{}, JoinTold{},
		SeatTold{}, SeatClaim{}, SeatGrant{},
		TenureAsk{}, TenureVote{}, TenureYield{},
		BeatBatch{}, BeatTold{}, RosterChange{}, RosterCheck{}, RosterDigest{}, RosterPull{}, RosterView{}, ProbeAsk{},
		UsageRead{}, UsageReadTold{}, UsageSeal{}, UsageSealTold{},
		BookPut{}, BookGet{}, BookTold{}, SheetSettled{}, BookRead{}, BookReadTold{}, BookPull{}, BookView{}, BookAdopt{}, BookSettle{}, BookSettled{},
		NewsAsk{}, NewsTold{},
		Carry{}, Verdict{}, VerdictAsk{}, Withdraw{}, Hello{}, RosterSlice{}, Registration{},
		SeatState{}, Vote{}, CallboardState{}, BookState{}, UsageTold{}, UsageHeld{}, SeenState{}, UsageSealed{}, UsageReported{},
	} {
		enrol(byte(index+1), sample)
	}
}
