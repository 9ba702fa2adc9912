package message

// Roles of a member. The texts are sent in Member.Role and compared by the receiver.
const (
	RoleProxy       = "proxy"
	RoleRegistry    = "registry"
	RoleConfigStore = "configstore"
)

// States of a member. At one incarnation a higher state overrides a lower one.
const (
	// Alive members answer probes.
	Alive int64 = 0
	// Suspect members did not answer a probe and can still refute the suspicion.
	Suspect int64 = 1
	// Dead members did not refute the suspicion in time.
	Dead int64 = 2
	// Left members announced that they stop.
	Left int64 = 3
)

// Member describes one node of the fleet. Name is unique in the fleet. StartTime differs between two
// runs of a node, so that a node that reuses an address is not mistaken for the earlier one.
type Member struct {
	Name        string // "role/node"
	Role        string
	Voter       string // voter that the member holds in its quorum; empty for none
	Zone        string
	Address     string // address for messages from other processes
	HTTPAddress string
	StartTime   int64 // start of this run of the process in nanoseconds since 1970, by its own clock
	Incarnation int64 // raised only by the member itself, to refute a suspicion or to change its description
	State       int64 // Alive, Suspect, Dead or Left
}

// Hello is the first frame on a connection.
type Hello struct {
	Address string // listening address of the process that dialed
}

// Ping asks a member to confirm that it is alive. Ping, Ack, IndirectPing, JoinRequest and JoinResponse
// are sent over UDP.
type Ping struct {
	Sequence int64
	Target   string // name of the member that is pinged; a member of another name at this address does not answer
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
	Address  string // address of Target
	From     Member
	Gossip   []Member
}

// JoinRequest introduces the sender and asks for the members that differ from its own list.
type JoinRequest struct {
	From Member
	// MemberListDigest has one sum for each partition of the sender's member list, which is partitioned by
	// a hash of the names. The response holds only the members of partitions whose sums differ.
	MemberListDigest []int64
}

// JoinResponse carries members of the partitions whose digests differ. It is empty if both member lists
// are equal. Long lists are sent in several responses.
type JoinResponse struct {
	From    Member
	Members []Member
}
