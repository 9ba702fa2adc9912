package message

// Roles of a member. The texts travel in Member.Role and are compared by the receiver.
const (
	RoleProxy       = "proxy"
	RoleRegistry    = "registry"
	RoleConfigStore = "configstore"
)

// States of a member, in the order in which they override each other at one incarnation.
const (
	// Alive members answer probes.
	Alive int64 = 0
	// Suspect members did not answer a probe and may still refute the suspicion.
	Suspect int64 = 1
	// Dead members let their suspicion run out.
	Dead int64 = 2
	// Left members said that they stop.
	Left int64 = 3
)

// Member describes one node of the fleet. Name is unique in the fleet. StartTime differs between
// two runs of one node, so that an address that passed to another node is never taken for its old owner.
type Member struct {
	Name        string // "role/node"
	Role        string
	Voter       string // the place in the quorum that it holds; empty for none
	Zone        string
	Address     string // for the other processes
	HTTPAddress string // for HTTP
	StartTime   int64  // of this run of the process, in nanoseconds since 1970, by its own clock
	Incarnation int64  // raised by the member itself, to refute or to change what it says of itself
	State       int64  // Alive, Suspect, Dead or Left
}

// Hello is the first frame on a connection.
type Hello struct {
	Address string // where the process that dialed takes connections itself
}

// Ping asks a member to show that it is alive. Ping, Ack, IndirectPing, JoinRequest and JoinResponse
// travel over UDP.
type Ping struct {
	Sequence int64
	Target   string // the name that must be at this address, or the ping isn't answered
	From     Member
	Gossip   []Member
}

// Ack answers a Ping.
type Ack struct {
	Sequence int64
	From     Member
	Gossip   []Member
}

// IndirectPing asks a third member to ping Target on the sender's behalf.
type IndirectPing struct {
	Sequence int64
	Target   string
	Address  string // of the target
	From     Member
	Gossip   []Member
}

// JoinRequest introduces the sender and asks for the member list.
type JoinRequest struct {
	From             Member
	MemberListDigest []int64 // digest of what the sender knows, in parts: only the parts that differ are answered
}

// JoinResponse carries a part of the member list; it is empty when the lists are the same.
type JoinResponse struct {
	From    Member
	Members []Member
}
