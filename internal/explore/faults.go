package explore

import (
	"fmt"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/simulation"
	"beaconvane/internal/statemachine"
)

const (
	// leaveTimeoutRounds is after how many rounds a process that was asked to stop is ended.
	leaveTimeoutRounds = 60
	// maxProcesses bounds the processes that a run adds.
	maxProcesses = 12
)

// applyAction carries an action out and reports whether it could. An action that is impossible where it
// stands (its process is down, its message is not there, it would lose too many disks) does nothing,
// so that every part of a plan is a plan and plans can be shrunk.
func (w *World) applyAction(action Action) bool {
	switch action.Kind {
	case DropMessage, DuplicateMessage, DelayMessage:
		return w.applyMessageFault(action)
	case Join:
		return w.applyJoin()
	case AdvanceUpstream:
		return w.changeUpstream(action.Node, action.Peer)
	}
	if action.Node < 0 || action.Node >= len(w.processes) {
		return false
	}
	p := w.processes[action.Node]
	if !p.up || p.removed {
		return false
	}
	w.logf("%s", action)
	switch action.Kind {
	case Crash:
		p.crash(action.CrashSeed)
		w.schedule(action.Rounds, func() { p.start(w) })
	case CrashDuringWrite:
		p.disk.StopAfter(max(action.DiskSteps, 1))
		w.crashSeeds[p.index], w.crashRounds[p.index] = action.CrashSeed, action.Rounds
	case LoseDisk:
		return w.applyDiskLoss(p, action)
	case SlowDisk:
		p.slowUntil = w.round + action.Rounds
	case Replace:
		return w.applyReplace(p, action)
	case Leave:
		return w.applyLeave(p)
	case Cut, CutOneWay, Isolate:
		return w.applyCut(p, action)
	case DropFromProxy:
		return w.applyDropFromProxy(p, action)
	case Freeze:
		return w.applyFreeze(p, action)
	case ClockStep:
		p.wallOffset += time.Duration(action.Rounds) * roundDuration
	case SendWrite:
		w.applyWrite(p, action)
	case SendRead:
		w.sendRequest(p, &operation{kind: readKind}, func(id int64) any {
			return message.ReadRequest{RequestID: id, ConfigName: configName}
		})
	default:
		return false
	}
	return true
}

// applyDropFromProxy has the process receive nothing from a proxy of the fleet for some rounds.
func (w *World) applyDropFromProxy(p *process, action Action) bool {
	if w.fleet == nil {
		return false
	}
	w.fleet.dropFromProxyUntil[[2]int{p.index, action.Peer % fleetProxies}] = w.round + action.Rounds
	return true
}

// applyFreeze stops the process from running for some rounds, unless it restarts before.
func (w *World) applyFreeze(p *process, action Action) bool {
	if p.frozen {
		return false
	}
	p.frozen = true
	incarnation := p.incarnation
	w.schedule(action.Rounds, func() {
		if p.incarnation == incarnation {
			p.frozen, p.thawRound = false, w.round
		}
	})
	return true
}

func (w *World) applyMessageFault(action Action) bool {
	if len(w.queue) == 0 || w.stepInRound == 0 || w.queue[0].datagram || w.queue[0].write != nil || w.queue[0].from == operatorAddress {
		return false
	}
	next := w.queue[0]
	w.logf("%s of %T from %s to %s", action, next.message, next.from, next.to.address)
	switch action.Kind {
	case DropMessage:
		w.queue = w.queue[1:]
	case DuplicateMessage:
		w.delay(next, action.Rounds)
	case DelayMessage:
		w.queue = w.queue[1:]
		w.delay(next, action.Rounds)
	}
	return true
}

// canLoseData says that a majority besides this process has its data: the promises hold only
// while not more disks are lost than a group of its size bears.
func (w *World) canLoseData(candidate *process) bool {
	if !candidate.hasVoter {
		return true
	}
	memberList := w.newestMemberList()
	intact := 0
	for _, p := range w.processes {
		state := p.machine.VoterState()
		replaced := !w.plan.Named && memberList[state.Voter] != state.Identity
		if p.hasVoter && !p.removed && !replaced && p != candidate {
			intact++
		}
	}
	return intact > w.plan.Voters/2
}

// newestMemberList joins the member lists of all processes, voter by voter.
func (w *World) newestMemberList() map[string]string {
	merged := map[string]string{}
	for _, p := range w.processes {
		for voter, identity := range p.machine.VoterState().MemberList {
			merged[voter] = max(merged[voter], identity)
		}
	}
	return merged
}

func (w *World) applyDiskLoss(p *process, action Action) bool {
	if !w.canLoseData(p) {
		return false
	}
	p.crash(action.CrashSeed)
	p.disk, p.hasVoter = simulation.NewDisk(), false
	w.schedule(action.Rounds, func() { p.start(w) })
	return true
}

func (w *World) applyReplace(p *process, action Action) bool {
	if w.plan.Named || !w.canLoseData(p) || len(w.processes) >= maxProcesses {
		return false
	}
	w.retire(p)
	w.schedule(action.Rounds, func() { w.addProcess(false) })
	return true
}

func (w *World) applyJoin() bool {
	if w.plan.Named || len(w.processes) >= maxProcesses {
		return false
	}
	w.addProcess(false)
	return true
}

func (w *World) applyLeave(p *process) bool {
	if w.plan.Named || p.leaving || !w.canLoseData(p) {
		return false
	}
	p.leaving = true
	incarnation := p.incarnation
	w.schedule(leaveTimeoutRounds, func() {
		if p.incarnation == incarnation && !p.removed {
			w.retire(p)
		}
	})
	p.apply(w, statemachine.LocalRequest{RequestID: 1, Request: stopRequest(p.role)})
	return true
}

func (w *World) applyCut(p *process, action Action) bool {
	cutUntil := w.round + action.Rounds
	if action.Kind == Isolate {
		for _, peer := range w.processes {
			w.cutUntil[[2]int{p.index, peer.index}], w.cutUntil[[2]int{peer.index, p.index}] = cutUntil, cutUntil
		}
		return true
	}
	if action.Peer < 0 || action.Peer >= len(w.processes) || action.Peer == action.Node {
		return false
	}
	w.cutUntil[[2]int{p.index, action.Peer}] = cutUntil
	if action.Kind == Cut {
		w.cutUntil[[2]int{action.Peer, p.index}] = cutUntil
	}
	return true
}

// configBody is the configuration that an operator sends as a content under a version.
func configBody(version int64, content int, invalid bool) []byte {
	field := "note"
	if invalid {
		field = "colour"
	}
	return []byte(fmt.Sprintf(`{%q:"%d of %d","services":["x"],"tenants":[],"routes":[]}`, field, content, version))
}

func (w *World) applyWrite(p *process, action Action) {
	body := configBody(action.Version, action.Content, action.Invalid)
	w.sendRequest(p, &operation{kind: writeKind, version: action.Version, body: string(body)}, func(id int64) any {
		return message.WriteRequest{RequestID: id, ConfigName: configName, Version: action.Version, Body: body}
	})
}

// sendRequest hands an operator's order or question to a process at once; it counts as asked now.
func (w *World) sendRequest(p *process, started *operation, newMessage func(id int64) any) {
	id := w.history.begin(w, started)
	w.step++
	p.requests[id] = request{started, w.step}
	queued := item{sentStep: w.step, from: operatorAddress, to: p, incarnation: p.incarnation, message: newMessage(id)}
	w.queue = append([]item{queued}, w.queue...)
}

const operatorAddress = "10.9.0.1:1"
