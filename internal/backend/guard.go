package backend

import (
	"sync"
	"time"

	"beaconvane/internal/goroutine"
)

// guardConnections keeps one connection to each upstream that carries nothing. A connection to a
// machine that has gone is reset by the new owner of its address, so a guard that breaks says that
// the upstream may not be there any more: nothing is dialled until a newer heartbeat.
type guardConnections struct {
	backend    *Backend
	goroutines *goroutine.Group

	lock   sync.Mutex
	guards map[Target]*upstreamConnection
}

func newGuardConnections(serving *Backend, goroutines *goroutine.Group) *guardConnections {
	return &guardConnections{backend: serving, goroutines: goroutines, guards: map[Target]*upstreamConnection{}}
}

// replace sets the guard of a target and closes the one before.
func (g *guardConnections) replace(target Target, guard *upstreamConnection) {
	g.lock.Lock()
	former := g.guards[target]
	g.guards[target] = guard
	g.lock.Unlock()
	if former != nil {
		former.close()
	}
}

// stands reports whether the guard of a target stands.
func (g *guardConnections) stands(target Target) bool {
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

// sweep looks at every guard, and closes those that broke or whose target has ended.
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
