//go:build !race

// The other half of race_test.go: without the detector every run is played.
package simulation

const raceEnabled = false
