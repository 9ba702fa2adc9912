//go:build !race

// The counterpart of race_test.go: without the race detector all runs are made.
package explore

// racing reports whether the race detector is on.
const racing = false
