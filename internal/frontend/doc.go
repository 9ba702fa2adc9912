// Package frontend implements the caller-facing side of a proxy. It processes a request in these
// steps:
//
//   - http.go reads the request, including its body, and waits for the answer;
//   - admission.go authenticates the request, finds its route and authorizes its caller;
//   - selection.go chooses an upstream by the statistics of upstreamstats.go;
//   - forward.go and dispatcher.go send an attempt to that upstream's serving proxy;
//   - outcome.go and retry.go turn the attempt's outcome into the final answer or a retry, within
//     the budget of retrybudget.go.
//
// The Frontend makes these decisions. It holds its lock only briefly, calls no other component while
// it does (package locking has the rule), and receives the current time as an argument. The
// Dispatcher moves a request from step to step and, at the serving proxy, passes forwarded requests to
// the backend. The Pipeline runs the Dispatcher in a real process.
//
// Two invariants hold (docs/request-safety.md has the arguments):
//
//   - On an at-most-once route, a request that an upstream may have started is not sent again,
//     unless the serving proxy reported that the upstream had not started it.
//   - An answer that guarantees that the request did not run is given only if it did not run.
package frontend
