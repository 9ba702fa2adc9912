// Package safeguard names the checks that keep requests safe (docs/request-safety.md lists each with
// its reason). All are in force in every program. A test may switch one off, to show that its model or
// its simulated run fails without it; a test of this package verifies that only test files do so.
package safeguard

import "sync/atomic"

// Guard names one check.
type Guard int

// The checks, in the order of docs/request-safety.md.
const (
	// AnswerOfAnother skips an answer that names another request.
	AnswerOfAnother Guard = iota
	// AnswerWithoutName accepts no answer without a name where the request has one.
	AnswerWithoutName
	// QuietConnection reuses an idle connection only while nothing has arrived on it.
	QuietConnection
	// BytesBehind reuses no connection on which more arrived than the answer.
	BytesBehind
	// WholeAnswer accepts an answer only when its end can be recognised and has arrived.
	WholeAnswer
	// HiddenPromise accepts no status that means "not run" from an upstream that does not say so.
	HiddenPromise
	// OnceOnly retries no request that may have run, where its route does not allow it.
	OnceOnly
	// NoPromiseAfterRun answers "not run" only while no attempt may have run.
	NoPromiseAfterRun
	// MostUpstreams sends a request to no more upstreams than its route allows.
	MostUpstreams
	// BarredQuestion starts no request whose outcome was asked for before it arrived.
	BarredQuestion
	// NeverAttached reports "not started" for a lost connection only if it was never established.
	NeverAttached
	// OtherLife lets no later incarnation of a serving proxy answer for an earlier one.
	OtherLife
	guardCount
)

var disabled [guardCount]atomic.Bool

// On reports whether the check is in force.
func (g Guard) On() bool { return !disabled[g].Load() }

// Test is the part of a running test that Without needs.
type Test interface {
	Cleanup(func())
	Helper()
}

// Without switches one check off until the test ends. It is for test files only, and not for tests that
// run in parallel.
func Without(test Test, g Guard) {
	test.Helper()
	disabled[g].Store(true)
	test.Cleanup(func() { disabled[g].Store(false) })
}

// All returns every check.
func All() []Guard {
	all := make([]Guard, guardCount)
	for number := range all {
		all[number] = Guard(number)
	}
	return all
}

// guardNames are the guards' guardNames, as docs/request-safety.md writes them.
var guardNames = [guardCount]string{"AnswerOfAnother", "AnswerWithoutName", "QuietConnection", "BytesBehind", "WholeAnswer", "HiddenPromise",
	"OnceOnly", "NoPromiseAfterRun", "MostUpstreams", "BarredQuestion", "NeverAttached", "OtherLife"}

// String returns the name as docs/request-safety.md writes it.
func (g Guard) String() string { return guardNames[g] }
