package lease

// guards are the rules on which the promises of docs/control-safety.md rest. A test of this package
// may switch one off, to show that the exploration finds what goes wrong without it; no setting and
// no other package reaches them. A field that is true is a rule that is off.
type guards struct {
	syncedVote   bool // a vote is synced before it is granted
	higherEpoch  bool // a voter grants no epoch below the one that it voted for
	oneHolder    bool // a voter grants an epoch to one candidate only
	majorityVote bool // a lease is held once a majority has granted it
	promise      bool // a voter grants no other candidate for the length of a lease
	restartWait  bool // a restarted voter waits a lease before it grants another candidate
	spentEpoch   bool // an epoch that was lost is not acquired again
	leaseEnd     bool // a holder stops when its lease has expired
}

var guardsOff guards
