package statemachine

import "math/rand/v2"

// Sequences start between minSequenceStart and maxSequenceStart, so that counting up doesn't overflow.
const (
	minSequenceStart = 1 << 32
	maxSequenceStart = 1 << 62
)

// sequenceSeedMask is XORed into the seed of an Env, so that its sequences and its random source differ.
const sequenceSeedMask = 0xd1b54a32d192ed03

// Sequence numbers the requests that a machine sends, so that it can match the answers to them. An
// answer to a request of an earlier run of the process may arrive after a restart. It must not match a
// request of this run, so a sequence starts at a random number, which two runs don't share. The zero
// value is ready to use.
type Sequence struct{ last int64 }

// Next returns the next number. It is never 0.
func (s *Sequence) Next(env *Env) int64 {
	if s.last == 0 {
		s.last = env.sequenceStart()
	}
	s.last++
	return s.last
}

// Last returns the number that Next returned last, or 0 before the first.
func (s *Sequence) Last() int64 { return s.last }

// sequenceStart returns a random number before the first one of a sequence. It doesn't draw from Random,
// so that starting a sequence doesn't change the machine's other random choices.
func (e *Env) sequenceStart() int64 {
	return minSequenceStart + e.sequenceStarts.Int64N(maxSequenceStart-minSequenceStart)
}

// newSequenceStarts returns the random source of sequence starts for the seed of an Env.
func newSequenceStarts(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed^sequenceSeedMask, seed))
}
