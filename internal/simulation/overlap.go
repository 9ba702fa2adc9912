package simulation

import (
	"math/rand/v2"
	"strings"
	"time"

	"beaconvane/internal/workload"
)

// tolerated is how many disks of the core may be lost at once. The scenarios of overlapping losses
// stay within it, and go beyond what the voters are placed to survive otherwise: machines that return
// with and without their disks at once, power lost everywhere, a core in two halves.
func tolerated(d workload.Deployment) int { return (len(d.CoreNames()) - 1) / 2 }

// disksLostAllOffPlan ends a day as the users' closing fault does: right behind an
// acknowledgement as many disks as may be lost are, and every other machine of the fleet
// loses power at the same moment. All come back, each after a while of its own.
func disksLostAllOffPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: span(random, 9, 10), Do: "order-steadily", For: 6 * time.Second}}
	at, down := span(random, 13, 15), span(random, 0.3, 3)
	chosen := random.Perm(len(d.CoreNames()))
	for place, index := range chosen {
		do := "kill"
		if place < tolerated(d) {
			do = "kill-disk"
		}
		plan = append(plan, Step{At: at + span(random, 0, 0.004), Do: do, Target: d.CoreNames()[index], For: down + span(random, 0, 0.3)})
	}
	for number := range d.Proxies {
		plan = append(plan, Step{At: at + span(random, 0, 0.004), Do: "kill", Target: edgeName(number), For: down + span(random, 0, 0.3)})
	}
	return append(plan, Step{At: at + down + span(random, 5, 9), Do: "put"})
}

// lossesOverlapPlan loses up to as many disks as may be lost, and kills other core machines
// around them, so that at times fewer than a majority are up; all come back in any order.
func lossesOverlapPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: 9 * time.Second, Do: "order-steadily", For: 20 * time.Second}}
	at := span(random, 11, 12)
	chosen := random.Perm(len(d.CoreNames()))
	wiped := 1 + random.IntN(tolerated(d))
	for place, index := range chosen {
		target := d.CoreNames()[index]
		begins, away := at+span(random, 0, 3), span(random, 0.3, 7)
		switch {
		case place < wiped:
			plan = append(plan, Step{At: begins, Do: "kill-disk", Target: target, For: away})
		case random.IntN(3) > 0:
			plan = append(plan, Step{At: begins, Do: "kill", Target: target, For: away})
		case random.IntN(2) == 0:
			plan = append(plan, Step{At: begins, Do: "cut-core", Target: target, For: away})
		}
	}
	return append(plan, Step{At: at + span(random, 12, 14), Do: "put"})
}

// coreHalvedPlan cuts the core machines into two halves, twice, while orders go to both
// and keys are withdrawn; everybody else reaches both.
func coreHalvedPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{}
	for _, from := range []float64{10, 19} {
		names := append([]string{}, d.CoreNames()...)
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		half := strings.Join(names[:1+random.IntN(len(names)-1)], ",")
		at := span(random, from, from+2)
		plan = append(plan, Step{At: at, Do: "halve-core", Target: half, For: span(random, 2, 7)},
			Step{At: at + span(random, 0, 1), Do: "order-at-all-sides", For: span(random, 2, 5)},
			Step{At: at + span(random, 0, 2), Do: "withdraw"})
	}
	return plan
}

// manyRoutes is how many routes the large configurations have, about as on the users' grown
// sites; each order changes a few of them.
const manyRoutes = 1900

// largeOrdersEvery is the time between the orders of large configurations.
const largeOrdersEvery = 150 * time.Millisecond

// takenAgainWithin is how soon an order has to be taken once all core machines are back.
const takenAgainWithin = 2500 * time.Millisecond

// largeAllOffPlan has a large configuration change steadily while all core machines lose
// power, and later all proxies too.
func largeAllOffPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: 9 * time.Second, Do: "order-large", For: 18 * time.Second}}
	at, down := span(random, 14, 15), span(random, 0.4, 1)
	plan = append(plan, Step{At: at, Do: "kill-core", For: down}, Step{At: at + down, Do: "taken-again"})
	at = at + span(random, 6, 7)
	for number := range d.Proxies {
		plan = append(plan, Step{At: at, Do: "kill", Target: edgeName(number), For: down})
	}
	return plan
}

// orderLarge sends an order for a configuration of many routes.
func (w *World) orderLarge() {
	w.versions++
	tenants := w.options.Deployment.Tenants()[:w.tenants]
	body := w.options.Deployment.Configuration(tenants, manyRoutes+int(w.versions%8))
	w.persist(w.newOrder(w.versions, tenants, body, nil))
}

// takenAgain holds the core to its return: an order is taken in time.
func (w *World) takenAgain() {
	before := w.newestAcked
	w.dangers["returns of the whole core with a large configuration"]++
	w.after(takenAgainWithin, func() {
		if w.newestAcked == before {
			w.fail("no order was taken for %s after all core machines were back", takenAgainWithin)
		}
	})
}

// overlapSteps returns the steps of the scenarios of overlapping losses, by the name that plans use.
func overlapSteps() map[string]fault {
	return map[string]fault{
		"order-large": func(w *World, step Step) { w.repeat(largeOrdersEvery, w.now+step.For, w.orderLarge) },
		"taken-again": func(w *World, _ Step) { w.takenAgain() },
		"halve-core":  (*World).halveCore,
	}
}

// halveCore cuts the core machines of a list from the others.
func (w *World) halveCore(step Step) {
	half := strings.Split(step.Target, ",")
	rest := w.cores()
	for _, machine := range half {
		rest = without(rest, machine)
	}
	w.dangers["cores in two halves"]++
	w.cutBetween(half, rest, true, step.For)
}
