package backend

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/locking"
	"beaconvane/internal/settings"
)

// maxIdleConnections limits the idle connections to one target.
const maxIdleConnections = 32

// connectionPool keeps idle connections to targets. A connection belongs to one incarnation at one
// address, is checked for unread bytes and closure before reuse, and is closed well before the
// heartbeat timeout.
type connectionPool struct {
	settings   settings.Settings
	serving    *Backend
	goroutines *goroutine.Group

	lock locking.Mutex
	idle map[Target][]*upstreamConnection
}

func newConnectionPool(cfg settings.Settings, serving *Backend, goroutines *goroutine.Group) *connectionPool {
	return &connectionPool{settings: cfg, serving: serving, goroutines: goroutines, idle: map[Target][]*upstreamConnection{}}
}

// poolKey returns the target without its delegation token, which differs between requests.
func poolKey(target Target) Target {
	target.DelegationToken = ""
	return target
}

// acquire removes a reusable idle connection from the pool and returns it, or nil if there is none.
func (p *connectionPool) acquire(target Target) *upstreamConnection {
	p.lock.Lock()
	defer p.lock.Unlock()
	key := poolKey(target)
	for list := p.idle[key]; len(list) > 0; list = p.idle[key] {
		connection := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		if p.goroutines.Now()-connection.idleSince < p.idleLimit(connection) && connection.isQuiet() {
			return connection
		}
		connection.close()
	}
	delete(p.idle, key)
	return nil
}

// release returns a connection to the pool. It closes the connection if the pool already holds
// maxIdleConnections for the target or, except with proof "target", ConnectionsUsable no longer holds.
func (p *connectionPool) release(target Target, connection *upstreamConnection) {
	connection.idleSince = p.goroutines.Now()
	usable := p.settings.ProofByTarget() || p.serving.ConnectionsUsable(connection.idleSince, target)
	p.lock.Lock()
	defer p.lock.Unlock()
	key := poolKey(target)
	if len(p.idle[key]) >= maxIdleConnections || !usable {
		connection.close()
		return
	}
	p.idle[key] = append(p.idle[key], connection)
}

// idleLimit returns the longest idle time of a connection: at most half of what the upstream allows.
func (p *connectionPool) idleLimit(connection *upstreamConnection) time.Duration {
	if connection.keepAlive > 0 {
		return min(p.settings.ConnectionIdle(), connection.keepAlive/2)
	}
	return p.settings.ConnectionIdle()
}

// size returns the number of idle connections to a target.
func (p *connectionPool) size(target Target) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.idle[poolKey(target)])
}

// sweep closes connections that exceed their idle limit or whose target is no longer usable.
func (p *connectionPool) sweep(now time.Duration) {
	unusable := map[Target]bool{}
	for _, target := range p.targets() {
		unusable[target] = !p.isUsable(now, target)
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	for target, list := range p.idle {
		remaining := list[:0]
		for _, connection := range list {
			if now-connection.idleSince < p.idleLimit(connection) && !unusable[target] {
				remaining = append(remaining, connection)
			} else {
				connection.close()
			}
		}
		p.idle[target] = remaining
		if len(remaining) == 0 {
			delete(p.idle, target)
		}
	}
}

// targets returns the targets with idle connections.
func (p *connectionPool) targets() []Target {
	p.lock.Lock()
	defer p.lock.Unlock()
	return slices.Collect(maps.Keys(p.idle))
}

// isUsable reports whether idle connections to a target may be kept. With proof "target" it suffices
// that the target is registered.
func (p *connectionPool) isUsable(now time.Duration, target Target) bool {
	return p.serving.ConnectionsUsable(now, target) || p.settings.ProofByTarget() && p.serving.IsRegistered(target)
}
