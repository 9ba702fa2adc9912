//go:build !race

// The other half of race_test.go: without the detector every run is played.
package registry_test

const racing = false
