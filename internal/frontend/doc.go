// Package frontend is the caller's side of a proxy's traffic. A request passes through it in
// steps, each in files of its own:
//
//   - http.go reads it whole and waits for its answer;
//   - admission.go authenticates it, finds its route and authorizes its caller;
//   - selection.go chooses an upstream by what upstreamstats.go has learned;
//   - forward.go and dispatcher.go send an attempt to that upstream's serving proxy;
//   - outcome.go and retry.go decide, by the attempt's outcome, on the answer or another attempt,
//     within the budget of retrybudget.go.
//
// The Frontend takes these decisions under one short lock and with the time given to it. The
// Dispatcher carries a request from step to step, and at the serving proxy passes forwarded
// requests to the backend. The Pipeline runs the Dispatcher in a real process.
//
// Two invariants hold (docs/request-safety.md argues them): a request that has begun at an
// upstream is never begun again on a once-only route unless its serving proxy said that it had
// not started; and an answer that promises that nothing ran is given only where nothing ran.
package frontend
