package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// Scenarios make the plan of each scenario, by name, for a deployment from a random source.
var Scenarios = map[string]func(d workload.Deployment, random *rand.Rand) []Step{
	"calm":         func(workload.Deployment, *rand.Rand) []Step { return nil },
	"cutoff":       cutoffPlan,
	"same-version": sameVersionPlan,
	"second-loss":  secondLossPlan,
	"hundreds":     hundredsPlan,
	"holder-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		tag := allTags(d)
		return []Step{
			{At: span(random, 10, 12), Do: "kill-holder", Target: tag[random.IntN(len(tag))], For: span(random, 1, 6)},
			{At: span(random, 14, 18), Do: "kill-holder", Target: tag[random.IntN(len(tag))], For: span(random, 1, 4)}}
	},
	"edges-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for range 4 {
			plan = append(plan, Step{At: span(random, 9, 20), Do: "kill", Target: edge(d, random), For: span(random, 0.1, 4)})
		}
		return append(plan, Step{At: span(random, 12, 16), Do: "herd", For: span(random, 0.2, 3)})
	},
	"machines-in-turn": func(d workload.Deployment, random *rand.Rand) []Step { return inTurn(d, random, "kill") },
	"stopped-in-turn": func(d workload.Deployment, random *rand.Rand) []Step {
		return append(inTurn(d, random, "stop"), Step{At: span(random, 12, 20), Do: "put"})
	},
	"core-cut": func(_ workload.Deployment, random *rand.Rand) []Step {
		kinds := []string{"cut-core", "cut-core-one-way", "halve"}
		return []Step{
			{At: span(random, 10, 12), Do: kinds[random.IntN(3)], Target: voter(random), For: span(random, 1, 6)},
			{At: span(random, 13, 15), Do: "put"},
			{At: span(random, 18, 20), Do: kinds[random.IntN(3)], Target: voter(random), For: span(random, 1, 5)},
		}
	},
	"isolated": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 10, 12), Do: "isolate", Target: edge(d, random), For: span(random, 1, 8)},
			{At: span(random, 10, 14), Do: "isolate", Target: voter(random), For: span(random, 1, 6)},
			{At: span(random, 12, 14), Do: "withdraw"},
			{At: span(random, 16, 18), Do: "isolate-out", Target: edge(d, random), For: span(random, 1, 5)},
		}
	},
	"freeze": func(d workload.Deployment, random *rand.Rand) []Step {
		tags := allTags(d)
		return []Step{
			{At: span(random, 10, 12), Do: "freeze-holder", Target: tags[random.IntN(len(tags))], For: span(random, 0.3, 8)},
			{At: span(random, 12, 15), Do: "freeze", Target: edge(d, random), For: span(random, 0.3, 8)},
			{At: span(random, 13, 14), Do: "withdraw"},
			{At: span(random, 18, 20), Do: "freeze", Target: voter(random), For: span(random, 0.3, 4)},
		}
	},
	"cut-and-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 5 {
			target, at := edge(d, random), span(random, 9+float64(index)*3, 11+float64(index)*3)
			plan = append(plan, Step{At: at, Do: "isolate", Target: target, For: span(random, 0.6, 1.2)},
				Step{At: at + span(random, 0.05, 0.2), Do: "kill", Target: target, For: span(random, 0.1, 0.3)})
		}
		return plan
	},
	"usurped": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 10, 12), Do: "usurp", Target: voter(random), For: span(random, 1, 9)},
			{At: span(random, 12.5, 14), Do: "put"},
			{At: span(random, 14, 17), Do: "kill-holder", Target: settings.ConfigLogLease, For: span(random, 0.5, 2)},
			{At: span(random, 22, 24), Do: "put"},
		}
	},
	"two-disks-lost": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 9, 10), Do: "put"},
			{At: span(random, 12, 13), Do: "kill-disk", Target: workload.Voters[0], For: span(random, 0.3, 2)},
			{At: span(random, 12, 13), Do: "kill-disk", Target: workload.Voters[1], For: span(random, 0.3, 2)},
			{At: span(random, 18, 20), Do: "force-recover", Target: workload.Voters[2]},
			{At: span(random, 24, 25), Do: "put"},
		}
	},
	"restarted-behind-cut": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{
			{At: 10 * time.Second, Do: "halve", Target: voter(random), For: span(random, 5, 9)},
			{At: span(random, 11, 12), Do: "put"},
		}
		for range 5 {
			plan = append(plan, Step{At: span(random, 12, 15), Do: "kill", Target: edge(d, random), For: span(random, 0.2, 1)})
		}
		return plan
	},
	"stale-root": func(d workload.Deployment, random *rand.Rand) []Step {
		chosen := random.IntN(3)
		plan := []Step{
			{At: 10 * time.Second, Do: "cut-core", Target: workload.Voters[chosen], For: span(random, 7, 9)},
			{At: span(random, 11, 12), Do: "withdraw"},
		}
		for number := chosen; number < d.Proxies; number += 3 {
			plan = append(plan, Step{
				At:     span(random, 14.5, 16),
				Do:     "kill",
				Target: fmt.Sprintf("edge-%d", number+1),
				For:    span(random, 0.2, 0.6),
			})
		}
		return plan
	},
	"acked-and-back": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 9, 10), Do: "put-and-kill", For: span(random, 0.25, 0.4)},
			{At: span(random, 15, 16), Do: "put-and-kill", For: span(random, 0.25, 0.4)},
		}
	},
	"acked-and-killed": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 9, 10), Do: "put-and-kill", For: span(random, 0.3, 4)},
			{At: span(random, 16, 18), Do: "put-and-kill-disk", For: span(random, 0.3, 4)},
			{At: span(random, 23, 24), Do: "put"},
		}
	},
	"disks-lost": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 10, 11), Do: "kill-disk", Target: workload.Voters[0], For: span(random, 0.3, 3)},
			{At: span(random, 14, 15), Do: "put"},
			{At: span(random, 18, 19), Do: "kill-disk", Target: workload.Voters[1], For: span(random, 0.3, 3)},
			{At: span(random, 22, 23), Do: "put"},
		}
	},
	"voter-replaced": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 10, 12), Do: "replace-voter", Target: voter(random), For: span(random, 0.3, 4)},
			{At: span(random, 16, 18), Do: "put"},
		}
	},
	"core-replaced": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 10, 12), Do: "replace-core", Target: core(d, random), For: span(random, 0.3, 4)},
			{At: span(random, 10, 13), Do: "put"},
			{At: span(random, 16, 18), Do: "put"},
		}
	},
	"zones-lost": func(d workload.Deployment, random *rand.Rand) []Step {
		// All core machines of a zone go at once and come back; then those of the next.
		plan := []Step{}
		for number, zone := range d.Zones {
			at := 10 + float64(number)*12
			for index, name := range d.CoreNames() {
				if d.CoreZone(index) == zone {
					plan = append(plan, Step{At: span(random, at, at+0.1), Do: "kill", Target: name, For: span(random, 5.5, 6)})
				}
			}
			plan = append(plan, Step{At: span(random, at+3.5, at+4), Do: "put"})
		}
		return plan
	},
	"cores-replaced": func(d workload.Deployment, random *rand.Rand) []Step {
		// One after another, until all that founded are gone.
		plan := []Step{}
		for index, name := range d.CoreNames() {
			plan = append(plan, Step{
				At:     span(random, 10+float64(index)*9, 11+float64(index)*9),
				Do:     "replace-core",
				Target: name,
				For:    span(random, 0.3, 2),
			},
				Step{At: span(random, 12+float64(index)*9, 17+float64(index)*9), Do: "put"})
		}
		return plan
	},
	"acked-and-wiped": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 9, 10), Do: "put-and-kill-disk", For: span(random, 0.2, 2)},
			{At: span(random, 18, 19), Do: "put-and-kill-disk", For: span(random, 0.2, 2)},
			{At: span(random, 26, 27), Do: "put"},
		}
	},
	"core-replaced-one-away": func(d workload.Deployment, random *rand.Rand) []Step {
		chosen := random.Perm(len(d.CoreNames()))
		at := span(random, 10, 12)
		return []Step{
			{At: at, Do: "replace-core", Target: d.CoreNames()[chosen[0]], For: span(random, 0.3, 3)},
			{At: at + span(random, 0, 6), Do: "kill", Target: d.CoreNames()[chosen[1]], For: span(random, 0.3, 3)},
			{
				At:     at + span(random, 0, 6),
				Do:     []string{"cut-core", "cut-core-one-way", "put"}[random.IntN(3)],
				Target: d.CoreNames()[chosen[2]],
				For:    span(random, 0.3, 3),
			},
			{At: span(random, 22, 24), Do: "put"},
		}
	},
	"core-replaced-all-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		at := span(random, 10, 12)
		return []Step{
			{At: at, Do: "replace-core", Target: core(d, random), For: span(random, 0.3, 3)},
			{At: at + span(random, 0.5, 7), Do: "kill-core", For: span(random, 0.2, 1)},
			{At: span(random, 22, 24), Do: "put"},
		}
	},
	"core-wiped-others-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		name := core(d, random)
		at := span(random, 10, 12)
		return []Step{
			{At: at, Do: "kill-disk", Target: name, For: span(random, 0.2, 2)},
			{At: at + span(random, 0, 3), Do: "kill-core", For: span(random, 0.2, 1)},
			{At: span(random, 12, 20), Do: "put"},
		}
	},
	"seeds-swapped": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{
				At:     time.Duration(10+index*7) * time.Second,
				Do:     "replace-voter",
				Target: voter,
				For:    span(random, 0.3, 1.5),
			})
		}
		return append(plan, Step{At: 29 * time.Second, Do: "put"},
			Step{At: 31 * time.Second, Do: "kill", Target: edge(d, random), For: time.Second})
	},
	"away-and-swapped": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{{At: 9 * time.Second, Do: "kill", Target: edge(d, random), For: 85 * time.Second}}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{
				At:     time.Duration(10+index*7) * time.Second,
				Do:     "replace-voter",
				Target: voter,
				For:    span(random, 0.3, 1.5),
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
				For:    span(random, 0.3, 1.5),
			})
		}
		return append(plan, Step{At: span(random, 31, 32), Do: "kill-all", For: span(random, 0.3, 2)})
	},
	"disks-full-in-turn": disksFullInTurn,
	"disk-fails": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 9, 10), Do: "disk-fails", Target: voter(random), For: span(random, 4, 9)},
			{At: span(random, 11, 12), Do: "put"},
			{At: span(random, 13, 14), Do: "withdraw"},
			{At: span(random, 21, 22), Do: "put"},
		}
	},
	"collector-down": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 10, 12), Do: "collector-down", For: span(random, 4, 6)},
			{At: span(random, 12, 15), Do: "kill-holder", Target: settings.UsageLease, For: span(random, 0.5, 2)},
		}
	},
	"two-core-down": func(_ workload.Deployment, random *rand.Rand) []Step {
		// Two voters are away together; a configuration is put before, meanwhile and after.
		first := random.IntN(3)
		return []Step{
			{At: span(random, 9, 10), Do: "put"},
			{At: span(random, 11, 12), Do: "kill", Target: workload.Voters[first], For: span(random, 6, 8)},
			{At: span(random, 12, 13), Do: "kill", Target: workload.Voters[(first+1)%3], For: span(random, 3, 8)},
			{At: span(random, 13, 15), Do: "put"},
			{At: span(random, 24, 25), Do: "put"},
		}
	},
	"collector-odd": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 9, 10), Do: "collector-odd", For: span(random, 12, 16)},
			{At: span(random, 12, 15), Do: "kill-holder", Target: settings.UsageLease, For: span(random, 0.5, 2)},
			{At: span(random, 17, 19), Do: "kill-holder", Target: settings.UsageLease, For: span(random, 0.5, 2)},
		}
	},
	"last-fault": func(d workload.Deployment, random *rand.Rand) []Step {
		end := span(random, 16, 20)
		last := anyStep(d, random)
		switch random.IntN(4) {
		case 0:
			last = Step{
				Do:  []string{"kill-all", "kill-core", "put-and-kill", "put-and-kill-disk"}[random.IntN(4)],
				For: span(random, 0.3, 2),
			}
		case 1:
			last = Step{
				Do:     []string{"kill-disk", "replace-voter", "usurp", "stop"}[random.IntN(4)],
				Target: voter(random),
				For:    span(random, 0.3, 2),
			}
		}
		last.At = end - span(random, 0, 0.5)
		return []Step{{At: span(random, 11, 14), Do: "put"}, last, {At: end, Do: "end"}}
	},
	"slow-heir": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: 9 * time.Second, Do: "slow-disk", Target: workload.Voters[1], For: 14 * time.Second},
			{At: span(random, 12, 13), Do: "kill", Target: workload.Voters[0], For: span(random, 4, 6)},
			{At: span(random, 15, 16), Do: "put"},
			{At: span(random, 15, 16), Do: "upstream-replace", Target: upstreamName(d, random), For: time.Second},
		}
	},
	"slow-disks": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 9, 10), Do: "slow-disk", Target: voter(random), For: 12 * time.Second},
			{At: span(random, 11, 12), Do: "put"},
			{At: span(random, 13, 14), Do: "put-huge"},
			{At: span(random, 15, 16), Do: "kill-holder", Target: settings.ConfigLogLease, For: 2 * time.Second},
		}
	},
	"configurations": func(_ workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		kinds := []string{"put", "put-race", "put-bad", "put-huge", "withdraw", "restore-keys", "put"}
		for index := range 10 {
			plan = append(plan, Step{At: span(random, 9+float64(index)*1.5, 10.4+float64(index)*1.5), Do: kinds[random.IntN(len(kinds))]})
		}
		return plan
	},
	"upstreams": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		kinds := []string{"upstream-kill", "upstream-replace", "upstream-faults", "upstream-handover", "upstream-leave"}
		for index := range 8 {
			plan = append(plan, Step{
				At:     span(random, 9+float64(index)*1.5, 10.5+float64(index)*1.5),
				Do:     kinds[index%len(kinds)],
				Target: upstreamName(d, random),
				For:    span(random, 0.05, 2),
			})
		}
		return plan
	},
	"vanished": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 3 {
			plan = append(plan, Step{
				At:     span(random, 9+float64(index)*4, 12+float64(index)*4),
				Do:     "upstream-vanish",
				Target: upstreamName(d, random),
				For:    span(random, 0, 0.5),
			})
		}
		return plan
	},
	"leaving-elsewhere": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 2 {
			at := span(random, 9+float64(index)*6, 11+float64(index)*6)
			plan = append(plan, Step{At: at, Do: "upstream-leave-elsewhere", Target: upstreamName(d, random), For: 4 * time.Second},
				Step{
					At:     at - span(random, 0, 0.5),
					Do:     []string{"isolate", "freeze", "kill", "put"}[random.IntN(4)],
					Target: edge(d, random),
					For:    span(random, 1, 4),
				})
		}
		return plan
	},
	"all-killed": func(_ workload.Deployment, random *rand.Rand) []Step {
		return []Step{
			{At: span(random, 12, 14), Do: "kill-all", For: span(random, 0.3, 2)},
			{At: span(random, 22, 23), Do: "kill-core", For: span(random, 0.3, 2)},
		}
	},
	"all-killed-young-window": func(_ workload.Deployment, random *rand.Rand) []Step {
		// Windows end at every fifth second: this one is 0.5 to 1.5 s old, and gets no
		// more than that.
		return []Step{{At: span(random, 15.5, 16.5), Do: "kill-all", For: span(random, 3.5, 4.5)}}
	},
	"disks-lost-all-off": disksLostAllOffPlan,
	"losses-overlap":     lossesOverlapPlan,
	"large-all-off":      largeAllOffPlan,
	"core-halved":        coreHalvedPlan,
	"any":                anyPlan,
	"any-fleet":          anyFleetPlan,
}

// inTurn does something to every machine, one after another.
func inTurn(d workload.Deployment, random *rand.Rand, do string) []Step {
	plan := []Step{}
	for index, voter := range workload.Voters {
		plan = append(plan, Step{At: time.Duration(10+index*5) * time.Second, Do: do, Target: voter, For: span(random, 0.3, 2)})
	}
	for number := range d.Proxies {
		plan = append(plan, Step{
			At:     time.Duration(10000+number*1200) * time.Millisecond,
			Do:     do,
			Target: fmt.Sprintf("edge-%d", number+1),
			For:    span(random, 0.3, 1),
		})
	}
	return plan
}

// allTags lists the tags of both groups.
func allTags(d workload.Deployment) []string {
	return append(append([]string{}, d.Zones...), settings.UsageLease, settings.ConfigLogLease)
}

// anyFleetPlan draws steps that are not about the operators' side; the fixed seeds are of it.
func anyFleetPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{}
	for range 4 + random.IntN(8) {
		plan = append(plan, anyStep(d, random))
	}
	return plan
}

// anyPlan mixes in the operators of the control scenarios.
func anyPlan(d workload.Deployment, random *rand.Rand) []Step {
	return append(anyFleetPlan(d, random), anyControl(d, random)...)
}

func anyStep(d workload.Deployment, random *rand.Rand) Step {
	at, length := span(random, 9, 24), span(random, 0.1, 5)
	tags := allTags(d)
	switch random.IntN(16) {
	case 14:
		return Step{at, "upstream-vanish", upstreamName(d, random), length / 10}
	case 15:
		return Step{at, "upstream-leave-elsewhere", upstreamName(d, random), length}
	case 0:
		return Step{at, "kill", voter(random), length}
	case 1:
		return Step{at, "kill", edge(d, random), length}
	case 2:
		return Step{at, "kill-holder", tags[random.IntN(len(tags))], length}
	case 3:
		return Step{at, "freeze-holder", tags[random.IntN(len(tags))], length}
	case 4:
		return Step{at, "freeze", edge(d, random), length}
	case 5:
		return Step{at, "isolate", edge(d, random), length}
	case 6:
		return Step{at, []string{"cut-core", "cut-core-one-way", "halve", "isolate"}[random.IntN(4)], voter(random), length}
	case 7:
		return Step{at, "slow-disk", voter(random), length}
	case 8:
		return Step{at, "herd", "", length / 2}
	case 9:
		return Step{at, "upstream-kill", upstreamName(d, random), length}
	case 10:
		return Step{at, "upstream-replace", upstreamName(d, random), length}
	case 11:
		return Step{at, "upstream-faults", upstreamName(d, random), length}
	case 12:
		return Step{at, []string{"put-race", "put-bad", "put-and-kill"}[random.IntN(3)], "", length}
	}
	return Step{at, []string{"put", "put", "withdraw", "restore-keys"}[random.IntN(4)], "", 0}
}

func span(random *rand.Rand, least, most float64) time.Duration {
	return time.Duration((least + random.Float64()*(most-least)) * float64(time.Second))
}

func voter(random *rand.Rand) string { return workload.Voters[random.IntN(len(workload.Voters))] }

func core(d workload.Deployment, random *rand.Rand) string {
	return d.CoreNames()[random.IntN(len(d.CoreNames()))]
}

func edge(d workload.Deployment, random *rand.Rand) string {
	return edgeName(random.IntN(d.Proxies))
}

// edgeName is the name of a proxy's machine, by its place.
func edgeName(index int) string { return fmt.Sprintf("edge-%d", index+1) }

func upstreamName(d workload.Deployment, random *rand.Rand) string {
	service := d.Services[random.IntN(len(d.Services))]
	return fmt.Sprintf("%s/%s-%d", service.Name, service.Name, 1+random.IntN(service.Count))
}

// Names lists the scenarios.
func Names() []string {
	names := []string{}
	for name := range Scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
