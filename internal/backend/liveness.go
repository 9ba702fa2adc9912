package backend

import (
	"time"
)

// maxWarmConnections bounds the connections that are kept ready for one upstream.
const maxWarmConnections = 16

// lookupTarget returns the upstream that a target names, and whether it is still registered as it
// was.
func (b *Backend) lookupTarget(target Target) (registered *upstream, same bool) {
	registered, known := b.upstreams[target.Key]
	if !known {
		return nil, false
	}
	return registered, registered.announcement.Incarnation == target.Incarnation && registered.announcement.Address == target.Address
}

// IsRegistered reports whether the target is still registered as it was.
func (b *Backend) IsRegistered(target Target) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	_, same := b.lookupTarget(target)
	return same
}

// ConnectionsUsable reports whether the target is still what it was, so that connections which
// were proven to reach it serve on.
func (b *Backend) ConnectionsUsable(now time.Duration, target Target) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, same := b.lookupTarget(target)
	return same && !registered.broken && now-registered.announcedAt <= b.settings.ServingProxyTimeout()
}

// Dialable reports, before and after a dial, whether a new connection is proven to reach the
// target. It gave a sign of life a moment ago, so nobody else can be at its address yet.
func (b *Backend) Dialable(now time.Duration, target Target) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, same := b.lookupTarget(target)
	return same && !registered.broken && now-registered.lastSeenAt <= b.settings.AddressProofTTL()
}

// RecordActivity notes bytes that came on a proven connection to the target.
func (b *Backend) RecordActivity(now time.Duration, target Target) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if registered, same := b.lookupTarget(target); same && !registered.broken {
		registered.lastSeenAt = now
	}
}

// InvalidateProof notes that a connection to the target broke with a request on it. No new connection
// is proven until the next sign of life, but the guard and the connections that stand still are.
func (b *Backend) InvalidateProof(target Target) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if registered, same := b.lookupTarget(target); same {
		registered.lastSeenAt = never
	}
}

// RecordConnectionLoss notes a refused, reset or closed connection. Nothing is dialled until a newer
// heartbeat.
func (b *Backend) RecordConnectionLoss(now time.Duration, target Target) {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, known := b.upstreams[target.Key]
	if known && registered.announcement.Incarnation == target.Incarnation {
		registered.broken, registered.brokenAt = true, now
	}
}

// WarmConnections is how many proven connections are kept ready for a target.
func (b *Backend) WarmConnections(target Target) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, same := b.lookupTarget(target)
	if !same {
		return 0
	}
	return int(min(max(registered.announcement.Slots/2, 1), maxWarmConnections))
}
