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

// The second-loss scenario takes another core machine away as soon as a repaired or replaced one has
// its vote; orders must be accepted while the second machine is away.
const (
	secondLossEvery = 400 * time.Millisecond // between orders
	lossWithin      = 300 * time.Millisecond // of the newcomer's vote
	secondLossAway  = 8 * time.Second
	orderTakenAfter = 6 * time.Second // of the second loss, at the latest
	programsOfCore  = 2               // a registry and a configstore on each core machine
)

// replacementDies is a planned replacement whose newcomer dies in the middle of it.
const replacementDies = "replace-planned-heir-dies"

// armedLoss waits for the moment at which a newcomer has its vote.
type armedLoss struct {
	kind    string
	away    time.Duration
	spared  string // a machine that is not lost
	machine string // that was lost
	at      time.Duration
}

func secondLossPlan(d workload.Deployment, random *rand.Rand) []Step {
	repairs := []string{"kill-disk", "replace-voter"}
	if d.VoterCount > 0 {
		repairs = []string{"kill-disk", "replace-core", "replace-planned", "replace-planned-alone", replacementDies}
	}
	first, at := core(d, random), span(random, 10, 11)
	repair := repairs[random.IntN(len(repairs))]
	loss := []string{"kill", "kill-disk", "cut-core"}[random.IntN(3)]
	plan := []Step{
		{At: 9 * time.Second, Do: "order-steadily", For: 26 * time.Second},
		{At: at + 10*time.Millisecond, Do: repair, Target: first, For: span(random, 0.3, 1.5)},
	}
	if repair == replacementDies {
		// The newcomer's end is the loss.
		return plan
	}
	return append(plan, Step{At: at, Do: "arm-" + loss, Target: first, For: secondLossAway})
}

// armPrefix begins the names of steps that wait for a newcomer's vote; the rest names the loss.
const armPrefix = "arm-"

// secondLossSteps returns the steps of the second-loss scenario, by the name that plans use.
func secondLossSteps() map[string]fault {
	return map[string]fault{
		"order-steadily":        (*World).orderSteadily,
		"replace-planned":       func(w *World, step Step) { w.replacePlanned(step.Target, step.For, "") },
		"replace-planned-alone": func(w *World, step Step) { w.replaceAlone(step.Target, step.For) },
		replacementDies:         func(w *World, step Step) { w.replacePlanned(step.Target, step.For, replacementDies) },
	}
}

func (w *World) orderSteadily(step Step) {
	w.repeat(secondLossEvery, w.now+step.For, func() {
		w.versions++
		tenants := w.options.Deployment.Tenants()[:w.tenants]
		w.persist(w.newOrder(w.versions, tenants, w.options.Deployment.Configuration(tenants, int(w.versions)), nil))
	})
}

// armLoss has the loss that the step names wait for a newcomer's vote.
func (w *World) armLoss(kind string, step Step) {
	w.armed = &armedLoss{kind: kind, away: step.For, spared: step.Target}
}

// recovered handles that a newcomer has its vote: the loss that was armed for it comes at any moment now.
func (w *World) recovered(newcomer *Node) {
	armed := w.armed
	w.voting[newcomer.machine]++
	if armed == nil || armed.machine != "" || w.voting[newcomer.machine] < programsOfCore {
		return
	}
	others := []string{}
	for _, machine := range w.cores() {
		if machine != newcomer.machine && machine != armed.spared {
			others = append(others, machine)
		}
	}
	armed.machine = others[w.random.IntN(len(others))]
	w.after(time.Duration(w.random.Int64N(int64(lossWithin))), func() { w.loseSecond(armed) })
}

func (w *World) loseSecond(armed *armedLoss) {
	w.dangers["second losses right after a newcomer's vote"]++
	w.do(Step{At: w.now, Do: armed.kind, Target: armed.machine, For: armed.away})
	armed.at = w.now
	before := w.newestAcked
	w.after(orderTakenAfter, func() {
		if w.newestAcked == before {
			w.fail("no order was taken for %s after the loss of %s", orderTakenAfter, armed.machine)
		}
		w.dangers["orders taken while the second is away"] += int(w.newestAcked - before)
	})
}

// replacePlanned adds an empty machine first, and then stops the one that it replaces.
func (w *World) replacePlanned(machine string, wait time.Duration, how string) {
	heirs := []*Node{}
	for _, old := range w.machineNodes(machine) {
		heirs = append(heirs, w.addHeir(old, machine+"-after"))
	}
	for _, replacement := range heirs {
		replacement.boot()
	}
	w.after(max(wait, time.Second), func() {
		w.holdsNewestAlone(machine)
		for _, old := range w.machineNodes(machine) {
			old.stopForGood()
		}
		if how == "" {
			return
		}
		w.after(time.Duration(w.random.Int64N(int64(lossWithin))), func() {
			w.dangers["newcomers lost in the middle of a planned replacement"]++
			for _, replacement := range heirs {
				replacement.kill(true, true)
				replacement.retired = true
			}
		})
	})
}

// replaceAlone stops a machine that has the newest change on a bare majority: another one
// is cut off for the last orders before it.
func (w *World) replaceAlone(machine string, wait time.Duration) {
	others := without(w.cores(), machine)
	behind := others[w.random.IntN(len(others))]
	w.cutBetween([]string{behind}, without(w.cores(), behind), true, wait+500*time.Millisecond)
	w.replacePlanned(machine, wait, "")
}

// holdsNewestAlone counts leaving voters whose newest change most others lack.
func (w *World) holdsNewestAlone(machine string) {
	newest, holders := int64(0), 0
	for _, store := range w.alive(message.RoleConfigStore) {
		held := newestOf(store)
		if store.machine == machine {
			newest = held
		}
	}
	for _, store := range w.alive(message.RoleConfigStore) {
		if newestOf(store) >= newest {
			holders++
		}
	}
	if holders*2 <= len(w.cores())+1 {
		w.dangers["leaving voters with the newest change on a bare majority"]++
	}
	if machine == w.holder(settings.ConfigLogLease) {
		w.dangers["leaving lease holders"]++
	}
}

// addHeir is an empty node of a role at a new address, whose seeds are of now.
func (w *World) addHeir(old *Node, machine string) *Node {
	w.serial++
	host, port, _ := strings.Cut(old.settings.Address, ":")
	parts := strings.Split(host, ".")
	replacement := w.addNode(old.role, machine, "", old.settings.Zone,
		fmt.Sprintf("%s.%d:%s", strings.Join(parts[:3], "."), 100+w.serial, port), old.settings.Seeds)
	replacement.settings.Bootstrap = false
	replacement.settings.Seeds = []string{}
	for _, registryNode := range w.nodesOf(message.RoleRegistry) {
		if registryNode != replacement && !registryNode.retired && len(replacement.settings.Seeds) < 3 {
			replacement.settings.Seeds = append(replacement.settings.Seeds, registryNode.address())
		}
	}
	return replacement
}
