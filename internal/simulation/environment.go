package simulation

import (
	"math/rand/v2"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/frontend"
	"beaconvane/internal/statemachine"
)

// environment is the dispatcher's port in the simulator, for one incarnation of a proxy.
type environment struct {
	node        *Node
	incarnation int
}

// Now returns the simulated process clock.
func (b *environment) Now() time.Duration { return b.node.Now() }

// Wall returns the simulated time of day.
func (b *environment) Wall() time.Time { return b.node.Wall() }

// Random returns the random source of the run.
func (b *environment) Random() *rand.Rand { return b.node.world.random }

// Notify hands a notice to the control machine.
func (b *environment) Notify(notice any) { b.node.apply(statemachine.LocalRequest{Request: notice}) }

// Enqueue passes an item to its stage a moment later, as the workers would.
func (b *environment) Enqueue(stage frontend.Stage, item any) bool {
	n := b.node
	n.world.after(20*time.Microsecond, func() {
		n.run(b.incarnation, func() {
			switch stage {
			case frontend.StageAdmit:
				n.dispatcher.Admit(mustCast[*frontend.PendingRequest](item))
			case frontend.StageSelect:
				pending := mustCast[*frontend.PendingRequest](item)
				before := pending.Request.Attempts
				n.dispatcher.SelectUpstream(pending)
				if pending.Request.Attempts > before {
					n.world.record.Attempts = append(n.world.record.Attempts, checker.Attempt{
						Service: pending.Request.Route.Service,
						At:      n.world.now,
						Retry:   before > 0,
					})
				}
			case frontend.StageOutcome:
				n.dispatcher.HandleOutcome(mustCast[frontend.AttemptOutcome](item))
			case frontend.StageStart:
				n.callUpstream(b.incarnation, mustCast[backend.Decision](item))
			}
		})
	})
	return true
}

// Cancel does nothing: the simulator's callers don't hang up, and what they give up at its
// deadline the upstream gives up by itself.
func (b *environment) Cancel(string) {}

// Backlog is none: the links of the simulator have no width.
func (b *environment) Backlog() time.Duration { return 0 }

// After calls a function at a later time.
func (b *environment) After(wait time.Duration, then func()) {
	b.node.world.after(b.node.trueWait(wait), func() { b.node.run(b.incarnation, then) })
}

// Open opens a simulated connection to a serving proxy.
func (b *environment) Open(servingProxy string, received func(msg any), closed func(connection frontend.Connection)) frontend.Connection {
	n := b.node
	connection := &simConnection{from: n, fromIncarnation: b.incarnation, onMessage: received, onBroken: closed}
	n.connections = append(n.connections, connection)
	target, found := n.world.nodeByAddress[servingProxy]
	n.world.after(n.world.randomTransitDelay()*2, func() { connection.finishDial(target, found) })
	return connection
}
