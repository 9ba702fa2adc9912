package simulation

import (
	"math/rand/v2"
	"strings"
	"time"

	"beaconvane/internal/workload"
)

// toleratedDiskLosses returns how many disks of the core may be lost at once. The scenarios of
// overlapping losses stay within this number, but otherwise exceed what the placement of the voters
// covers: machines that return at the same time with and without their disks, a power loss of the whole
// fleet, and a core partitioned into two halves.
func toleratedDiskLosses(d workload.Deployment) int { return (len(d.CoreNames()) - 1) / 2 }

// disksLostAllOffPlan reproduces the final fault of the users' tests: within 4 ms, right after an
// acknowledgement, the tolerated number of disks is lost and every other machine of the fleet loses
// power. All machines return, each after a downtime of its own.
func disksLostAllOffPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: between(random, 9, 10), Do: "order-steadily", For: 6 * time.Second}}
	start, downtime := between(random, 13, 15), between(random, 0.3, 3)
	chosen := random.Perm(len(d.CoreNames()))
	for position, index := range chosen {
		action := "kill"
		if position < toleratedDiskLosses(d) {
			action = "kill-disk"
		}
		plan = append(plan, Step{
			At:     start + between(random, 0, 0.004),
			Do:     action,
			Target: d.CoreNames()[index],
			For:    downtime + between(random, 0, 0.3),
		})
	}
	for number := range d.Proxies {
		plan = append(plan, Step{
			At:     start + between(random, 0, 0.004),
			Do:     "kill",
			Target: proxyMachineName(number),
			For:    downtime + between(random, 0, 0.3),
		})
	}
	return append(plan, Step{At: start + downtime + between(random, 5, 9), Do: "put"})
}

// lossesOverlapPlan loses up to the tolerated number of disks and crashes or partitions other core
// machines around the same time, so that at times no majority is up. All return, in random order.
func lossesOverlapPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: 9 * time.Second, Do: "order-steadily", For: 20 * time.Second}}
	start := between(random, 11, 12)
	chosen := random.Perm(len(d.CoreNames()))
	lostDisks := 1 + random.IntN(toleratedDiskLosses(d))
	for position, index := range chosen {
		target := d.CoreNames()[index]
		crashAt, downtime := start+between(random, 0, 3), between(random, 0.3, 7)
		switch {
		case position < lostDisks:
			plan = append(plan, Step{At: crashAt, Do: "kill-disk", Target: target, For: downtime})
		case random.IntN(3) > 0:
			plan = append(plan, Step{At: crashAt, Do: "kill", Target: target, For: downtime})
		case random.IntN(2) == 0:
			plan = append(plan, Step{At: crashAt, Do: "cut-core", Target: target, For: downtime})
		}
	}
	return append(plan, Step{At: start + between(random, 12, 14), Do: "put"})
}

// corePartitionPlan partitions the core machines into two groups, twice, while operators write to
// registries of the core and withdraw keys. All other machines reach both groups.
func corePartitionPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{}
	for _, from := range []float64{10, 19} {
		names := append([]string{}, d.CoreNames()...)
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		half := strings.Join(names[:1+random.IntN(len(names)-1)], ",")
		start := between(random, from, from+2)
		plan = append(plan, Step{At: start, Do: "halve-core", Target: half, For: between(random, 2, 7)},
			Step{At: start + between(random, 0, 1), Do: "order-at-all-sides", For: between(random, 2, 5)},
			Step{At: start + between(random, 0, 2), Do: "withdraw"})
	}
	return plan
}

// largeConfigurationRoutes is the number of routes of the large configurations, about as many as on the
// users' largest sites. Each write changes a few of them.
const largeConfigurationRoutes = 1900

// largeWriteInterval is the time between writes of large configurations.
const largeWriteInterval = 150 * time.Millisecond

// writeAcceptedWithin is the time within which a write must be accepted once all core machines are back.
const writeAcceptedWithin = 2500 * time.Millisecond

// largeAllOffPlan changes a large configuration periodically while all core machines lose power, and
// later all proxies.
func largeAllOffPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{{At: 9 * time.Second, Do: "order-large", For: 18 * time.Second}}
	start, downtime := between(random, 14, 15), between(random, 0.4, 1)
	plan = append(plan, Step{At: start, Do: "kill-core", For: downtime}, Step{At: start + downtime, Do: "taken-again"})
	start = start + between(random, 6, 7)
	for number := range d.Proxies {
		plan = append(plan, Step{At: start, Do: "kill", Target: proxyMachineName(number), For: downtime})
	}
	return plan
}

// writeLargeConfiguration writes a configuration of many routes.
func (w *World) writeLargeConfiguration() {
	w.lastVersion++
	tenants := w.options.Deployment.Tenants()[:w.tenantCount]
	body := w.options.Deployment.Configuration(tenants, largeConfigurationRoutes+int(w.lastVersion%8))
	w.retryWrite(w.newConfigWrite(w.lastVersion, tenants, body, nil))
}

// expectWriteAccepted checks that a write is acknowledged within writeAcceptedWithin.
func (w *World) expectWriteAccepted() {
	before := w.newestAcknowledged
	w.dangers["returns of the whole core with a large configuration"]++
	w.after(writeAcceptedWithin, func() {
		if w.newestAcknowledged == before {
			w.fail("no write was accepted for %s after all core machines were back", writeAcceptedWithin)
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

// partitionCore partitions the core machines listed in the target, separated by commas, from the others.
func (w *World) partitionCore(step Step) {
	left := strings.Split(step.Target, ",")
	right := w.coreMachines()
	for _, machine := range left {
		right = without(right, machine)
	}
	w.dangers["cores in two halves"]++
	w.cutLinksBetween(left, right, true, step.For)
}
