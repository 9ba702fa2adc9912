package configstore

// guards are the safety rules of docs/control-safety.md. A test of this package may switch one of them
// off to show that the exploration finds what goes wrong without it. No setting and no other package
// reaches them. A field that is true switches its rule off.
type guards struct {
	confirmedAnswers bool // a response that commits nothing waits for a renewal of the lease
	versionHistory   bool // the digest of each committed version is remembered
	syncedAppend     bool // a follower acknowledges an append once it is synced
	majorityCommit   bool // a write is acknowledged once a majority has synced it
	majorityRead     bool // a new holder reads the positions of a majority
	highestPosition  bool // a new holder takes the highest position that it read
	recommit         bool // a new holder serves once a majority has its log in its epoch
	promisedEpoch    bool // a voter accepts no epoch other than the promised one
	appendInOrder    bool // an append follows the one before it, or the whole log is requested
	committedReads   bool // a read does not see the write in flight
}

var guardsOff guards
