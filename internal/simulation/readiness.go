package simulation

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
)

// The platform asks every proxy once a second whether it is ready. A proxy that says that it is must
// not refuse a moment later for want of updates; one that could serve must not stay unready.
const (
	readinessProbeInterval = time.Second
	readinessValidFor      = 400 * time.Millisecond
	maxUnreadyAnswers      = 5 // answers in a row
)

type readiness struct {
	incarnation int
	readyAt     time.Duration // of the last yes
	ready       bool
	unready     int // noes in a row, while it could have served
}

func (w *World) probeReadiness(until time.Duration) {
	if w.now > until {
		return
	}
	for _, node := range w.nodesByRole(message.RoleProxy) {
		state := w.readiness[node.name]
		if state == nil || state.incarnation != node.incarnation {
			state = &readiness{incarnation: node.incarnation}
			w.readiness[node.name] = state
		}
		if !node.up || node.frozen || node.listenerClosed {
			continue
		}
		w.record.ReadyAsked++
		if node.frontend.Ready(node.Now()) {
			state.ready, state.readyAt, state.unready = true, w.now, 0
			continue
		}
		state.ready = false
		if _, linkCut := w.cutLinkSince[node.machine]; linkCut || node.stopping || !w.configurationKnownCurrent(node) || !w.coreHasMajority(node) {
			state.unready = 0
		} else if state.unready++; state.unready == maxUnreadyAnswers {
			w.fail("%s could serve and was unready %d s in a row", node.name, maxUnreadyAnswers)
		}
	}
	w.after(readinessProbeInterval, func() { w.probeReadiness(until) })
}

// coreStands says that more than half of the registries are up, in reach of a node, and have the disk
// of their vote, so every tag has a holder. One whose disk was lost is no part of that before
// it has its vote again: while too few others are up nobody can give it one.
func (w *World) coreHasMajority(node *Node) bool {
	count := 0
	for _, registryNode := range w.runningNodes(message.RoleRegistry) {
		if w.reachable(node, registryNode) && w.reachable(registryNode, node) && w.now-registryNode.startedAt > propagationTime &&
			!w.hasCutLink(registryNode.machine) &&
			!w.voterDiskLost(registryNode) {
			count++
		}
	}
	return count*2 > len(w.nodesByRole(message.RoleRegistry))
}

// voteLost says that the disk with a registry's vote was lost and that it has no vote again yet.
func (w *World) voterDiskLost(registryNode *Node) bool {
	machine, isRegistry := registryNode.control.(*registry.Machine)
	return registryNode.diskLost && isRegistry && !machine.VoterState().Voting
}

// refusedAfterReady checks a refusal by the caller's own proxy against what it told
// the platform.
func (w *World) checkRefusalAfterReady(node *Node, code errcode.Code, attempts int) {
	state := w.readiness[node.name]
	if attempts > 0 || code != errcode.BusyNotReady && code != errcode.BusyStale || state == nil || !state.ready ||
		state.incarnation != node.incarnation {
		return
	}
	if w.now-state.readyAt < readinessValidFor {
		w.fail("%s said that it is ready and refused with %s %s later", node.name, code, w.now-state.readyAt)
	}
}
