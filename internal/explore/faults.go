package explore

import (
	"fmt"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/simulation"
	"beaconvane/internal/statemachine"
)

const (
	// leaveLimit is after how many rounds a process that was asked to stop is ended.
	leaveLimit = 60
	// processLimit bounds the processes that a run adds.
	processLimit = 12
)

// do carries an action out and reports whether it could. An action that is impossible where it
// stands (its process is down, its message is not there, it would lose too many disks) does nothing,
// so that every part of a plan is a plan and plans can be shrunk.
func (w *World) do(action Action) bool {
	switch action.Kind {
	case Lose, Double, Late:
		return w.doMessage(action)
	case Join:
		return w.doJoin()
	case UpstreamStep:
		return w.changeUpstream(action.Node, action.Peer)
	}
	if action.Node < 0 || action.Node >= len(w.processes) {
		return false
	}
	p := w.processes[action.Node]
	if !p.up || p.gone {
		return false
	}
	w.note("%s", action)
	switch action.Kind {
	case Crash:
		p.stop(action.Dice)
		w.after(action.Rounds, func() { p.boot(w) })
	case CrashDisk:
		p.disk.StopAfter(max(action.DiskSteps, 1))
		w.crashDice[p.index], w.crashRounds[p.index] = action.Dice, action.Rounds
	case DiskLost:
		return w.doDiskLost(p, action)
	case DiskSlow:
		p.slowTo = w.round + action.Rounds
	case Replace:
		return w.doReplace(p, action)
	case Leave:
		return w.doLeave(p)
	case Cut, CutOneWay, Isolate:
		return w.doCut(p, action)
	case DropFromProxy:
		return w.doDropFromProxy(p, action)
	case Freeze:
		return w.doFreeze(p, action)
	case ClockStep:
		p.wall += time.Duration(action.Rounds) * roundTime
	case WriteOrder:
		w.doWrite(p, action)
	case ReadOrder:
		w.ask(p, &operation{kind: readKind}, func(id int64) any {
			return message.ReadRequest{RequestID: id, ConfigName: configName}
		})
	default:
		return false
	}
	return true
}

// doDropFromProxy has the process receive nothing from a proxy of the fleet for some rounds.
func (w *World) doDropFromProxy(p *process, action Action) bool {
	if w.fleet == nil {
		return false
	}
	w.fleet.dropFromProxyUntil[[2]int{p.index, action.Peer % fleetProxies}] = w.round + action.Rounds
	return true
}

// doFreeze stops the process from running for some rounds, unless it restarts before.
func (w *World) doFreeze(p *process, action Action) bool {
	if p.frozen {
		return false
	}
	p.frozen = true
	incarnation := p.incarnation
	w.after(action.Rounds, func() {
		if p.incarnation == incarnation {
			p.frozen, p.thawedAt = false, w.round
		}
	})
	return true
}

func (w *World) doMessage(action Action) bool {
	if len(w.queue) == 0 || w.inRound == 0 || w.queue[0].datagram || w.queue[0].write != nil || w.queue[0].from == operatorAddress {
		return false
	}
	next := w.queue[0]
	w.note("%s of %T from %s to %s", action, next.message, next.from, next.to.address)
	switch action.Kind {
	case Lose:
		w.queue = w.queue[1:]
	case Double:
		w.hold(next, action.Rounds)
	case Late:
		w.queue = w.queue[1:]
		w.hold(next, action.Rounds)
	}
	return true
}

// spared says that a majority besides this process has its data: the promises hold only
// while not more disks are lost than a group of its size bears.
func (w *World) spared(lost *process) bool {
	if !lost.seated {
		return true
	}
	newest := w.newestList()
	whole := 0
	for _, p := range w.processes {
		state := p.machine.VoterState()
		replaced := !w.plan.Named && newest[state.Voter] != state.Identity
		if p.seated && !p.gone && !replaced && p != lost {
			whole++
		}
	}
	return whole > w.plan.Voters/2
}

// newestList joins the member lists of all processes, voter by voter.
func (w *World) newestList() map[string]string {
	newest := map[string]string{}
	for _, p := range w.processes {
		for voter, identity := range p.machine.VoterState().MemberList {
			newest[voter] = max(newest[voter], identity)
		}
	}
	return newest
}

func (w *World) doDiskLost(p *process, action Action) bool {
	if !w.spared(p) {
		return false
	}
	p.stop(action.Dice)
	p.disk, p.seated = simulation.NewDisk(), false
	w.after(action.Rounds, func() { p.boot(w) })
	return true
}

func (w *World) doReplace(p *process, action Action) bool {
	if w.plan.Named || !w.spared(p) || len(w.processes) >= processLimit {
		return false
	}
	w.retire(p)
	w.after(action.Rounds, func() { w.addProcess(false) })
	return true
}

func (w *World) doJoin() bool {
	if w.plan.Named || len(w.processes) >= processLimit {
		return false
	}
	w.addProcess(false)
	return true
}

func (w *World) doLeave(p *process) bool {
	if w.plan.Named || p.leaving || !w.spared(p) {
		return false
	}
	p.leaving = true
	incarnation := p.incarnation
	w.after(leaveLimit, func() {
		if p.incarnation == incarnation && !p.gone {
			w.retire(p)
		}
	})
	p.apply(w, statemachine.LocalRequest{RequestID: 1, Request: stopQuestion(p.role)})
	return true
}

func (w *World) doCut(p *process, action Action) bool {
	heals := w.round + action.Rounds
	if action.Kind == Isolate {
		for _, peer := range w.processes {
			w.cutTo[[2]int{p.index, peer.index}], w.cutTo[[2]int{peer.index, p.index}] = heals, heals
		}
		return true
	}
	if action.Peer < 0 || action.Peer >= len(w.processes) || action.Peer == action.Node {
		return false
	}
	w.cutTo[[2]int{p.index, action.Peer}] = heals
	if action.Kind == Cut {
		w.cutTo[[2]int{action.Peer, p.index}] = heals
	}
	return true
}

// bodyOf is the configuration that an operator sends as a content under a version.
func bodyOf(version int64, content int, bad bool) []byte {
	field := "note"
	if bad {
		field = "colour"
	}
	return []byte(fmt.Sprintf(`{%q:"%d of %d","services":["x"],"tenants":[],"routes":[]}`, field, content, version))
}

func (w *World) doWrite(p *process, action Action) {
	body := bodyOf(action.Version, action.Content, action.Bad)
	w.ask(p, &operation{kind: writeKind, version: action.Version, body: string(body)}, func(id int64) any {
		return message.WriteRequest{RequestID: id, ConfigName: configName, Version: action.Version, Body: body}
	})
}

// ask hands an operator's order or question to a process at once; it counts as asked now.
func (w *World) ask(p *process, asked *operation, messageOf func(id int64) any) {
	id := w.history.begin(w, asked)
	w.step++
	p.requests[id] = request{asked, w.step}
	order := item{step: w.step, from: operatorAddress, to: p, incarnation: p.incarnation, message: messageOf(id)}
	w.queue = append([]item{order}, w.queue...)
}

const operatorAddress = "10.9.0.1:1"
