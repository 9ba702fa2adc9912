package simulation

import (
	"math/rand/v2"

	"beaconvane/internal/workload"
)

// anyControl draws steps of the control scenarios for random plans: one kind of operators (on all
// sides of a cut, with conflicting contents, with lost answers, sending again), and now and then a
// core machine that is cut off.
func randomControlSteps(d workload.Deployment, random *rand.Rand) []Step {
	start, duration := randomDuration(random, 9, 16), randomDuration(random, 4, 9)
	plan := []Step{}
	switch random.IntN(4) {
	case 0:
		plan = append(plan, Step{start, "rival-orders", "", duration}, Step{start, "lose-answers", "", duration})
	case 1:
		plan = append(plan, Step{start, "orders-at-once", "", duration},
			Step{start, "lose-answers", "", duration},
			Step{start, "resend-orders", "", duration})
	case 2:
		plan = append(plan, Step{start, "order-at-all-sides", "", duration})
	default:
		plan = append(plan, Step{start, "order-steadily", "", duration})
	}
	if random.IntN(2) == 0 {
		kind := []string{"sever", "sever-out", "sever-in"}[random.IntN(3)]
		plan = append(plan, Step{start + randomDuration(random, 0, 2), kind, randomCoreMachine(d, random), randomDuration(random, 2, 8)})
	}
	return plan
}
