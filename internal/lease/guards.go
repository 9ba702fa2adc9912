package lease

// guards disables the rules on which the guarantees of docs/control-safety.md depend: a field that is true
// disables its rule. Tests of this package disable single rules to show that the exploration (package
// explore) detects the resulting violation. No setting and no other package can set these fields.
type guards struct {
	syncedVote   bool // a vote is synced before it is granted
	higherEpoch  bool // a voter grants no epoch lower than that of its last vote
	oneHolder    bool // a voter grants an epoch to only one candidate
	majorityVote bool // a lease is acquired only after a majority has granted it
	promise      bool // a voter grants no other candidate for the duration of a lease
	restartWait  bool // a restarted voter waits for the duration of a lease before it grants another candidate
	spentEpoch   bool // an epoch whose lease was lost is not acquired again
	leaseEnd     bool // a holder stops acting when its lease expires
}

// guardsOff holds the rules that a test has disabled; in production all rules are in force.
var guardsOff guards
