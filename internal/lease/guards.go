// This file names the rules that keep the promises of docs/control-safety.md and that a
// test of this package may switch off, one at a time, to show that the exploration finds
// what goes wrong without it. No setting and no other package reaches them.

package lease

// guards are the rules; true is off.
type guards struct {
	syncedVote   bool // a vote is synced before it is granted
	higherEpoch  bool // a voter grants no epoch below the one it promised
	oneHolder    bool // a voter grants an epoch to one holder only
	majorityVote bool // a lease is held once a majority has granted it
	promise      bool // a voter grants no other within a lease's length
	restartWait  bool // a restarted voter waits a lease before it grants another
	spentEpoch   bool // an epoch once lost is not taken again
	leaseEnd     bool // a holder stops when its lease has run out
}

var guardsOff guards
