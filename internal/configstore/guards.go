package configstore

// guards lists the safety rules of docs/control-safety.md. A field that is true disables its rule. Only
// the tests of this package can set a field, to show that the exploration finds a violation without the
// rule; no setting and no other package can.
type guards struct {
	confirmedAnswers bool // a response that commits nothing waits for a renewal of the lease
	versionHistory   bool // writes are compared with the digests of committed versions
	syncedAppend     bool // a follower acknowledges an append only once it is synced
	majorityCommit   bool // a write is acknowledged only once a majority has synced it
	majorityRead     bool // a new holder reads the log positions of a majority
	highestPosition  bool // a new holder selects the highest position that it read
	recommit         bool // a new holder serves only once a majority has its log in its epoch
	promisedEpoch    bool // a voter accepts holder requests of the promised epoch only
	appendInOrder    bool // an append must follow the last entry; otherwise a snapshot is requested
	committedReads   bool // a read does not see the write in flight
}

// guardsOff holds the disabled rules; outside tests it is the zero value.
var guardsOff guards
