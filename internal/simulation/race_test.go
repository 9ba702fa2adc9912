//go:build race

// Runs of the simulator are skipped under the race detector: a run uses one thread, so the detector can
// find nothing, and it makes the long runs ten times slower.
package simulation

const raceEnabled = true
