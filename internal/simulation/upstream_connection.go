package simulation

import (
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// upConnection is a connection to an upstream's process, idle or as a guard. It ends when that
// process ends; of one whose machine vanished nothing is heard.
type upConnection struct {
	owner       *Upstream
	incarnation int
	stream      *upstreamStream
}

func (u upConnection) there() bool { return u.owner.up && u.owner.incarnation == u.incarnation }

// quiet says that nothing has arrived on the connection, as its serving proxy sees it.
func (u upConnection) quiet() bool {
	return (u.there() || u.owner.vanished[u.incarnation]) && u.stream.quiet()
}

// guard opens the guard connection of an announced upstream and some to be kept ready, as
// backend.UpstreamClient does.
func (n *Node) guard(response backend.Announcement) {
	target := backend.Target{Key: response.Service + "/" + response.Instance, Address: response.Address, Incarnation: response.Incarnation}
	incarnation := n.incarnation
	n.world.after(n.world.transit(), func() {
		n.run(incarnation, func() {
			owner := n.world.addresses[target.Address]
			if owner == nil || !owner.up {
				n.serving.RecordConnectionLoss(n.Now(), target)
				return
			}
			n.guards[target] = upConnection{owner: owner, incarnation: owner.incarnation}
			n.fill(target)
		})
	})
}

func (n *Node) fill(target backend.Target) {
	owner := n.world.addresses[target.Address]
	for owner != nil && owner.up && len(n.pools[target]) < n.serving.WarmConnections(target) && n.serving.Dialable(n.Now(), target) {
		n.pools[target] = append(n.pools[target], upConnection{owner: owner, incarnation: owner.incarnation})
	}
}

// idle takes a connection that was kept.
func (n *Node) idle(target backend.Target) (upConnection, bool) {
	for list := n.pools[target]; len(list) > 0; list = n.pools[target] {
		connection := list[len(list)-1]
		n.pools[target] = list[:len(list)-1]
		if connection.quiet() {
			return connection, true
		}
	}
	return upConnection{}, false
}

// call is the serving proxy's exchange with an upstream, as backend.UpstreamClient
// makes it on sockets.
func (n *Node) call(incarnation int, order backend.Decision) {
	w := n.world
	target := order.Target
	target.DelegationToken = ""
	refuse := func(code errcode.Code) {
		n.run(incarnation, func() { n.tracker.Complete(order, message.Outcome{Kind: message.NotStarted, Code: int64(code)}) })
	}
	if connection, kept := n.idle(target); kept {
		n.exchange(incarnation, order, connection)
		return
	}
	guarded := func() bool {
		guard, known := n.guards[target]
		if known && !guard.quiet() {
			n.serving.RecordConnectionLoss(n.Now(), target)
		}
		return known && guard.quiet()
	}
	if !n.serving.ConnectionsUsable(n.Now(), target) || !guarded() {
		refuse(errcode.BusyUpstreamGone)
		return
	}
	if !n.serving.Dialable(n.Now(), target) {
		if owner := w.addresses[target.Address]; owner != nil && owner.response.Incarnation != target.Incarnation {
			w.dangers["dials barred at an address that has another owner"]++
		}
		refuse(errcode.BusyUnproven)
		return
	}
	w.after(w.transit(), func() {
		n.run(incarnation, func() {
			owner := w.addresses[target.Address]
			switch {
			case owner == nil || !owner.up:
				n.serving.RecordConnectionLoss(n.Now(), target)
				refuse(errcode.BusyUpstreamGone)
			case !n.serving.Dialable(n.Now(), target) || !guarded():
				refuse(errcode.BusyUnproven)
			default:
				n.exchange(incarnation, order, upConnection{owner: owner, incarnation: owner.incarnation})
			}
		})
	})
}

// exchange sends a request on a connection, once.
func (n *Node) exchange(incarnation int, order backend.Decision, connection upConnection) {
	w, target := n.world, order.Target
	target.DelegationToken = ""
	limit := time.Duration(order.Forward.Remaining)
	if connection.stream == nil {
		connection.stream = &upstreamStream{}
	}
	over := false
	end := func(outcome message.Outcome, broke bool) {
		if over {
			return
		}
		over = true
		n.run(incarnation, func() {
			if broke {
				n.serving.InvalidateProof(target)
			} else if outcome.Kind == message.Completed {
				n.serving.RecordActivity(n.Now(), target)
				if connection.owner.serviceSpec.Closes || !connection.stream.kept {
					n.fill(target)
				} else if n.serving.ConnectionsUsable(n.Now(), target) {
					n.pools[target] = append(n.pools[target], connection)
				}
			}
			n.tracker.Complete(order, outcome)
		})
	}
	w.after(n.trueWait(limit-limit/20), func() {
		end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownTimeout)}, false)
	})
	w.after(w.transit()/2, func() {
		lost := func() {
			w.after(w.transit()/2, func() {
				end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}, true)
			})
		}
		switch {
		case connection.there():
			connection.stream.sent(w)
			connection.owner.run(n, order, connection.stream, end, lost)
		case !connection.owner.vanished[connection.incarnation]:
			lost()
		case w.addresses[target.Address] != nil:
			// Whoever has the address now knows nothing of that connection and resets it.
			w.dangers["connections reset by an address's new owner"]++
			lost()
		}
	})
}
