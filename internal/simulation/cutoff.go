// This file is the scenario of a core machine that is cut off for twenty seconds, both
// ways or one way, while operators send orders and read at all sides, processes restart on
// both sides, and some begin with seeds that name the cut-off machine first.

package simulation

import (
	"math/rand/v2"
	"strings"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

const (
	cutLength     = 20 * time.Second
	cutOrderEvery = 900 * time.Millisecond
	cutReadEvery  = 400 * time.Millisecond
	holderTarget  = "holder" // the machine that holds the configuration log's lease
)

func cutoffPlan(d workload.Deployment, random *rand.Rand) []Step {
	kind := []string{"sever", "sever-out", "sever-in"}[random.IntN(3)]
	target := core(d, random)
	if random.IntN(2) == 0 {
		target = holderTarget
	}
	at := span(random, 10, 11)
	plan := []Step{{At: at, Do: kind, Target: target, For: cutLength},
		{At: at - time.Second, Do: "order-at-all-sides", For: cutLength + 4*time.Second}}
	for _, restart := range []string{"restart-severed", "restart-other", "restart-with-severed-seed"} {
		if random.IntN(2) == 0 {
			plan = append(plan, Step{At: at + span(random, 2, 17), Do: restart, For: span(random, 0.2, 1.5)})
		}
	}
	return plan
}

// doCutoff carries out the scenario's own steps; false when the step is another's.
func (w *World) doCutoff(step Step) bool {
	switch step.Do {
	case "sever", "sever-out", "sever-in":
		w.sever(step)
	case "order-at-all-sides":
		until := w.now + step.For
		w.orderAtAllSides(until)
		w.readAtAllSides(until)
	case "restart-severed":
		for _, machine := range w.severedMachines() {
			w.restart(w.machineNodes(machine), false, step.For)
			w.dangers["restarts on the cut-off side"]++
		}
	case "restart-other":
		others := w.cores()
		for _, machine := range w.severedMachines() {
			others = without(others, machine)
		}
		w.restart(w.machineNodes(others[w.random.IntN(len(others))]), false, step.For)
		w.dangers["restarts on the other side"]++
		if away := len(w.severed) + 1; away*2 >= len(w.cores()) {
			w.unsettled(step.For)
		}
	case "restart-with-severed-seed":
		w.restartWithSeveredSeed(step.For)
	default:
		return false
	}
	return true
}

// sever cuts a core machine from all other core machines.
func (w *World) sever(step Step) {
	machine := step.Target
	if machine == holderTarget {
		machine = w.holder(settings.ConfigLogTag)
	}
	others := without(w.cores(), machine)
	switch step.Do {
	case "sever":
		w.cutBetween([]string{machine}, others, true, step.For)
	case "sever-out":
		w.cutBetween([]string{machine}, others, false, step.For)
	default:
		w.cutBetween(others, []string{machine}, false, step.For)
	}
	w.severed[machine] = w.now
	w.after(step.For, func() { delete(w.severed, machine) })
}

// settleTime is how long after the core had no majority nobody is held to the bounds for
// connected nodes: the platform's contact-s.
const settleTime = 3 * time.Second

// unsettled: the core has no majority for some time.
func (w *World) unsettled(length time.Duration) {
	for _, proxy := range w.of(message.RoleProxy) {
		proxy.closeSpan()
	}
	w.after(length+settleTime, func() {
		for _, proxy := range w.of(message.RoleProxy) {
			if proxy.up && !proxy.frozen && !proxy.spanOn {
				proxy.openSpan()
			}
		}
	})
}

func (w *World) severedMachines() []string {
	list := []string{}
	for _, machine := range w.cores() {
		if _, severed := w.severed[machine]; severed {
			list = append(list, machine)
		}
	}
	return list
}

// side picks a registry of the cut-off side, or of the other one.
func (w *World) side(severed bool) *Node {
	boards := []*Node{}
	for _, board := range w.alive(message.RoleRegistry) {
		if _, cut := w.severed[board.machine]; cut == severed {
			boards = append(boards, board)
		}
	}
	if len(boards) == 0 {
		return nil
	}
	return boards[w.random.IntN(len(boards))]
}

// orderAtAllSides sends an order to each side, the same to both every third time.
func (w *World) orderAtAllSides(until time.Duration) {
	if w.now > until {
		return
	}
	tenants := w.options.Deployment.Tenants()[:w.tenants]
	for _, severed := range []bool{true, false} {
		if board := w.side(severed); board != nil {
			w.versions++
			o := w.newOrder(w.versions, tenants, w.options.Deployment.Configuration(tenants, int(w.versions)), nil)
			w.sendOrder(o, board)
		}
	}
	w.after(cutOrderEvery, func() { w.orderAtAllSides(until) })
}

func (w *World) readAtAllSides(until time.Duration) {
	if w.now > until {
		return
	}
	for _, severed := range []bool{true, false} {
		if board := w.side(severed); board != nil {
			w.askBoard(board, registry.ReadConfiguration{ConfigName: "main"}, func(registry.Answer) {})
			w.readViews(board)
		}
	}
	w.after(cutReadEvery, func() { w.readAtAllSides(until) })
}

// readViews: who has been cut off for long gives neither roster nor state of configurations
// out as current.
func (w *World) readViews(board *Node) {
	since, severed := w.severed[board.machine]
	if !severed || w.now-since < board.settings.MaxAgeReady()+settleTime {
		return
	}
	for _, question := range []any{registry.ReadRoster{}, registry.ReadConfigurationStatus{ConfigName: "main"}} {
		board.request(question, func(answer any) {
			w.dangers["views asked of a cut-off node"]++
			if code := mustBe[registry.Answer](answer).Code; code == errcode.OK {
				w.fail("%s, cut off for %s, answered %T as current", board.name, w.now-since, question)
			}
		})
	}
}

// restartWithSeveredSeed restarts some proxies, whose settings now name the cut-off machine
// first.
func (w *World) restartWithSeveredSeed(down time.Duration) {
	seeds := []string{}
	for _, machine := range append(w.severedMachines(), w.cores()...) {
		for _, board := range w.machineNodes(machine) {
			if board.role == message.RoleRegistry && !strings.Contains(strings.Join(seeds, " "), board.address()) {
				seeds = append(seeds, board.address())
			}
		}
	}
	for index, proxy := range w.of(message.RoleProxy) {
		if index%3 == 0 {
			proxy.settings.Seeds = seeds[:min(len(seeds), 3)]
			w.restart([]*Node{proxy}, false, down)
			w.dangers["restarts with the cut-off machine as first seed"]++
		}
	}
}
