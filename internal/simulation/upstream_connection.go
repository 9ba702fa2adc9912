package simulation

import (
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// upstreamConnection is a connection to an upstream's process: pooled, in use, or the guard connection
// that detects the end of the process. It closes when the process ends, but stays open without traffic
// when the machine vanishes.
type upstreamConnection struct {
	owner       *Upstream
	incarnation int
	stream      *upstreamStream
}

// ownerRunning reports whether the process at the other end is still running.
func (u upstreamConnection) ownerRunning() bool {
	return u.owner.up && u.owner.incarnation == u.incarnation
}

// idle reports whether the connection is open and has no unread bytes, as its serving proxy sees it.
func (u upstreamConnection) idle() bool {
	return (u.ownerRunning() || u.owner.vanishedIncarnations[u.incarnation]) && u.stream.idle()
}

// openGuardConnection opens the guard connection of an announced upstream and fills its pool, as
// backend.UpstreamClient does.
func (n *Node) openGuardConnection(announcement backend.Announcement) {
	target := backend.Target{
		Key:         announcement.Service + "/" + announcement.Instance,
		Address:     announcement.Address,
		Incarnation: announcement.Incarnation,
	}
	incarnation := n.incarnation
	n.world.after(n.world.randomTransitDelay(), func() {
		n.run(incarnation, func() {
			owner := n.world.upstreamByAddress[target.Address]
			if owner == nil || !owner.up {
				n.backend.RecordConnectionLoss(n.Now(), target)
				return
			}
			n.guardConnections[target] = upstreamConnection{owner: owner, incarnation: owner.incarnation}
			n.fillPool(target)
		})
	})
}

// fillPool opens connections to an upstream until the pool has the number of warm ones.
func (n *Node) fillPool(target backend.Target) {
	owner := n.world.upstreamByAddress[target.Address]
	for owner != nil && owner.up && len(n.connectionPools[target]) < n.backend.WarmConnections(target) &&
		n.backend.Dialable(n.Now(), target) {
		n.connectionPools[target] = append(n.connectionPools[target], upstreamConnection{owner: owner, incarnation: owner.incarnation})
	}
}

// takeIdleConnection removes an idle connection from the pool, and drops those that are not idle.
func (n *Node) takeIdleConnection(target backend.Target) (upstreamConnection, bool) {
	for list := n.connectionPools[target]; len(list) > 0; list = n.connectionPools[target] {
		connection := list[len(list)-1]
		n.connectionPools[target] = list[:len(list)-1]
		if connection.idle() {
			return connection, true
		}
	}
	return upstreamConnection{}, false
}

// callUpstream sends a request from the serving proxy to an upstream, on a pooled connection or a new one,
// as backend.UpstreamClient does on sockets.
func (n *Node) callUpstream(incarnation int, decision backend.Decision) {
	w := n.world
	target := decision.Target
	target.DelegationToken = ""
	refuse := func(code errcode.Code) {
		n.run(incarnation, func() { n.dispatcher.Complete(decision, message.Outcome{Kind: message.NotStarted, Code: int64(code)}) })
	}
	if connection, pooled := n.takeIdleConnection(target); pooled {
		n.exchange(incarnation, decision, connection)
		return
	}
	guarded := func() bool {
		guard, known := n.guardConnections[target]
		if known && !guard.idle() {
			n.backend.RecordConnectionLoss(n.Now(), target)
		}
		return known && guard.idle()
	}
	if !n.backend.ConnectionsUsable(n.Now(), target) || !guarded() {
		refuse(errcode.BusyUpstreamGone)
		return
	}
	if !n.backend.Dialable(n.Now(), target) {
		if owner := w.upstreamByAddress[target.Address]; owner != nil && owner.announcement.Incarnation != target.Incarnation {
			w.dangers["dials barred at an address that has another owner"]++
		}
		refuse(errcode.BusyUnproven)
		return
	}
	w.after(w.randomTransitDelay(), func() {
		n.run(incarnation, func() {
			owner := w.upstreamByAddress[target.Address]
			switch {
			case owner == nil || !owner.up:
				n.backend.RecordConnectionLoss(n.Now(), target)
				refuse(errcode.BusyUpstreamGone)
			case !n.backend.Dialable(n.Now(), target) || !guarded():
				refuse(errcode.BusyUnproven)
			default:
				n.exchange(incarnation, decision, upstreamConnection{owner: owner, incarnation: owner.incarnation})
			}
		})
	})
}

// exchange sends a request on a connection once and completes it with the outcome, or with an unknown one
// after 95% of the remaining time.
func (n *Node) exchange(incarnation int, decision backend.Decision, connection upstreamConnection) {
	w, target := n.world, decision.Target
	target.DelegationToken = ""
	limit := time.Duration(decision.Forward.Remaining)
	if connection.stream == nil {
		connection.stream = &upstreamStream{}
	}
	finished := false
	end := func(outcome message.Outcome, broken bool) {
		if finished {
			return
		}
		finished = true
		n.run(incarnation, func() {
			if broken {
				n.backend.InvalidateProof(target)
			} else if outcome.Kind == message.Completed {
				n.backend.RecordActivity(n.Now(), target)
				if connection.owner.serviceSpec.Closes || !connection.stream.reusable {
					n.fillPool(target)
				} else if n.backend.ConnectionsUsable(n.Now(), target) {
					n.connectionPools[target] = append(n.connectionPools[target], connection)
				}
			}
			n.dispatcher.Complete(decision, outcome)
		})
	}
	w.after(n.trueWait(limit-limit/20), func() {
		end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownTimeout)}, false)
	})
	w.after(w.randomTransitDelay()/2, func() {
		lose := func() {
			w.after(w.randomTransitDelay()/2, func() {
				end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}, true)
			})
		}
		switch {
		case connection.ownerRunning():
			connection.stream.requestSent(w)
			connection.owner.execute(n, decision, connection.stream, end, lose)
		case !connection.owner.vanishedIncarnations[connection.incarnation]:
			lose()
		case w.upstreamByAddress[target.Address] != nil:
			// The new owner of the address doesn't have that connection and resets it.
			w.dangers["connections reset by an address's new owner"]++
			lose()
		}
	})
}
