package checker

// rule is the name of a guarantee of the mesh, by which reports and tests identify it.
type rule string

// Rules. Each constant is named for the violation.
const (
	// onceRequestRanTwice: a request marked "once" runs at most once.
	onceRequestRanTwice rule = "once"
	// busyRequestRan: a request that was answered as busy ran nowhere.
	busyRequestRan rule = "busy-ran"
	// noRetryAfter: a busy answer has a Retry-After header.
	noRetryAfter rule = "retry-after"
	// answerOfNoRun: an answer without an error code of the mesh equals, byte for byte, the answer that
	// one of the request's runs sent.
	answerOfNoRun rule = "own-answer"
	// answerDelayed: a complete answer reaches its caller within Bounds.ResponseDelay.
	answerDelayed rule = "answer-hold"
	// answerLost: an answer that an upstream sent completely reaches its caller, unless a machine
	// on its path failed; a graceful stop of a proxy loses no request.
	answerLost rule = "dropped"
	// runOfUnknownRequest: an upstream runs only requests that a caller sent.
	runOfUnknownRequest rule = "stray"
	// wrongIdentity: an upstream receives the tenant and caller of the request.
	wrongIdentity rule = "identity"
	// keyExposed: an upstream never receives a tenant's key.
	keyExposed rule = "key-seen"
	// wrongTarget: a request runs at the service that it was sent for, and some acknowledged
	// configuration routes its route to that service.
	wrongTarget rule = "landing"
	// configurationLate: an acknowledged version is in force on each connected node within
	// Bounds.ConfigurationInForce.
	configurationLate rule = "configuration-late"
	// configurationRolledBack: a node returns to no older version after Bounds.RollbackWindow.
	configurationRolledBack rule = "configuration-slip"
	// configurationLost: each voter returns every acknowledged version that it has to retain, byte for
	// byte.
	configurationLost rule = "configuration-lost"
	// withdrawnKeyAccepted: a withdrawn key is rejected after Bounds.KeyWithdrawal.
	withdrawnKeyAccepted rule = "key-late"
	// requestAfterDrain: a draining upstream receives no new request after Bounds.Drain.
	requestAfterDrain rule = "drain-late"
	// slotsExceeded: an upstream never runs more requests concurrently than it has slots.
	slotsExceeded rule = "slots"
	// retryShareExceeded: in any Bounds.RetryWindow there are at most Bounds.RetryShare times as many
	// retries as first attempts, plus Bounds.RetryAllowance.
	retryShareExceeded rule = "retry-share"
	// usageLate: a usage window is reported within Bounds.UsageReportDelay of its end.
	usageLate rule = "usage-late"
	// usageChanged: every report and every read of a usage window has the same counts.
	usageChanged rule = "usage-twice"
	// usageMissing: every usage window with answers is reported, and the reported windows are
	// consecutive.
	usageMissing rule = "usage-missing"
	// usageInaccurate: a usage window's counts deviate by at most Bounds.UsageError from the answers that
	// callers received.
	usageInaccurate rule = "usage-off"
	// leaseFlapped: a voter gets a lease back from another only after Bounds.HolderCooldown.
	leaseFlapped rule = "back-and-forth"
	// twoHolders: an epoch of a lease has a single holder.
	twoHolders rule = "two-holders"
	// staleHolderAction: no holder acts after the holder of a higher epoch has acted.
	staleHolderAction rule = "stale-act"
)

// figure is the name of a measured value whose maximum a Review records.
type figure string

// Figures.
const (
	answerDelayMS   figure = "answer-hold-ms"
	configurationMS figure = "configuration-in-force-ms"
	keyWithdrawalMS figure = "key-withdrawal-ms"
	drainMS         figure = "drain-ms"
	slotsUsed       figure = "slots-used" // running requests as a share of the slots
	retryShare      figure = "retry-share"
	usageLateMS     figure = "usage-late-ms"
	usageDeviation  figure = "usage-off" // as a share of the counts
)

// event is the name of a kind of event that a Review counts.
type event string

// Events.
const (
	requestSent          event = "asked"
	connectionError      event = "no answer"
	busyAnswer           event = "busy"
	upstreamAnswer       event = "answered"
	otherAnswer          event = "refused or unknown"
	unknownOutcome       event = "unknown"
	answerDuringFailure  event = "answers over a frozen or cut machine"
	answerLostInFailure  event = "answers lost with a machine"
	runRecorded          event = "ran"
	gracefulStop         event = "polite stops"
	configurationArrival event = "configuration arrivals"
	versionReadBack      event = "versions read back"
	withdrawnKeyRun      event = "withdrawn key runs"
	drainStarted         event = "drains"
	retrySent            event = "tries again"
	retryRan             event = "retries seen"
	usageReport          event = "usage reports"
	windowReadBack       event = "windows read back"
	leaseTenure          event = "leases"
	leaseTakeover        event = "takeovers"
	holderAction         event = "holder acts"
	readinessChecked     event = "asked whether ready"
)
