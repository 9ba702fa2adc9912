//go:build race

// A run of the simulator is one thread: there is nothing for the race detector to find,
// and it makes the long runs ten times slower. They are run without it.
package simulation

const raceEnabled = true
