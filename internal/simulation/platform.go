// This file is the platform that asks every proxy once a second whether it is ready,
// and what its answers are held to: who says ready must not refuse a moment later for
// want of updates, and who could serve must not stay unready.

package simulation

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
)

const (
	requestReadyEvery = time.Second
	readyHolds        = 400 * time.Millisecond
	unreadyMost       = 5 // answers in a row
)

type readiness struct {
	life    int
	at      time.Duration // of the last yes
	said    bool
	unready int // noes in a row, while it could have served
}

func (w *World) requestReady(until time.Duration) {
	if w.now > until {
		return
	}
	for _, nodeName := range w.of(message.RoleProxy) {
		held := w.readiness[nodeName.name]
		if held == nil || held.life != nodeName.life {
			held = &readiness{life: nodeName.life}
			w.readiness[nodeName.name] = held
		}
		if !nodeName.up || nodeName.frozen || nodeName.deaf {
			continue
		}
		w.record.ReadyAsked++
		if nodeName.frontend.Ready(nodeName.Now()) {
			held.said, held.at, held.unready = true, w.now, 0
			continue
		}
		held.said = false
		if _, cut := w.cutSince[nodeName.machine]; cut || nodeName.stopping || !w.vouched(nodeName) || !w.coreStands(nodeName) {
			held.unready = 0
		} else if held.unready++; held.unready == unreadyMost {
			w.fail("%s could serve and was unready %d s in a row", nodeName.name, unreadyMost)
		}
	}
	w.after(requestReadyEvery, func() { w.requestReady(until) })
}

// coreStands: more than half of the registries are up, in reach of a node, and have the disk
// of their vote, so every tag has a holder. One whose disk was lost is no part of that before
// it has its vote again: while too few others are up nobody can give it one.
func (w *World) coreStands(nodeName *Node) bool {
	count := 0
	for _, board := range w.alive(message.RoleRegistry) {
		if w.linked(nodeName, board) && w.linked(board, nodeName) && w.now-board.born > commit && !w.cutOff(board.machine) &&
			!w.voteLost(board) {
			count++
		}
	}
	return count*2 > len(w.of(message.RoleRegistry))
}

// voteLost: the disk of a registry's vote was lost, and it has none again.
func (w *World) voteLost(board *Node) bool {
	machine, isRegistry := board.control.(*registry.Machine)
	return board.wiped && isRegistry && !machine.VoterState().Voting
}

// refusedAfterReady checks a refusal by the caller's own proxy against what it told
// the platform.
func (w *World) refusedAfterReady(nodeName *Node, code errcode.Code, attempts int) {
	held := w.readiness[nodeName.name]
	if attempts > 0 || code != errcode.BusyNotReady && code != errcode.BusyStale || held == nil || !held.said ||
		held.life != nodeName.life {
		return
	}
	if w.now-held.at < readyHolds {
		w.fail("%s said that it is ready and refused with %s %s later", nodeName.name, code, w.now-held.at)
	}
}
