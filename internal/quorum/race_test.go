//go:build race

// Every walk runs in a single goroutine, so that the race detector can find nothing in it, and the detector makes the
// long tests ten times slower. They are skipped when it is enabled.
package quorum_test

const raceEnabled = true
