package simulation

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
)

// The platform probes the readiness of every proxy once a second. A proxy that has answered ready must not
// refuse a request shortly after because its updates are stale or missing; a proxy that could serve must
// not stay unready.
const (
	readinessProbeInterval = time.Second
	readinessValidFor      = 400 * time.Millisecond
	maxUnreadyAnswers      = 5 // consecutive probes
)

// readiness is the result of a proxy's probes since its last start.
type readiness struct {
	incarnation int
	readyAt     time.Duration // time of the last ready answer
	ready       bool          // the last answer
	unready     int           // consecutive unready answers while it could have served
}

// probeReadiness probes all running proxies periodically, and fails the run if one that could serve stays
// unready.
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
		if _, linkCut := w.cutLinkSince[node.machine]; linkCut || node.stopping || !w.configKnownCurrent(node) || !w.coreHasMajority(node) {
			state.unready = 0
		} else if state.unready++; state.unready == maxUnreadyAnswers {
			w.fail("%s could have served but was unready for %d s", node.name, maxUnreadyAnswers)
		}
	}
	w.after(readinessProbeInterval, func() { w.probeReadiness(until) })
}

// coreHasMajority reports whether more than half of the registries are up, reachable from a node and have
// the disk with their vote, so that every lease has a holder. A registry that lost its disk counts only
// after it has a vote again, which it can't get while too few others are up.
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

// voterDiskLost reports whether a registry has lost the disk with its vote and has no vote again yet.
func (w *World) voterDiskLost(registryNode *Node) bool {
	machine, isRegistry := registryNode.control.(*registry.Machine)
	return registryNode.diskLost && isRegistry && !machine.VoterState().Voting
}

// checkRefusalAfterReady fails the run if a proxy refuses a request as not ready or stale, without an
// attempt, within readinessValidFor of a ready answer.
func (w *World) checkRefusalAfterReady(node *Node, code errcode.Code, attempts int) {
	state := w.readiness[node.name]
	if attempts > 0 || code != errcode.BusyNotReady && code != errcode.BusyStale || state == nil || !state.ready ||
		state.incarnation != node.incarnation {
		return
	}
	if w.now-state.readyAt < readinessValidFor {
		w.fail("%s answered that it is ready and refused a request with %s %s later", node.name, code, w.now-state.readyAt)
	}
}
