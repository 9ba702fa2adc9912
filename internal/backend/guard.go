package backend

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/locking"
)

// guardConnections keeps one connection to each upstream that carries no requests. When another machine
// takes over an upstream's address, it resets such a connection, so the loss of a guard connection
// means that the upstream may no longer own its address. Nothing is dialled then until a newer heartbeat.
type guardConnections struct {
	backend    *Backend
	goroutines *goroutine.Group

	lock   locking.Mutex
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
	known, lost := g.closeIfLost(poolKey(target))
	if lost {
		g.backend.RecordConnectionLoss(g.goroutines.Now(), target)
	}
	return known && !lost
}

// closeIfLost reports whether there is a guard connection with the given key, and whether the peer has
// closed it or sent bytes on it. It then closes and removes it.
func (g *guardConnections) closeIfLost(key Target) (known, lost bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	guard, known := g.guards[key]
	if !known || guard.isQuiet() {
		return known, false
	}
	guard.close()
	delete(g.guards, key)
	return true, true
}

// sweep closes guard connections that were lost, and records the loss, and those whose target is no
// longer registered.
func (g *guardConnections) sweep(now time.Duration) {
	for _, target := range g.targets() {
		_, lost := g.closeIfLost(target)
		if lost {
			g.backend.RecordConnectionLoss(now, target)
			continue
		}
		if !g.backend.IsRegistered(target) {
			g.remove(target)
		}
	}
}

// targets returns the targets with guard connections.
func (g *guardConnections) targets() []Target {
	g.lock.Lock()
	defer g.lock.Unlock()
	return slices.Collect(maps.Keys(g.guards))
}

// remove closes and removes the guard connection of a target, if it has one.
func (g *guardConnections) remove(target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if guard, known := g.guards[target]; known {
		guard.close()
		delete(g.guards, target)
	}
}
