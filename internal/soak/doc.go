// Package soak runs a fleet of real processes on this machine under troubles that overlap, and judges it
// by what callers, upstreams and operators see.
//
// A run is drawn from a seed: kills of many processes at once, freezes, graceful stops, reloads and
// restarts, in series, while callers keep using their open connections, upstreams make requests of their
// own, sign off and come back, and operators write valid and invalid configurations at the same time and
// read them back. At the end the troubles stop; once every process is back, all rules apply without an
// excuse. Then the last keys are taken away.
//
// The simulator and the users' bench run one thread at a time. A soak uses several processors, so it meets
// what needs threads that run side by side. Real time makes a run with the same seed similar, not equal.
package soak
