//go:build race

// A walk is one thread: there is nothing for the race detector to find,
// and it makes the long runs ten times slower. They are run without it.
package registry_test

const racing = true
