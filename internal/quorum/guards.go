package quorum

// guards disables single rules on which the guarantees of docs/control-safety.md depend. A field that is true
// switches its rule off. A test of this package disables one rule at a time, to show that the exploration finds the
// resulting violation. No setting and no other package can access the fields.
type guards struct {
	oneList      bool // signatures count only if their member list is identical to the receiver's
	writtenList  bool // a process signs and counts nothing while it writes a newer member list
	majority     bool // a decision needs acknowledgements from more than half of the voters
	enoughGrants bool // a claimant needs f+1 grants
	grantsAlike  bool // the grants of a claim must have identical member lists
	grantedState bool // a claimant merges the states of its granters before it votes
	vacated      bool // only a holder that is dead, has left, claims again or names the claimant as successor is replaced
	writtenGrant bool // a granter syncs the newer member list before it sends the grant
	writtenStand bool // a new voter syncs its state before it votes
}

// guardsOff holds the rules that are switched off; none are outside tests.
var guardsOff guards
