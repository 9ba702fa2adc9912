package quorum

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// Storage is the disk of the process.
type Storage interface {
	// Persist appends a record and calls then once it is synced.
	Persist(env *statemachine.Env, record any, then storage.SyncCallback)
	// WriteSnapshot writes the process's whole state and calls then once it is synced.
	WriteSnapshot(env *statemachine.Env, then storage.SyncCallback)
	// Failure is the error of the first write that failed; nil for none.
	Failure() error
}

// Directory knows the processes of the group from the membership.
type Directory interface {
	// Peers lists the other processes of the group that are not known to be dead.
	Peers() []message.Member
	// NodeDeadOrLeft says that a node is dead or has left.
	NodeDeadOrLeft(env *statemachine.Env, nodeName string) bool
	// Superseded says that a later process with this node's name runs at another address.
	Superseded() bool
	// AnnounceVoter tells the members which voter this process holds; "" for none.
	AnnounceVoter(voter string)
}

// StateTransfer carries the replicated state of the group from the voters that grant a claim to the claimant.
type StateTransfer interface {
	// StateForGrant encodes all that this voter has acknowledged.
	StateForGrant() []byte
	// MergeGrantedStates takes over the states of the granters.
	MergeGrantedStates(env *statemachine.Env, states [][]byte)
	// DiscardState drops the state of a voter that another process holds now.
	DiscardState(env *statemachine.Env)
}

// Host is the machine around the quorum.
type Host interface {
	Storage
	Directory
	StateTransfer
}
