// Package safeguard defines a switch for each check that keeps requests safe (docs/request-safety.md lists
// the checks with their reasons). All checks are enabled in every program. A test may disable one to show
// that its model or simulation detects the violation; a test of this package verifies that only test files
// do so.
package safeguard

import "sync/atomic"

// Guard identifies one check.
type Guard int

// The checks, in the order of docs/request-safety.md.
const (
	// AnswerOfAnother discards a response that names another request.
	AnswerOfAnother Guard = iota
	// AnswerWithoutName rejects a response without a request name if the request has one.
	AnswerWithoutName
	// QuietConnection reuses an idle connection only if no data has arrived on it since the last response.
	QuietConnection
	// BytesBehind doesn't reuse a connection on which more data than the response arrived.
	BytesBehind
	// WholeAnswer accepts a response only if its end is defined by its framing and has arrived.
	WholeAnswer
	// HiddenPromise doesn't take an ambiguous status as proof that the upstream did not run the request.
	HiddenPromise
	// OnceOnly doesn't retry a request that may have run if its route forbids it.
	OnceOnly
	// NoPromiseAfterRun responds "not run" only if no attempt may have run.
	NoPromiseAfterRun
	// MostUpstreams sends a request to no more upstreams than its route allows.
	MostUpstreams
	// BarredQuestion doesn't start a request whose outcome was queried before the request arrived.
	BarredQuestion
	// NeverAttached reports "not started" for a lost connection only if the connection was never established.
	NeverAttached
	// OtherLife prevents a serving proxy from reporting outcomes on behalf of its earlier incarnations.
	OtherLife
	guardCount
)

var disabled [guardCount]atomic.Bool

// On reports whether the check is enabled.
func (g Guard) On() bool { return !disabled[g].Load() }

// Test is the subset of testing.TB that Without needs.
type Test interface {
	Cleanup(func())
	Helper()
}

// Without disables one check until the test ends. It must be called only by tests, and not by tests that
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

// guardNames are the names of the checks, as docs/request-safety.md writes them.
var guardNames = [guardCount]string{"AnswerOfAnother", "AnswerWithoutName", "QuietConnection", "BytesBehind", "WholeAnswer",
	"HiddenPromise", "OnceOnly", "NoPromiseAfterRun", "MostUpstreams", "BarredQuestion", "NeverAttached", "OtherLife"}

// String returns the name as docs/request-safety.md writes it.
func (g Guard) String() string { return guardNames[g] }
