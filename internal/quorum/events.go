package quorum

// Names of the events that this package writes to the journal.
const (
	eventIdentityCreated    = "voter-identity-made"
	eventIdentityDropped    = "voter-identity-dropped"
	eventProposed           = "voter-proposed"
	eventSpreadInsufficient = "voter-spread-insufficient"
	eventGroupFormed        = "group-formed"
	eventGroupFormedWithout = "group-formed-without"
	eventClaimed            = "voter-claimed"
	eventClaimDropped       = "voter-claim-dropped"
	eventReplaced           = "voter-replaced"
	eventRecovered          = "voter-recovered"
	eventVoterLost          = "voter-lost"
	eventRemoved            = "voter-removed"
	eventLeaving            = "voter-leaving"
	eventReleased           = "voter-released"
)
