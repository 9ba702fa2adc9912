package statemachine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/statemachine"
)

// Numbers of one run don't match a request of another: sequences of two processes, of two runs of one
// process, and of a machine that is rebuilt within a run have no number in common.
func TestSequencesShareNoNumber(t *testing.T) {
	c := qt.New(t)
	const numbersPerSequence = 100
	seen := map[int64]bool{}
	for seed := range uint64(50) {
		env := statemachine.NewEnv(seed)
		for range 2 {
			sequence := statemachine.Sequence{}
			c.Assert(sequence.Last(), qt.Equals, int64(0))
			previous := sequence.Next(env)
			for range numbersPerSequence {
				number := sequence.Next(env)
				c.Assert(number, qt.Equals, previous+1)
				c.Assert(sequence.Last(), qt.Equals, number)
				c.Assert(seen[number], qt.IsFalse, qt.Commentf("seed %d", seed))
				seen[number], previous = true, number
			}
		}
	}
}

// Starting a sequence leaves the machine's random choices as they are.
func TestSequenceDoesNotDrawFromRandom(t *testing.T) {
	c := qt.New(t)
	plain, numbering := statemachine.NewEnv(1), statemachine.NewEnv(1)
	sequence := statemachine.Sequence{}
	sequence.Next(numbering)
	c.Assert(numbering.Random.Uint64(), qt.Equals, plain.Random.Uint64())
}
