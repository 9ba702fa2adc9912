package backend

import (
	"sync"
	"time"

	"beaconvane/internal/goroutine"
)

// guardConnections keeps one connection to each upstream that carries no requests. When another machine
// takes over an upstream's address, it resets such a connection, so the loss of a guard connection
// means that the upstream may no longer own its address. Nothing is dialled then until a newer heartbeat.
type guardConnections struct {
	backend    *Backend
	goroutines *goroutine.Group

	lock   sync.Mutex
	guards map[Target]*upstreamConnection
}

func newGuardConnections(serving *Backend, goroutines *goroutine.Group) *guardConnections {
	return &guardConnections{backend: serving, goroutines: goroutines, guards: map[Target]*upstreamConnection{}}
}

// replace sets the guard connection of a target and closes the previous one.
func (g *guardConnections) replace(target Target, guard *upstreamConnection) {
	g.lock.Lock()
	previous := g.guards[target]
	g.guards[target] = guard
	g.lock.Unlock()
	if previous != nil {
		previous.close()
	}
}

// isIntact reports whether a target has a guard connection and the peer has not closed it or sent
// bytes on it. Otherwise it closes the connection and records its loss.
func (g *guardConnections) isIntact(target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := poolKey(target)
	guard, known := g.guards[key]
	if !known || guard.isQuiet() {
		return known
	}
	guard.close()
	delete(g.guards, key)
	g.backend.RecordConnectionLoss(g.goroutines.Now(), target)
	return false
}

// sweep closes guard connections that were lost, and records the loss, and those whose target is no
// longer registered.
func (g *guardConnections) sweep(now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for target, guard := range g.guards {
		quiet := guard.isQuiet()
		if quiet && g.backend.IsRegistered(target) {
			continue
		}
		guard.close()
		delete(g.guards, target)
		if !quiet {
			g.backend.RecordConnectionLoss(now, target)
		}
	}
}
