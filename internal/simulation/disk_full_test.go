package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The disk of each core machine refuses writes for a time, one after the other. Without recovery in the
// running process, the second full disk would leave the core without a majority permanently.
func TestFullDisksInTurn(t *testing.T) {
	for _, deployment := range []string{"umuyoboro", "jendela"} {
		for seed := range uint64(1) {
			result := playScenario(t, deployment, "disks-full-in-turn", seed)
			qt.Assert(t, result.Review.Seen["danger: machines built anew after a disk refused writes"] >= 3, qt.IsTrue,
				qt.Commentf("%v", result.Review.Seen))
		}
	}
}
