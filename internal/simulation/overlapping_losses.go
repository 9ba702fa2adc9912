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
func toleratedDiskLosses(d workload.Deployment) int { return (len(d.CoreNames()) - 1) / 2 }

// disksLostAllOffPlan ends a day as the users' closing fault does: right behind an
// acknowledgement as many disks as may be lost are, and every other machine of the fleet
// loses power at the same moment. All come back, each after a while of its own.
func disksLostAllOffPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: randomDuration(random, 9, 10), Do: "order-steadily", For: 6 * time.Second}}
	start, downtime := randomDuration(random, 13, 15), randomDuration(random, 0.3, 3)
	chosen := random.Perm(len(d.CoreNames()))
	for position, index := range chosen {
		action := "kill"
		if position < toleratedDiskLosses(d) {
			action = "kill-disk"
		}
		plan = append(plan, Step{At: start + randomDuration(random, 0, 0.004), Do: action, Target: d.CoreNames()[index], For: downtime + randomDuration(random, 0, 0.3)})
	}
	for number := range d.Proxies {
		plan = append(plan, Step{At: start + randomDuration(random, 0, 0.004), Do: "kill", Target: proxyMachineName(number), For: downtime + randomDuration(random, 0, 0.3)})
	}
	return append(plan, Step{At: start + downtime + randomDuration(random, 5, 9), Do: "put"})
}

// lossesOverlapPlan loses up to as many disks as may be lost, and kills other core machines
// around them, so that at times fewer than a majority are up; all come back in any order.
func lossesOverlapPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: 9 * time.Second, Do: "order-steadily", For: 20 * time.Second}}
	start := randomDuration(random, 11, 12)
	chosen := random.Perm(len(d.CoreNames()))
	lostDisks := 1 + random.IntN(toleratedDiskLosses(d))
	for position, index := range chosen {
		target := d.CoreNames()[index]
		crashAt, downtime := start+randomDuration(random, 0, 3), randomDuration(random, 0.3, 7)
		switch {
		case position < lostDisks:
			plan = append(plan, Step{At: crashAt, Do: "kill-disk", Target: target, For: downtime})
		case random.IntN(3) > 0:
			plan = append(plan, Step{At: crashAt, Do: "kill", Target: target, For: downtime})
		case random.IntN(2) == 0:
			plan = append(plan, Step{At: crashAt, Do: "cut-core", Target: target, For: downtime})
		}
	}
	return append(plan, Step{At: start + randomDuration(random, 12, 14), Do: "put"})
}

// coreHalvedPlan cuts the core machines into two halves, twice, while orders go to both
// and keys are withdrawn; everybody else reaches both.
func corePartitionPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{}
	for _, from := range []float64{10, 19} {
		names := append([]string{}, d.CoreNames()...)
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		half := strings.Join(names[:1+random.IntN(len(names)-1)], ",")
		start := randomDuration(random, from, from+2)
		plan = append(plan, Step{At: start, Do: "halve-core", Target: half, For: randomDuration(random, 2, 7)},
			Step{At: start + randomDuration(random, 0, 1), Do: "order-at-all-sides", For: randomDuration(random, 2, 5)},
			Step{At: start + randomDuration(random, 0, 2), Do: "withdraw"})
	}
	return plan
}

// manyRoutes is how many routes the large configurations have, about as on the users' grown
// sites; each order changes a few of them.
const largeConfigurationRoutes = 1900

// largeOrdersEvery is the time between the orders of large configurations.
const largeWriteInterval = 150 * time.Millisecond

// takenAgainWithin is how soon an order has to be taken once all core machines are back.
const writeAcceptedWithin = 2500 * time.Millisecond

// largeAllOffPlan has a large configuration change steadily while all core machines lose
// power, and later all proxies too.
func largeAllOffPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: 9 * time.Second, Do: "order-large", For: 18 * time.Second}}
	start, downtime := randomDuration(random, 14, 15), randomDuration(random, 0.4, 1)
	plan = append(plan, Step{At: start, Do: "kill-core", For: downtime}, Step{At: start + downtime, Do: "taken-again"})
	start = start + randomDuration(random, 6, 7)
	for number := range d.Proxies {
		plan = append(plan, Step{At: start, Do: "kill", Target: proxyMachineName(number), For: downtime})
	}
	return plan
}

// orderLarge sends an order for a configuration of many routes.
func (w *World) writeLargeConfiguration() {
	w.lastVersion++
	tenants := w.options.Deployment.Tenants()[:w.tenantCount]
	body := w.options.Deployment.Configuration(tenants, largeConfigurationRoutes+int(w.lastVersion%8))
	w.retryWrite(w.newConfigWrite(w.lastVersion, tenants, body, nil))
}

// takenAgain holds the core to its return: an order is taken in time.
func (w *World) expectWriteAccepted() {
	before := w.newestAcknowledged
	w.dangers["returns of the whole core with a large configuration"]++
	w.after(writeAcceptedWithin, func() {
		if w.newestAcknowledged == before {
			w.fail("no order was taken for %s after all core machines were back", writeAcceptedWithin)
		}
	})
}

// overlapSteps returns the steps of the scenarios of overlapping losses, by the name that plans use.
func overlapSteps() map[string]fault {
	return map[string]fault{
		"order-large": func(w *World, step Step) { w.repeat(largeWriteInterval, w.now+step.For, w.writeLargeConfiguration) },
		"taken-again": func(w *World, _ Step) { w.expectWriteAccepted() },
		"halve-core":  (*World).partitionCore,
	}
}

// halveCore cuts the core machines of a list from the others.
func (w *World) partitionCore(step Step) {
	left := strings.Split(step.Target, ",")
	right := w.coreMachines()
	for _, machine := range left {
		right = without(right, machine)
	}
	w.dangers["cores in two halves"]++
	w.cutLinksBetween(left, right, true, step.For)
}
