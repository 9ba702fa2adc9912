//go:build race

package registry_test

// raceEnabled is true: the exploration is skipped. Each of its walks runs on a single goroutine, so
// that the race detector has nothing to find, and the detector makes the long runs ten times
// slower.
const raceEnabled = true
