package backend

import (
	"sync"
	"time"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/settings"
)

// maxIdleConnections bounds the connections that are kept for one target.
const maxIdleConnections = 32

// connectionPool keeps idle connections to targets. A connection belongs to one incarnation at one
// address, is looked at before it is used again, and is closed long before the heartbeat bound.
type connectionPool struct {
	settings   settings.Settings
	serving    *Backend
	goroutines *goroutine.Group

	lock sync.Mutex
	idle map[Target][]*upstreamConnection
}

func newConnectionPool(cfg settings.Settings, serving *Backend, goroutines *goroutine.Group) *connectionPool {
	return &connectionPool{settings: cfg, serving: serving, goroutines: goroutines, idle: map[Target][]*upstreamConnection{}}
}

// poolKey is a target as connections know it: without the token of a request.
func poolKey(target Target) Target {
	target.DelegationToken = ""
	return target
}

// acquire takes an idle connection that may still be used, or returns nil.
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

// release gives a connection back. It is closed where its target is no longer what it was, or
// enough are kept.
func (p *connectionPool) release(target Target, connection *upstreamConnection) {
	p.lock.Lock()
	defer p.lock.Unlock()
	connection.idleSince = p.goroutines.Now()
	key := poolKey(target)
	if len(p.idle[key]) >= maxIdleConnections || !p.serving.ConnectionsUsable(connection.idleSince, target) && !p.settings.ProofByTarget() {
		connection.close()
		return
	}
	p.idle[key] = append(p.idle[key], connection)
}

// idleLimit is how long a connection may idle: less than the upstream allows.
func (p *connectionPool) idleLimit(connection *upstreamConnection) time.Duration {
	if connection.keepAlive > 0 {
		return min(p.settings.ConnectionIdle(), connection.keepAlive/2)
	}
	return p.settings.ConnectionIdle()
}

// size counts the idle connections to a target.
func (p *connectionPool) size(target Target) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.idle[poolKey(target)])
}

// sweep closes connections that idled too long or whose target has ended.
func (p *connectionPool) sweep(now time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, connection := range list {
			if now-connection.idleSince < p.idleLimit(connection) && p.isUsable(now, target) {
				kept = append(kept, connection)
			} else {
				connection.close()
			}
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// isUsable reports whether connections to a target may be kept. Where upstreams prove themselves,
// it is enough that the target is registered.
func (p *connectionPool) isUsable(now time.Duration, target Target) bool {
	return p.serving.ConnectionsUsable(now, target) || p.settings.ProofByTarget() && p.serving.IsRegistered(target)
}
