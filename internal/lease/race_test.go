//go:build race

package lease_test

// raceEnabled reports whether the race detector is enabled. Tests skip long walks under it: a walk is
// single-threaded, so the detector has nothing to find, and it makes the walks ten times slower.
const raceEnabled = true
