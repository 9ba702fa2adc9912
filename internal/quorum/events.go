package quorum

// Events of the journal.
const (
	eventIdentityMade    = "voter-identity-made"
	eventIdentityDropped = "voter-identity-dropped"
	eventProposed        = "voter-proposed"
	eventSpreadLacking   = "voter-spread-lacking"
	eventGroupFormed     = "voter-founded"
	eventFormedWithout   = "voter-founded-without"
	eventClaimed         = "voter-claimed"
	eventClaimDropped    = "voter-claim-dropped"
	eventReplaced        = "voter-replaced"
	eventRecovered       = "voter-recovered"
	eventLost            = "voter-lost"
	eventRemoved         = "voter-shut-out"
	eventLeaving         = "voter-leaving"
	eventReleased        = "voter-released"
)
