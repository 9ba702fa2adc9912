package simulation

import (
	"math/rand/v2"

	"beaconvane/internal/workload"
)

// anyControl draws steps of the control scenarios for random plans: one kind of operators (on all
// sides of a cut, with conflicting contents, with lost answers, sending again), and now and then a
// core machine that is cut off.
func anyControl(d workload.Deployment, random *rand.Rand) []Step {
	at, length := span(random, 9, 16), span(random, 4, 9)
	plan := []Step{}
	switch random.IntN(4) {
	case 0:
		plan = append(plan, Step{at, "rival-orders", "", length}, Step{at, "lose-answers", "", length})
	case 1:
		plan = append(plan, Step{at, "orders-at-once", "", length},
			Step{at, "lose-answers", "", length},
			Step{at, "resend-orders", "", length})
	case 2:
		plan = append(plan, Step{at, "order-at-all-sides", "", length})
	default:
		plan = append(plan, Step{at, "order-steadily", "", length})
	}
	if random.IntN(2) == 0 {
		kind := []string{"sever", "sever-out", "sever-in"}[random.IntN(3)]
		plan = append(plan, Step{at + span(random, 0, 2), kind, core(d, random), span(random, 2, 8)})
	}
	return plan
}
