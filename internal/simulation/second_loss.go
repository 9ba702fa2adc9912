package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// The second-loss scenario loses another core machine as soon as a repaired or replaced one has its vote.
// Writes must be accepted while the second machine is away.
const (
	secondLossWriteInterval = 400 * time.Millisecond // between writes
	secondLossDelay         = 300 * time.Millisecond // longest delay of the loss after the replacement's vote
	secondLossDowntime      = 8 * time.Second
	secondLossAcceptWithin  = 6 * time.Second // after the second loss
	processesPerCoreMachine = 2               // a registry and a configstore on each core machine
)

// replacementCrashesStep names the step of a planned replacement whose new machine crashes before the
// replacement is complete.
const replacementCrashesStep = "replace-planned-heir-dies"

// armedLoss is a loss that is triggered when a replacement has its vote.
type armedLoss struct {
	kind     string
	downtime time.Duration
	excluded string // machine that must not be lost: the one under repair
	machine  string // the lost machine; empty until the loss is triggered
	at       time.Duration
}

// secondLossPlan draws the plan of the second-loss scenario: a repair or a replacement, and the armed loss.
func secondLossPlan(d workload.Deployment, random *rand.Rand) []Step {
	repairs := []string{"kill-disk", "replace-voter"}
	if d.VoterCount > 0 {
		repairs = []string{"kill-disk", "replace-core", "replace-planned", "replace-planned-alone", replacementCrashesStep}
	}
	first, start := randomCoreMachine(d, random), between(random, 10, 11)
	repair := repairs[random.IntN(len(repairs))]
	loss := []string{"kill", "kill-disk", "cut-core"}[random.IntN(3)]
	plan := []Step{
		{At: 9 * time.Second, Do: "order-steadily", For: 26 * time.Second},
		{At: start + 10*time.Millisecond, Do: repair, Target: first, For: between(random, 0.3, 1.5)},
	}
	if repair == replacementCrashesStep {
		// The crash of the replacement is itself the second loss.
		return plan
	}
	return append(plan, Step{At: start, Do: "arm-" + loss, Target: first, For: secondLossDowntime})
}

// armPrefix begins the names of steps that arm a second loss; the rest of the name is the kind of loss.
const armPrefix = "arm-"

// secondLossSteps returns the steps of the second-loss scenario, by the name that plans use.
func secondLossSteps() map[string]fault {
	return map[string]fault{
		"order-steadily":        (*World).writePeriodically,
		"replace-planned":       func(w *World, step Step) { w.replacePlanned(step.Target, step.For, "") },
		"replace-planned-alone": func(w *World, step Step) { w.replaceWithBareMajority(step.Target, step.For) },
		replacementCrashesStep:  func(w *World, step Step) { w.replacePlanned(step.Target, step.For, replacementCrashesStep) },
	}
}

// writePeriodically sends a new configuration every secondLossWriteInterval.
func (w *World) writePeriodically(step Step) {
	w.repeat(secondLossWriteInterval, w.now+step.For, func() {
		w.lastVersion++
		tenants := w.options.Deployment.Tenants()[:w.tenantCount]
		w.retryWrite(w.newConfigWrite(w.lastVersion, tenants, w.options.Deployment.Configuration(tenants, int(w.lastVersion)), nil))
	})
}

// armSecondLoss arms a loss that waits for a replacement's vote.
func (w *World) armSecondLoss(kind string, step Step) {
	w.pendingLoss = &armedLoss{kind: kind, downtime: step.For, excluded: step.Target}
}

// voterRecovered handles a replacement process that has got its vote. Once all processes of its machine
// have theirs, the armed loss is triggered within secondLossDelay.
func (w *World) voterRecovered(replacement *Node) {
	loss := w.pendingLoss
	w.votingProcesses[replacement.machine]++
	if loss == nil || loss.machine != "" || w.votingProcesses[replacement.machine] < processesPerCoreMachine {
		return
	}
	others := []string{}
	for _, machine := range w.coreMachines() {
		if machine != replacement.machine && machine != loss.excluded {
			others = append(others, machine)
		}
	}
	loss.machine = others[w.random.IntN(len(others))]
	w.after(time.Duration(w.random.Int64N(int64(secondLossDelay))), func() { w.triggerSecondLoss(loss) })
}

// triggerSecondLoss executes the armed loss and checks that a write is accepted while the machine is away.
func (w *World) triggerSecondLoss(loss *armedLoss) {
	w.dangers["second losses right after a newcomer's vote"]++
	w.runStep(Step{At: w.now, Do: loss.kind, Target: loss.machine, For: loss.downtime})
	loss.at = w.now
	before := w.newestAcknowledged
	w.after(secondLossAcceptWithin, func() {
		if w.newestAcknowledged == before {
			w.fail("no write was accepted for %s after the loss of %s", secondLossAcceptWithin, loss.machine)
		}
		w.dangers["orders taken while the second is away"] += int(w.newestAcknowledged - before)
	})
}

// replacePlanned adds an empty machine and then shuts down the one that it replaces. With a non-empty
// variant, the new machine crashes within secondLossDelay after that.
func (w *World) replacePlanned(machine string, wait time.Duration, variant string) {
	replacements := []*Node{}
	for _, old := range w.machineNodes(machine) {
		replacements = append(replacements, w.addReplacement(old, machine+"-after"))
	}
	for _, replacement := range replacements {
		replacement.boot()
	}
	w.after(max(wait, time.Second), func() {
		w.countBareMajority(machine)
		for _, old := range w.machineNodes(machine) {
			old.decommission()
		}
		if variant == "" {
			return
		}
		w.after(time.Duration(w.random.Int64N(int64(secondLossDelay))), func() {
			w.dangers["newcomers lost in the middle of a planned replacement"]++
			for _, replacement := range replacements {
				replacement.kill(true, true)
				replacement.retired = true
			}
		})
	})
}

// replaceWithBareMajority replaces a machine whose newest change is only on a bare majority, because
// another machine is partitioned during the last writes before the shutdown.
func (w *World) replaceWithBareMajority(machine string, wait time.Duration) {
	others := without(w.coreMachines(), machine)
	laggard := others[w.random.IntN(len(others))]
	w.cutLinksBetween([]string{laggard}, without(w.coreMachines(), laggard), true, wait+500*time.Millisecond)
	w.replacePlanned(machine, wait, "")
}

// countBareMajority counts, as a danger, a leaving machine whose newest change is on a bare majority of the
// stores, and one that holds the configuration log's lease.
func (w *World) countBareMajority(machine string) {
	newestOfMachine, upToDate := int64(0), 0
	for _, store := range w.runningNodes(message.RoleConfigStore) {
		version := newestVersion(store)
		if store.machine == machine {
			newestOfMachine = version
		}
	}
	for _, store := range w.runningNodes(message.RoleConfigStore) {
		if newestVersion(store) >= newestOfMachine {
			upToDate++
		}
	}
	if upToDate*2 <= len(w.coreMachines())+1 {
		w.dangers["leaving voters with the newest change on a bare majority"]++
	}
	if machine == w.leaseHolder(settings.ConfigLogLease) {
		w.dangers["leaving lease holders"]++
	}
}

// addReplacement adds an empty node of the same role at a new address, with three current core machines
// as seeds.
func (w *World) addReplacement(old *Node, machine string) *Node {
	w.addedNodes++
	host, port, _ := strings.Cut(old.settings.Address, ":")
	parts := strings.Split(host, ".")
	replacement := w.addNode(old.role, machine, "", old.settings.Zone,
		fmt.Sprintf("%s.%d:%s", strings.Join(parts[:3], "."), 100+w.addedNodes, port), old.settings.Seeds)
	replacement.settings.Bootstrap = false
	replacement.settings.Seeds = []string{}
	for _, registryNode := range w.nodesByRole(message.RoleRegistry) {
		if registryNode != replacement && !registryNode.retired && len(replacement.settings.Seeds) < 3 {
			replacement.settings.Seeds = append(replacement.settings.Seeds, registryNode.address())
		}
	}
	return replacement
}
