package quorum

// guards are the rules that keep the promises of docs/control-safety.md. A test of this package may switch one
// off at a time, to show that the exploration finds what goes wrong without it. No setting and no other package
// reaches them. A field that is true switches its rule off.
type guards struct {
	oneList      bool // signatures count only with the very same member list
	writtenList  bool // nothing is signed or counted while a newer list is written
	majority     bool // more than half of the voters decide
	enoughGrants bool // a newcomer needs f+1 grants
	grantsAlike  bool // these grants are on one member list
	grantedState bool // a newcomer takes the state that its granters tell
	vacated      bool // only a holder that is gone, or names its successor, is replaced
	writtenGrant bool // a granter writes the newer list before it grants
	writtenStand bool // a newcomer writes its state before it votes
}

var guardsOff guards
