package backend

// This file says whether a target is still what it was, so that connections made to it may be
// used, and new ones made.

import (
	"time"
)

// bound gives the upstream that a target still names, as it was.
func (g *Backend) bound(target Target) (*upstream, bool) {
	held, known := g.upstreams[target.Key]
	return held, known && held.announcement.Incarnation == target.Incarnation && held.announcement.Address == target.Address
}

// ConnectionsUsable says whether the target is still what it was, so that connections made under its
// proof serve on.
func (g *Backend) ConnectionsUsable(now time.Duration, target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	return same && !held.broken && now-held.announcedAt <= g.settings.ServingProxyTimeout()
}

// Dialable says, before and after a dial, whether a new connection would be proven: the
// target gave a sign of life a moment ago, so nobody else can be at its address yet.
func (g *Backend) Dialable(now time.Duration, target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	return same && !held.broken && now-held.aliveAt <= g.settings.DialFresh()
}

// MarkAlive notes bytes that came on a proven connection of the target.
func (g *Backend) MarkAlive(now time.Duration, target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, same := g.bound(target); same && !held.broken {
		held.aliveAt = now
	}
}

// MarkDoubtful notes that a connection to the target broke with a request on it: it proves nobody
// until the next sign of life, but the guard and the connections that stand still do.
func (g *Backend) MarkDoubtful(target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, same := g.bound(target); same {
		held.aliveAt = never
	}
}

// WarmConnections is how many proven connections are kept for a target that idles.
func (g *Backend) WarmConnections(target Target) int {
	g.lock.Lock()
	defer g.lock.Unlock()
	held, same := g.bound(target)
	if !same {
		return 0
	}
	return int(min(max(held.announcement.Slots/2, 1), connectionsReady))
}

// Here says that the target is still registered as it was.
func (g *Backend) Here(target Target) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	_, same := g.bound(target)
	return same
}

// MarkBroken notes a refused, reset or closed connection: no dial until a newer heartbeat.
func (g *Backend) MarkBroken(now time.Duration, target Target) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if held, known := g.upstreams[target.Key]; known && held.announcement.Incarnation == target.Incarnation {
		held.broken, held.brokenAt = true, now
	}
}
