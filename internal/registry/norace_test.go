//go:build !race

// Without the race detector every walk is played; race_test.go says why not with it.
package registry_test

const racing = false
