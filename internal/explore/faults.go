package explore

import (
	"fmt"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/simulation"
	"beaconvane/internal/statemachine"
)

const (
	// leaveTimeoutRounds is when a process that was asked to shut down is stopped if it hasn't finished.
	leaveTimeoutRounds = 60
	// maxProcesses is the maximum number of processes in a run, stopped ones included.
	maxProcesses = 12
)

// applyAction applies an action and reports whether it took effect. An action that is impossible in the current
// state (its process is down, there is no message, too many disks would be lost) does nothing. So every subset of
// a plan's actions is a valid plan, which Shrink relies on.
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

// applyDropFromProxy drops all messages from a proxy of the fleet to the process for action.Rounds.
func (w *World) applyDropFromProxy(p *process, action Action) bool {
	if w.fleet == nil {
		return false
	}
	w.fleet.dropFromProxyUntil[[2]int{p.index, action.Peer % fleetProxies}] = w.round + action.Rounds
	return true
}

// applyFreeze freezes the process for action.Rounds, or until it restarts.
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

// applyMessageFault drops, duplicates or delays the next message. It skips datagrams, writes and operators' requests.
func (w *World) applyMessageFault(action Action) bool {
	if len(w.queue) == 0 || w.stepInRound == 0 || w.queue[0].datagram || w.queue[0].write != nil || w.queue[0].from == operatorAddress {
		return false
	}
	next := w.queue[0]
	w.logf("%s applied to %T from %s to %s", action, next.message, next.from, next.to.address)
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

// canLoseData reports whether a majority of the voters keeps its data without candidate: the rules hold only
// while no more disks are lost than a group of this size tolerates.
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

// newestMemberList merges the member lists of all processes: the highest identity of each voter.
func (w *World) newestMemberList() map[string]string {
	merged := map[string]string{}
	for _, p := range w.processes {
		for voter, identity := range p.machine.VoterState().MemberList {
			merged[voter] = max(merged[voter], identity)
		}
	}
	return merged
}

// applyDiskLoss crashes the process and restarts it with an empty disk.
func (w *World) applyDiskLoss(p *process, action Action) bool {
	if !w.canLoseData(p) {
		return false
	}
	p.crash(action.CrashSeed)
	p.disk, p.hasVoter = simulation.NewDisk(), false
	w.schedule(action.Rounds, func() { p.start(w) })
	return true
}

// applyReplace stops the process permanently and adds a new one after action.Rounds.
func (w *World) applyReplace(p *process, action Action) bool {
	if w.plan.Named || !w.canLoseData(p) || len(w.processes) >= maxProcesses {
		return false
	}
	w.retire(p)
	w.schedule(action.Rounds, func() { w.addProcess(false) })
	return true
}

// applyJoin adds a process.
func (w *World) applyJoin() bool {
	if w.plan.Named || len(w.processes) >= maxProcesses {
		return false
	}
	w.addProcess(false)
	return true
}

// applyLeave asks the process to shut down gracefully, and stops it after leaveTimeoutRounds if it hasn't.
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

// applyCut blocks messages between the process and one peer or all others for action.Rounds.
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

// configBody returns a configuration that is unique to version and content. An invalid one has an unknown field, so
// that validation fails.
func configBody(version int64, content int, invalid bool) []byte {
	field := "note"
	if invalid {
		field = "colour"
	}
	return []byte(fmt.Sprintf(`{%q:"%d of %d","services":["x"],"tenants":[],"routes":[]}`, field, content, version))
}

// applyWrite sends an operator's write to the process.
func (w *World) applyWrite(p *process, action Action) {
	body := configBody(action.Version, action.Content, action.Invalid)
	w.sendRequest(p, &operation{kind: writeKind, version: action.Version, body: string(body)}, func(id int64) any {
		return message.WriteRequest{RequestID: id, ConfigName: configName, Version: action.Version, Body: body}
	})
}

// sendRequest records an operator's request as started and puts it at the front of the queue. newMessage builds the
// message from the request id.
func (w *World) sendRequest(p *process, started *operation, newMessage func(id int64) any) {
	id := w.history.begin(w, started)
	w.step++
	p.requests[id] = request{started, w.step}
	queued := item{sentStep: w.step, from: operatorAddress, to: p, incarnation: p.incarnation, message: newMessage(id)}
	w.queue = append([]item{queued}, w.queue...)
}

// operatorAddress is the sender of all operators' requests.
const operatorAddress = "10.9.0.1:1"
