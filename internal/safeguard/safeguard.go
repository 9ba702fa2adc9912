// Package safeguard names the checks on which the promises to callers rest, one name for
// each (docs/request-safety.md lists them with their reasons). All are in force in every
// program. A test may take one out, to show that its model or its simulated run turns red
// without it; a test of this package holds that nothing but test files does so.
package safeguard

import "sync/atomic"

// Guard names one check.
type Guard int

// The checks, in the order of docs/request-safety.md.
const (
	// AnswerOfAnother passes over an answer that bears another request's name.
	AnswerOfAnother Guard = iota
	// AnswerWithoutName takes no answer that names no request, where the request has a name.
	AnswerWithoutName
	// QuietConnection uses a kept connection only while nothing has come on it.
	QuietConnection
	// BytesBehind keeps no connection on which more came than the answer.
	BytesBehind
	// WholeAnswer takes an answer only when its end can be told and has come.
	WholeAnswer
	// HiddenPromise takes no status that promises "not run" from an upstream that does not say so.
	HiddenPromise
	// OnceOnly sends no request again that may have run, where its route does not allow it.
	OnceOnly
	// NoPromiseAfterRun promises "not run" only while no attempt may have run.
	NoPromiseAfterRun
	// MostUpstreams offers a request to no more upstreams than its route allows.
	MostUpstreams
	// BarredQuestion lets no request start that was asked about before it came.
	BarredQuestion
	// NeverAttached says "not started" of a lost connection only if it never came about.
	NeverAttached
	// OtherLife lets no later life of a serving proxy speak for an earlier one.
	OtherLife
	guards
)

var off [guards]atomic.Bool

// On says that the check is in force.
func (g Guard) On() bool { return !off[g].Load() }

// Test is the part of a running test that Without needs.
type Test interface {
	Cleanup(func())
	Helper()
}

// Without takes one check out until the test ends. Only for test files, and never beside
// tests that run at the same time.
func Without(test Test, g Guard) {
	test.Helper()
	off[g].Store(true)
	test.Cleanup(func() { off[g].Store(false) })
}

// All lists every check.
func All() []Guard {
	list := make([]Guard, guards)
	for number := range list {
		list[number] = Guard(number)
	}
	return list
}

var names = [guards]string{"AnswerOfAnother", "AnswerWithoutName", "QuietConnection", "BytesBehind", "WholeAnswer", "HiddenPromise",
	"OnceOnly", "NoPromiseAfterRun", "MostUpstreams", "BarredQuestion", "NeverAttached", "OtherLife"}

// String is the name as docs/request-safety.md writes it.
func (g Guard) String() string { return names[g] }
