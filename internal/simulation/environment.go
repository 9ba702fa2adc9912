package simulation

import (
	"math/rand/v2"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/frontend"
	"beaconvane/internal/statemachine"
)

// environment connects the frontend's dispatcher to the simulator, for one incarnation of a proxy.
type environment struct {
	node        *Node
	incarnation int
}

// Now returns the time on the simulated process clock.
func (b *environment) Now() time.Duration { return b.node.Now() }

// Wall returns the simulated time of day.
func (b *environment) Wall() time.Time { return b.node.Wall() }

// Random returns the random source of the run.
func (b *environment) Random() *rand.Rand { return b.node.world.random }

// Notify passes a notice to the proxy's control state machine.
func (b *environment) Notify(notice any) { b.node.apply(statemachine.LocalRequest{Request: notice}) }

// Enqueue runs the stage of an item 20 µs later, as the worker goroutines do. It never refuses an item.
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

// Cancel does nothing: the simulated callers don't disconnect, and at a request's deadline the upstream
// gives the request up by itself.
func (b *environment) Cancel(string) {}

// Backlog returns 0: request traffic in the simulator uses no bandwidth.
func (b *environment) Backlog() time.Duration { return 0 }

// After calls a function after a wait on the process clock, unless the incarnation has ended by then.
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
