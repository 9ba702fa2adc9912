// This file names the rules that keep the promises of docs/control-safety.md and that a
// test of this package may switch off, one at a time, to show that the exploration finds
// what goes wrong without it. No setting and no other package reaches them.

package configstore

// guards are the rules; true is off.
type guards struct {
	confirmedAnswers bool // an answer without a commit waits for a renewal
	versionHistory   bool // the digest of each committed version is remembered
	syncedAppend     bool // a follower confirms an append once it is synced
	majorityCommit   bool // a write is acknowledged once a majority has synced it
	majorityRead     bool // a new holder reads a majority
	highestPosition  bool // a new holder takes the highest position that it read
	recommit         bool // a new holder serves once a majority has its log in its epoch
	promisedEpoch    bool // a voter takes nothing of an epoch other than the promised one
	appendInOrder    bool // an append follows the one before it, or the whole is pulled
	committedReads   bool // a read does not see the write in flight
}

var guardsOff guards
