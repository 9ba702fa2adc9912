package message

// VoterStatus tells the other voters of a group what this disk knows of the quorum.
type VoterStatus struct {
	Group      string            // role of the group: registry or configstore
	Voter      string            // the voter that the sender holds or claims
	Identity   string            // of the sender's disk
	Formed     bool              // the sender knows a formed group
	Voting     bool              // the sender may vote
	Proposal   map[string]string // proposed members of a group that is not formed yet, identity by voter
	MemberList map[string]string // members of the formed group, identity by voter
	WantsReply bool              // the receiver answers with its own VoterStatus, which wants no reply
	Founder    bool              // takes part in forming the group
	Round      int64             // of the proposal
	FreeVoters []string          // voters whose holders are dead or have left, as far as the sender knows
	Successor  string            // the node to which this voter hands its place over, as it leaves
	NonVoter   bool              // the sender never holds a voter
}

// VoterClaim asks the other voters to let a new disk replace the holder of a voter.
type VoterClaim struct {
	Group    string
	Voter    string
	Identity string
}

// VoterGrant answers a VoterClaim. The sender has written the new member list to disk before.
type VoterGrant struct {
	Group      string
	Voter      string // of the sender
	Identity   string // of the sender
	Claimant   string // identity that claimed
	Refused    bool
	MemberList map[string]string
	State      []byte // what the claimant has to know before it may vote
}

// VoterState is what a voter keeps on disk of its place in the quorum.
type VoterState struct {
	Identity           string
	Formed             bool
	Voting             bool
	Proposal           map[string]string
	MemberList         map[string]string
	ReplacedIdentities []string // identities that were replaced
	Voter              string   // held or claimed, where the settings name none
	Founder            bool     // made at a start that may form the group
	Round              int64    // of the proposal; each round is proposed once
}
