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
	requestReadyEvery = time.Second
	readyHolds        = 400 * time.Millisecond
	unreadyMost       = 5 // answers in a row
)

type readiness struct {
	incarnation int
	at          time.Duration // of the last yes
	said        bool
	unready     int // noes in a row, while it could have served
}

func (w *World) requestReady(until time.Duration) {
	if w.now > until {
		return
	}
	for _, node := range w.nodesOf(message.RoleProxy) {
		held := w.readiness[node.name]
		if held == nil || held.incarnation != node.incarnation {
			held = &readiness{incarnation: node.incarnation}
			w.readiness[node.name] = held
		}
		if !node.up || node.frozen || node.listenerClosed {
			continue
		}
		w.record.ReadyAsked++
		if node.frontend.Ready(node.Now()) {
			held.said, held.at, held.unready = true, w.now, 0
			continue
		}
		held.said = false
		if _, cut := w.cutSince[node.machine]; cut || node.stopping || !w.knownCurrent(node) || !w.coreStands(node) {
			held.unready = 0
		} else if held.unready++; held.unready == unreadyMost {
			w.fail("%s could serve and was unready %d s in a row", node.name, unreadyMost)
		}
	}
	w.after(requestReadyEvery, func() { w.requestReady(until) })
}

// coreStands says that more than half of the registries are up, in reach of a node, and have the disk
// of their vote, so every tag has a holder. One whose disk was lost is no part of that before
// it has its vote again: while too few others are up nobody can give it one.
func (w *World) coreStands(node *Node) bool {
	count := 0
	for _, registryNode := range w.alive(message.RoleRegistry) {
		if w.linked(node, registryNode) && w.linked(registryNode, node) && w.now-registryNode.born > commit &&
			!w.partitioned(registryNode.machine) &&
			!w.voteLost(registryNode) {
			count++
		}
	}
	return count*2 > len(w.nodesOf(message.RoleRegistry))
}

// voteLost says that the disk with a registry's vote was lost and that it has no vote again yet.
func (w *World) voteLost(registryNode *Node) bool {
	machine, isRegistry := registryNode.control.(*registry.Machine)
	return registryNode.diskLost && isRegistry && !machine.VoterState().Voting
}

// refusedAfterReady checks a refusal by the caller's own proxy against what it told
// the platform.
func (w *World) refusedAfterReady(node *Node, code errcode.Code, attempts int) {
	held := w.readiness[node.name]
	if attempts > 0 || code != errcode.BusyNotReady && code != errcode.BusyStale || held == nil || !held.said ||
		held.incarnation != node.incarnation {
		return
	}
	if w.now-held.at < readyHolds {
		w.fail("%s said that it is ready and refused with %s %s later", node.name, code, w.now-held.at)
	}
}
