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
	serving    *Backend
	goroutines *goroutine.Group

	lock   sync.Mutex
	guards map[Target]*upstreamConnection
}

func newGuardConnections(serving *Backend, goroutines *goroutine.Group) *guardConnections {
	return &guardConnections{serving: serving, goroutines: goroutines, guards: map[Target]*upstreamConnection{}}
}

// replace sets the guard of a target and closes the one before.
func (serving *guardConnections) replace(target Target, guard *upstreamConnection) {
	serving.lock.Lock()
	former := serving.guards[target]
	serving.guards[target] = guard
	serving.lock.Unlock()
	if former != nil {
		former.close()
	}
}

// stands reports whether the guard of a target stands.
func (serving *guardConnections) stands(target Target) bool {
	serving.lock.Lock()
	defer serving.lock.Unlock()
	key := poolKey(target)
	guard, known := serving.guards[key]
	if !known || guard.isQuiet() {
		return known
	}
	guard.close()
	delete(serving.guards, key)
	serving.serving.MarkBroken(serving.goroutines.Now(), target)
	return false
}

// sweep looks at every guard, and closes those that broke or whose target has ended.
func (serving *guardConnections) sweep(now time.Duration) {
	serving.lock.Lock()
	defer serving.lock.Unlock()
	for target, guard := range serving.guards {
		quiet := guard.isQuiet()
		if quiet && serving.serving.IsRegistered(target) {
			continue
		}
		guard.close()
		delete(serving.guards, target)
		if !quiet {
			serving.serving.MarkBroken(now, target)
		}
	}
}
