//go:build race

// A walk is single-threaded, so the race detector has nothing to find in it, and it makes the long runs ten times
// slower. Tests with long runs are skipped under the detector.
package explore

// racing reports whether the race detector is on.
const racing = true
