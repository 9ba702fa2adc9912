package quorum

// Names of the events that this package writes to the journal.
const (
	eventIdentityMade       = "voter-identity-made"
	eventIdentityDropped    = "voter-identity-dropped"
	eventProposed           = "voter-proposed"
	eventSpreadInsufficient = "voter-spread-insufficient"
	eventGroupFormed        = "group-formed"
	eventFormedWithout      = "group-formed-without"
	eventClaimed            = "voter-claimed"
	eventClaimDropped       = "voter-claim-dropped"
	eventReplaced           = "voter-replaced"
	eventRecovered          = "voter-recovered"
	eventLost               = "voter-lost"
	eventRemoved            = "voter-removed"
	eventLeaving            = "voter-leaving"
	eventReleased           = "voter-released"
)
