package quorum

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// Storage writes to the disk of the process.
type Storage interface {
	// Persist appends a record to the log and calls onSynced once the record is synced or its write has failed.
	Persist(env *statemachine.Env, record any, onSynced storage.SyncCallback)
	// WriteSnapshot writes the process's complete state and calls onSynced once it is synced or the write has failed.
	WriteSnapshot(env *statemachine.Env, onSynced storage.SyncCallback)
	// Failure returns the error of the first write that failed, or nil.
	Failure() error
}

// Directory gives the quorum access to the membership protocol's view of the group's processes.
type Directory interface {
	// Peers returns the other processes of the group that are neither dead nor have left.
	Peers() []message.Member
	// NodeDeadOrLeft reports whether a node is dead or has left.
	NodeDeadOrLeft(env *statemachine.Env, nodeName string) bool
	// Superseded reports whether a later process with this node's name runs at another address.
	Superseded() bool
	// AnnounceVoter publishes which voter this process holds; "" means none.
	AnnounceVoter(voter string)
}

// StateTransfer encodes, merges and discards the replicated state of the group, which the voters that grant a claim
// send to the claimant.
type StateTransfer interface {
	// StateForGrant encodes the state that this voter has acknowledged, for a grant.
	StateForGrant() []byte
	// MergeGrantedStates merges the states that the granters sent into this process's state.
	MergeGrantedStates(env *statemachine.Env, states [][]byte)
	// DiscardState drops the state of this process's former voter, which another process holds now.
	DiscardState(env *statemachine.Env)
}

// Host is the state machine that embeds the quorum.
type Host interface {
	Storage
	Directory
	StateTransfer
}
