package checker

// rule names a promise of the mesh. Reports and tests know the promises by these texts.
type rule string

// The promises, each named for the fault that breaks it.
const (
	// ranTwice: a request marked "once" runs at most once.
	ranTwice rule = "once"
	// busyRan: a request that was answered as busy ran nowhere.
	busyRan rule = "busy-ran"
	// noRetryAfter: a busy answer has a Retry-After header.
	noRetryAfter rule = "retry-after"
	// foreignAnswer: an answer that is not the mesh's own is, byte for byte, that of a run.
	foreignAnswer rule = "own-answer"
	// answerHeldBack: a complete answer reaches its caller within Bounds.ResponseDelay.
	answerHeldBack rule = "answer-hold"
	// answerLost: an answer that an upstream sent completely reaches its caller, unless a machine
	// on its way failed; a polite stop of a proxy loses no request.
	answerLost rule = "dropped"
	// strayRun: an upstream runs only what a caller sent.
	strayRun rule = "stray"
	// wrongIdentity: an upstream sees the request's own tenant and caller.
	wrongIdentity rule = "identity"
	// keySeen: an upstream never sees a tenant's key.
	keySeen rule = "key-seen"
	// wrongService: a request runs at its own service, as some configuration allowed.
	wrongService rule = "landing"
	// configurationLate: an acknowledged version is in force on each connected node within
	// Bounds.ConfigurationInForce.
	configurationLate rule = "configuration-late"
	// configurationSlip: a node goes back to no older version after Bounds.RollbackWindow.
	configurationSlip rule = "configuration-slip"
	// configurationLost: each voter returns the very bytes of every acknowledged version.
	configurationLost rule = "configuration-lost"
	// keyLate: a withdrawn key stops working within Bounds.KeyWithdrawal.
	keyLate rule = "key-late"
	// drainLate: a draining upstream gets no new request after Bounds.Drain.
	drainLate rule = "drain-late"
	// slotsExceeded: an upstream never runs more at one time than it has slots.
	slotsExceeded rule = "slots"
	// retryShareExceeded: retries stay below Bounds.RetryShare of the first attempts.
	retryShareExceeded rule = "retry-share"
	// usageLate: a usage window is reported within Bounds.UsageReportDelay of its end.
	usageLate rule = "usage-late"
	// usageChanged: a usage window has the same counts each time that it is reported or read.
	usageChanged rule = "usage-twice"
	// usageMissing: every usage window with answers is reported, and the windows have no gap.
	usageMissing rule = "usage-missing"
	// usageOff: a usage window's counts are within Bounds.UsageError of what callers saw.
	usageOff rule = "usage-off"
	// leaseFlapped: a voter gets a lease back from another only after Bounds.HolderCooldown.
	leaseFlapped rule = "back-and-forth"
	// twoHolders: an epoch of a lease has one holder.
	twoHolders rule = "two-holders"
	// staleAct: no holder acts once the holder of a higher epoch has.
	staleAct rule = "stale-act"
)

// figure names a measured value whose worst case a Review keeps.
type figure string

// The figures.
const (
	answerHoldMS    figure = "answer-hold-ms"
	configurationMS figure = "configuration-in-force-ms"
	keyWithdrawalMS figure = "key-withdrawal-ms"
	drainMS         figure = "drain-ms"
	slotsUsed       figure = "slots-used" // share of the slots
	retryShare      figure = "retry-share"
	usageLateMS     figure = "usage-late-ms"
	usageDeviation  figure = "usage-off" // share of the counts
)

// event names what a Review counts.
type event string

// The events.
const (
	requestSent           event = "asked"
	noAnswer              event = "no answer"
	busyAnswer            event = "busy"
	upstreamAnswer        event = "answered"
	otherAnswer           event = "refused or unknown"
	unknownOutcome        event = "unknown"
	answerOverFailure     event = "answers over a frozen or cut machine"
	answerLostWithMachine event = "answers lost with a machine"
	runSeen               event = "ran"
	politeStop            event = "polite stops"
	configurationArrival  event = "configuration arrivals"
	versionReadBack       event = "versions read back"
	withdrawnKeyRun       event = "withdrawn key runs"
	drainSeen             event = "drains"
	attemptAgain          event = "tries again"
	retrySeen             event = "retries seen"
	usageReport           event = "usage reports"
	windowReadBack        event = "windows read back"
	leaseSeen             event = "leases"
	leaseTakeover         event = "takeovers"
	leaseAct              event = "holder acts"
	readinessChecked      event = "asked whether ready"
)
