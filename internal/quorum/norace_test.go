//go:build !race

// Without the race detector no test is skipped; see race_test.go.
package quorum_test

const raceEnabled = false
