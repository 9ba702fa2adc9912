//go:build !race

package configstore_test

// raceEnabled reports whether the race detector is enabled; see race_test.go.
const raceEnabled = false
