//go:build !race

package registry_test

// raceEnabled is false: the exploration runs only without the race detector, for the reason in
// race_test.go.
const raceEnabled = false
