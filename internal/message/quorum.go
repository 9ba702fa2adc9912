package message

// VoterStatus reports the sender's view of the quorum to the other processes of its group.
type VoterStatus struct {
	Group      string            // role of the group: registry or configstore
	Voter      string            // voter that the sender holds or claims
	Identity   string            // identity of the sender's disk
	Formed     bool              // the sender knows the member list of a formed group
	Voting     bool              // the sender may vote
	Proposal   map[string]string // proposed members of a group that is not formed yet: identity by voter
	MemberList map[string]string // members of the formed group: identity by voter
	WantsReply bool              // the receiver answers with its own VoterStatus, which sets this to false
	Founder    bool              // the sender takes part in forming the group
	Round      int64             // round of Proposal
	FreeVoters []string          // voters whose holder is dead or has left, in the sender's view
	Successor  string            // node to which the sender hands over its voter before it stops
	NonVoter   bool              // the sender never holds a voter
}

// VoterClaim asks the other voters to let a new disk replace the holder of a voter.
type VoterClaim struct {
	Group    string
	Voter    string
	Identity string
}

// VoterGrant answers a VoterClaim. A voter grants a claim only after it has written the new member list
// to disk.
type VoterGrant struct {
	Group      string
	Voter      string // voter of the sender
	Identity   string // identity of the sender
	Claimant   string // identity in the claim
	Refused    bool
	MemberList map[string]string
	State      []byte // state that the claimant has to restore before it may vote
}

// VoterState is the state of a voter's quorum membership on disk.
type VoterState struct {
	Identity           string
	Formed             bool
	Voting             bool
	Proposal           map[string]string
	MemberList         map[string]string
	ReplacedIdentities []string // identities that were replaced; their claims are refused
	Voter              string   // voter that is held or claimed; empty if the settings name the voter
	Founder            bool     // this disk may take part in forming the group
	Round              int64    // round of Proposal; each round is proposed once
}
