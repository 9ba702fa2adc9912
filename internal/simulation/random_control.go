package simulation

import (
	"math/rand/v2"

	"beaconvane/internal/workload"
)

// randomControlSteps draws steps of the scenarios of configuration writes for random plans: one kind of operator
// behaviour (writes on both sides of a partition, conflicting contents, lost answers, repeated writes),
// and in half of the plans a partitioned core machine.
func randomControlSteps(d workload.Deployment, random *rand.Rand) []Step {
	start, duration := between(random, 9, 16), between(random, 4, 9)
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
		plan = append(plan, Step{start + between(random, 0, 2), kind, randomCoreMachine(d, random), between(random, 2, 8)})
	}
	return plan
}
