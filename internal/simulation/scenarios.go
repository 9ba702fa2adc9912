package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// Scenarios maps a scenario's name to the function that draws its plan for a deployment. The order of the
// random draws is part of a scenario: changing it changes the plan of every seed.
var Scenarios = map[string]func(d workload.Deployment, random *rand.Rand) []Step{
	"calm":         func(workload.Deployment, *rand.Rand) []Step { return nil },
	"cutoff":       partitionPlan,
	"same-version": sameVersionPlan,
	"second-loss":  secondLossPlan,
	"hundreds":     manyChangesPlan,
	"holder-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		leases := leaseNames(d)
		return []Step{
			{At: between(random, 10, 12), Do: "kill-holder", Target: leases[random.IntN(len(leases))], For: between(random, 1, 6)},
			{At: between(random, 14, 18), Do: "kill-holder", Target: leases[random.IntN(len(leases))], For: between(random, 1, 4)}}
	},
	"edges-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for range 4 {
			plan = append(plan, Step{At: between(random, 9, 20), Do: "kill", Target: randomProxy(d, random), For: between(random, 0.1, 4)})
		}
		return append(plan, Step{At: between(random, 12, 16), Do: "herd", For: between(random, 0.2, 3)})
	},
	"machines-in-turn": func(d workload.Deployment, random *rand.Rand) []Step { return sequentialSteps(d, random, "kill") },
	"stopped-in-turn": func(d workload.Deployment, random *rand.Rand) []Step {
		return append(sequentialSteps(d, random, "stop"), Step{At: between(random, 12, 20), Do: "put"})
	},
	"core-cut": func(_ workload.Deployment, random *rand.Rand) []Step {
		kinds := []string{"cut-core", "cut-core-one-way", "halve"}
		return []Step{
			{At: between(random, 10, 12), Do: kinds[random.IntN(3)], Target: randomVoter(random), For: between(random, 1, 6)},
			{At: between(random, 13, 15), Do: "put"},
			{At: between(random, 18, 20), Do: kinds[random.IntN(3)], Target: randomVoter(random), For: between(random, 1, 5)},
		}
	},
	"isolated": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 10, 12), Do: "isolate", Target: randomProxy(d, random), For: between(random, 1, 8)},
			{At: between(random, 10, 14), Do: "isolate", Target: randomVoter(random), For: between(random, 1, 6)},
			{At: between(random, 12, 14), Do: "withdraw"},
			{At: between(random, 16, 18), Do: "isolate-out", Target: randomProxy(d, random), For: between(random, 1, 5)},
		}
	},
	"freeze": func(d workload.Deployment, random *rand.Rand) []Step {
		leases := leaseNames(d)
		return []Step{
			{At: between(random, 10, 12), Do: "freeze-holder", Target: leases[random.IntN(len(leases))], For: between(random, 0.3, 8)},
			{At: between(random, 12, 15), Do: "freeze", Target: randomProxy(d, random), For: between(random, 0.3, 8)},
			{At: between(random, 13, 14), Do: "withdraw"},
			{At: between(random, 18, 20), Do: "freeze", Target: randomVoter(random), For: between(random, 0.3, 4)},
		}
	},
	"cut-and-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 5 {
			target, at := randomProxy(d, random), between(random, 9+float64(index)*3, 11+float64(index)*3)
			plan = append(plan, Step{At: at, Do: "isolate", Target: target, For: between(random, 0.6, 1.2)},
				Step{At: at + between(random, 0.05, 0.2), Do: "kill", Target: target, For: between(random, 0.1, 0.3)})
		}
		return plan
	},
	"usurped": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 10, 12), Do: "usurp", Target: randomVoter(random), For: between(random, 1, 9)},
			{At: between(random, 12.5, 14), Do: "put"},
			{At: between(random, 14, 17), Do: "kill-holder", Target: settings.ConfigLogLease, For: between(random, 0.5, 2)},
			{At: between(random, 22, 24), Do: "put"},
		}
	},
	"two-disks-lost": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 9, 10), Do: "put"},
			{At: between(random, 12, 13), Do: "kill-disk", Target: workload.Voters[0], For: between(random, 0.3, 2)},
			{At: between(random, 12, 13), Do: "kill-disk", Target: workload.Voters[1], For: between(random, 0.3, 2)},
			{At: between(random, 18, 20), Do: "force-recover", Target: workload.Voters[2]},
			{At: between(random, 24, 25), Do: "put"},
		}
	},
	"restarted-behind-cut": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{
			{At: 10 * time.Second, Do: "halve", Target: randomVoter(random), For: between(random, 5, 9)},
			{At: between(random, 11, 12), Do: "put"},
		}
		for range 5 {
			plan = append(plan, Step{At: between(random, 12, 15), Do: "kill", Target: randomProxy(d, random), For: between(random, 0.2, 1)})
		}
		return plan
	},
	"stale-root": func(d workload.Deployment, random *rand.Rand) []Step {
		chosen := random.IntN(3)
		plan := []Step{
			{At: 10 * time.Second, Do: "cut-core", Target: workload.Voters[chosen], For: between(random, 7, 9)},
			{At: between(random, 11, 12), Do: "withdraw"},
		}
		for number := chosen; number < d.Proxies; number += 3 {
			plan = append(plan, Step{
				At:     between(random, 14.5, 16),
				Do:     "kill",
				Target: fmt.Sprintf("edge-%d", number+1),
				For:    between(random, 0.2, 0.6),
			})
		}
		return plan
	},
	"acked-and-back": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 9, 10), Do: "put-and-kill", For: between(random, 0.25, 0.4)},
			{At: between(random, 15, 16), Do: "put-and-kill", For: between(random, 0.25, 0.4)},
		}
	},
	"acked-and-killed": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 9, 10), Do: "put-and-kill", For: between(random, 0.3, 4)},
			{At: between(random, 16, 18), Do: "put-and-kill-disk", For: between(random, 0.3, 4)},
			{At: between(random, 23, 24), Do: "put"},
		}
	},
	"disks-lost": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 10, 11), Do: "kill-disk", Target: workload.Voters[0], For: between(random, 0.3, 3)},
			{At: between(random, 14, 15), Do: "put"},
			{At: between(random, 18, 19), Do: "kill-disk", Target: workload.Voters[1], For: between(random, 0.3, 3)},
			{At: between(random, 22, 23), Do: "put"},
		}
	},
	"voter-replaced": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 10, 12), Do: "replace-voter", Target: randomVoter(random), For: between(random, 0.3, 4)},
			{At: between(random, 16, 18), Do: "put"},
		}
	},
	"core-replaced": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 10, 12), Do: "replace-core", Target: randomCoreMachine(d, random), For: between(random, 0.3, 4)},
			{At: between(random, 10, 13), Do: "put"},
			{At: between(random, 16, 18), Do: "put"},
		}
	},
	"zones-lost": func(d workload.Deployment, random *rand.Rand) []Step {
		// All core machines of one zone crash at once and return, then those of the next zone.
		plan := []Step{}
		for number, zone := range d.Zones {
			at := 10 + float64(number)*12
			for index, name := range d.CoreNames() {
				if d.CoreZone(index) == zone {
					plan = append(plan, Step{At: between(random, at, at+0.1), Do: "kill", Target: name, For: between(random, 5.5, 6)})
				}
			}
			plan = append(plan, Step{At: between(random, at+3.5, at+4), Do: "put"})
		}
		return plan
	},
	"cores-replaced": func(d workload.Deployment, random *rand.Rand) []Step {
		// One after another, until none of the founding machines is left.
		plan := []Step{}
		for index, name := range d.CoreNames() {
			plan = append(plan, Step{
				At:     between(random, 10+float64(index)*9, 11+float64(index)*9),
				Do:     "replace-core",
				Target: name,
				For:    between(random, 0.3, 2),
			},
				Step{At: between(random, 12+float64(index)*9, 17+float64(index)*9), Do: "put"})
		}
		return plan
	},
	"acked-and-wiped": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 9, 10), Do: "put-and-kill-disk", For: between(random, 0.2, 2)},
			{At: between(random, 18, 19), Do: "put-and-kill-disk", For: between(random, 0.2, 2)},
			{At: between(random, 26, 27), Do: "put"},
		}
	},
	"core-replaced-one-away": func(d workload.Deployment, random *rand.Rand) []Step {
		chosen := random.Perm(len(d.CoreNames()))
		at := between(random, 10, 12)
		return []Step{
			{At: at, Do: "replace-core", Target: d.CoreNames()[chosen[0]], For: between(random, 0.3, 3)},
			{At: at + between(random, 0, 6), Do: "kill", Target: d.CoreNames()[chosen[1]], For: between(random, 0.3, 3)},
			{
				At:     at + between(random, 0, 6),
				Do:     []string{"cut-core", "cut-core-one-way", "put"}[random.IntN(3)],
				Target: d.CoreNames()[chosen[2]],
				For:    between(random, 0.3, 3),
			},
			{At: between(random, 22, 24), Do: "put"},
		}
	},
	"core-replaced-all-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		at := between(random, 10, 12)
		return []Step{
			{At: at, Do: "replace-core", Target: randomCoreMachine(d, random), For: between(random, 0.3, 3)},
			{At: at + between(random, 0.5, 7), Do: "kill-core", For: between(random, 0.2, 1)},
			{At: between(random, 22, 24), Do: "put"},
		}
	},
	"core-wiped-others-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		name := randomCoreMachine(d, random)
		at := between(random, 10, 12)
		return []Step{
			{At: at, Do: "kill-disk", Target: name, For: between(random, 0.2, 2)},
			{At: at + between(random, 0, 3), Do: "kill-core", For: between(random, 0.2, 1)},
			{At: between(random, 12, 20), Do: "put"},
		}
	},
	"seeds-swapped": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{
				At:     time.Duration(10+index*7) * time.Second,
				Do:     "replace-voter",
				Target: voter,
				For:    between(random, 0.3, 1.5),
			})
		}
		return append(plan, Step{At: 29 * time.Second, Do: "put"},
			Step{At: 31 * time.Second, Do: "kill", Target: randomProxy(d, random), For: time.Second})
	},
	"away-and-swapped": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{{At: 9 * time.Second, Do: "kill", Target: randomProxy(d, random), For: 85 * time.Second}}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{
				At:     time.Duration(10+index*7) * time.Second,
				Do:     "replace-voter",
				Target: voter,
				For:    between(random, 0.3, 1.5),
			})
		}
		return plan
	},
	"seeds-swapped-all-killed": func(_ workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{
				At:     time.Duration(10+index*7) * time.Second,
				Do:     "replace-voter",
				Target: voter,
				For:    between(random, 0.3, 1.5),
			})
		}
		return append(plan, Step{At: between(random, 31, 32), Do: "kill-all", For: between(random, 0.3, 2)})
	},
	"disks-full-in-turn": disksFullInTurnPlan,
	"disk-fails": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 9, 10), Do: "disk-fails", Target: randomVoter(random), For: between(random, 4, 9)},
			{At: between(random, 11, 12), Do: "put"},
			{At: between(random, 13, 14), Do: "withdraw"},
			{At: between(random, 21, 22), Do: "put"},
		}
	},
	"collector-down": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 10, 12), Do: "collector-down", For: between(random, 4, 6)},
			{At: between(random, 12, 15), Do: "kill-holder", Target: settings.UsageLease, For: between(random, 0.5, 2)},
		}
	},
	"two-core-down": func(_ workload.Deployment, random *rand.Rand) []Step {
		// Two voters are down at the same time; configurations are written before, during and after that.
		first := random.IntN(3)
		return []Step{
			{At: between(random, 9, 10), Do: "put"},
			{At: between(random, 11, 12), Do: "kill", Target: workload.Voters[first], For: between(random, 6, 8)},
			{At: between(random, 12, 13), Do: "kill", Target: workload.Voters[(first+1)%3], For: between(random, 3, 8)},
			{At: between(random, 13, 15), Do: "put"},
			{At: between(random, 24, 25), Do: "put"},
		}
	},
	"collector-odd": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 9, 10), Do: "collector-odd", For: between(random, 12, 16)},
			{At: between(random, 12, 15), Do: "kill-holder", Target: settings.UsageLease, For: between(random, 0.5, 2)},
			{At: between(random, 17, 19), Do: "kill-holder", Target: settings.UsageLease, For: between(random, 0.5, 2)},
		}
	},
	"last-fault": func(d workload.Deployment, random *rand.Rand) []Step {
		end := between(random, 16, 20)
		last := randomFleetStep(d, random)
		switch random.IntN(4) {
		case 0:
			last = Step{
				Do:  []string{"kill-all", "kill-core", "put-and-kill", "put-and-kill-disk"}[random.IntN(4)],
				For: between(random, 0.3, 2),
			}
		case 1:
			last = Step{
				Do:     []string{"kill-disk", "replace-voter", "usurp", "stop"}[random.IntN(4)],
				Target: randomVoter(random),
				For:    between(random, 0.3, 2),
			}
		}
		last.At = end - between(random, 0, 0.5)
		return []Step{{At: between(random, 11, 14), Do: "put"}, last, {At: end, Do: "end"}}
	},
	"slow-heir": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: 9 * time.Second, Do: "slow-disk", Target: workload.Voters[1], For: 14 * time.Second},
			{At: between(random, 12, 13), Do: "kill", Target: workload.Voters[0], For: between(random, 4, 6)},
			{At: between(random, 15, 16), Do: "put"},
			{At: between(random, 15, 16), Do: "upstream-replace", Target: randomUpstream(d, random), For: time.Second},
		}
	},
	"slow-disks": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 9, 10), Do: "slow-disk", Target: randomVoter(random), For: 12 * time.Second},
			{At: between(random, 11, 12), Do: "put"},
			{At: between(random, 13, 14), Do: "put-huge"},
			{At: between(random, 15, 16), Do: "kill-holder", Target: settings.ConfigLogLease, For: 2 * time.Second},
		}
	},
	"configurations": func(_ workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		kinds := []string{"put", "put-race", "put-bad", "put-huge", "withdraw", "restore-keys", "put"}
		for index := range 10 {
			plan = append(plan, Step{
				At: between(random, 9+float64(index)*1.5, 10.4+float64(index)*1.5),
				Do: kinds[random.IntN(len(kinds))],
			})
		}
		return plan
	},
	"upstreams": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		kinds := []string{"upstream-kill", "upstream-replace", "upstream-faults", "upstream-handover", "upstream-leave"}
		for index := range 8 {
			plan = append(plan, Step{
				At:     between(random, 9+float64(index)*1.5, 10.5+float64(index)*1.5),
				Do:     kinds[index%len(kinds)],
				Target: randomUpstream(d, random),
				For:    between(random, 0.05, 2),
			})
		}
		return plan
	},
	"vanished": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 3 {
			plan = append(plan, Step{
				At:     between(random, 9+float64(index)*4, 12+float64(index)*4),
				Do:     "upstream-vanish",
				Target: randomUpstream(d, random),
				For:    between(random, 0, 0.5),
			})
		}
		return plan
	},
	"leaving-elsewhere": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 2 {
			at := between(random, 9+float64(index)*6, 11+float64(index)*6)
			plan = append(plan, Step{At: at, Do: "upstream-leave-elsewhere", Target: randomUpstream(d, random), For: 4 * time.Second},
				Step{
					At:     at - between(random, 0, 0.5),
					Do:     []string{"isolate", "freeze", "kill", "put"}[random.IntN(4)],
					Target: randomProxy(d, random),
					For:    between(random, 1, 4),
				})
		}
		return plan
	},
	"all-killed": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: between(random, 12, 14), Do: "kill-all", For: between(random, 0.3, 2)},
			{At: between(random, 22, 23), Do: "kill-core", For: between(random, 0.3, 2)},
		}
	},
	"all-killed-young-window": func(_ workload.Deployment, random *rand.Rand) []Step {
		// Usage windows end every five seconds. This one is 0.5 to 1.5 s old at the crash, and the
		// downtime lasts until about its end, so that it gets no further requests.
		return []Step{{At: between(random, 15.5, 16.5), Do: "kill-all", For: between(random, 3.5, 4.5)}}
	},
	"disks-lost-all-off": disksLostAllOffPlan,
	"losses-overlap":     lossesOverlapPlan,
	"large-all-off":      largeAllOffPlan,
	"core-halved":        corePartitionPlan,
	"any":                randomPlan,
	"any-fleet":          randomFleetPlan,
}

// sequentialSteps applies a step to every voter and every proxy, one after another.
func sequentialSteps(d workload.Deployment, random *rand.Rand, action string) []Step {
	plan := []Step{}
	for index, voter := range workload.Voters {
		plan = append(plan, Step{At: time.Duration(10+index*5) * time.Second, Do: action, Target: voter, For: between(random, 0.3, 2)})
	}
	for number := range d.Proxies {
		plan = append(plan, Step{
			At:     time.Duration(10000+number*1200) * time.Millisecond,
			Do:     action,
			Target: fmt.Sprintf("edge-%d", number+1),
			For:    between(random, 0.3, 1),
		})
	}
	return plan
}

// leaseNames returns the names of all leases: one for each zone, and those of usage and the configuration log.
func leaseNames(d workload.Deployment) []string {
	return append(append([]string{}, d.Zones...), settings.UsageLease, settings.ConfigLogLease)
}

// randomFleetPlan draws steps without those of the scenarios of configuration writes. The fixed seeds in the tests
// depend on its draws.
func randomFleetPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{}
	for range 4 + random.IntN(8) {
		plan = append(plan, randomFleetStep(d, random))
	}
	return plan
}

// randomPlan draws a fleet plan and adds steps of the scenarios of configuration writes.
func randomPlan(d workload.Deployment, random *rand.Rand) []Step {
	return append(randomFleetPlan(d, random), randomControlSteps(d, random)...)
}

// randomFleetStep draws one step. The order of its cases and draws determines the plans of fixed seeds.
func randomFleetStep(d workload.Deployment, random *rand.Rand) Step {
	start, duration := between(random, 9, 24), between(random, 0.1, 5)
	leases := leaseNames(d)
	switch random.IntN(16) {
	case 14:
		return Step{start, "upstream-vanish", randomUpstream(d, random), duration / 10}
	case 15:
		return Step{start, "upstream-leave-elsewhere", randomUpstream(d, random), duration}
	case 0:
		return Step{start, "kill", randomVoter(random), duration}
	case 1:
		return Step{start, "kill", randomProxy(d, random), duration}
	case 2:
		return Step{start, "kill-holder", leases[random.IntN(len(leases))], duration}
	case 3:
		return Step{start, "freeze-holder", leases[random.IntN(len(leases))], duration}
	case 4:
		return Step{start, "freeze", randomProxy(d, random), duration}
	case 5:
		return Step{start, "isolate", randomProxy(d, random), duration}
	case 6:
		return Step{start, []string{"cut-core", "cut-core-one-way", "halve", "isolate"}[random.IntN(4)], randomVoter(random), duration}
	case 7:
		return Step{start, "slow-disk", randomVoter(random), duration}
	case 8:
		return Step{start, "herd", "", duration / 2}
	case 9:
		return Step{start, "upstream-kill", randomUpstream(d, random), duration}
	case 10:
		return Step{start, "upstream-replace", randomUpstream(d, random), duration}
	case 11:
		return Step{start, "upstream-faults", randomUpstream(d, random), duration}
	case 12:
		return Step{start, []string{"put-race", "put-bad", "put-and-kill"}[random.IntN(3)], "", duration}
	}
	return Step{start, []string{"put", "put", "withdraw", "restore-keys"}[random.IntN(4)], "", 0}
}

// between draws a duration between two numbers of seconds.
func between(random *rand.Rand, minSeconds, maxSeconds float64) time.Duration {
	return time.Duration((minSeconds + random.Float64()*(maxSeconds-minSeconds)) * float64(time.Second))
}

// randomVoter draws one of workload.Voters, the machines that a fault aims at.
func randomVoter(random *rand.Rand) string { return workload.Voters[random.IntN(len(workload.Voters))] }

// randomCoreMachine draws a core machine.
func randomCoreMachine(d workload.Deployment, random *rand.Rand) string {
	return d.CoreNames()[random.IntN(len(d.CoreNames()))]
}

// randomProxy draws a proxy's machine.
func randomProxy(d workload.Deployment, random *rand.Rand) string {
	return proxyMachineName(random.IntN(d.Proxies))
}

// proxyMachineName returns the machine name of the proxy with an index from 0.
func proxyMachineName(index int) string { return fmt.Sprintf("edge-%d", index+1) }

// randomUpstream draws an upstream of the deployment.
func randomUpstream(d workload.Deployment, random *rand.Rand) string {
	service := d.Services[random.IntN(len(d.Services))]
	return fmt.Sprintf("%s/%s-%d", service.Name, service.Name, 1+random.IntN(service.Count))
}

// Names returns the names of all scenarios, sorted.
func Names() []string {
	names := []string{}
	for name := range Scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
