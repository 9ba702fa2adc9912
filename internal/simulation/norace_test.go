//go:build !race

// Without the race detector all runs are executed; see race_test.go.
package simulation

const raceEnabled = false
