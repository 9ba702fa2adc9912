package backend

import (
	"time"
)

// maxWarmConnections limits the connections that are opened in advance for one upstream.
const maxWarmConnections = 16

// lookupTarget returns the upstream with the key of a target, and whether its incarnation and address
// are those of the target.
func (b *Backend) lookupTarget(target Target) (registered *upstream, same bool) {
	registered, known := b.upstreams[target.Key]
	if !known {
		return nil, false
	}
	return registered, registered.announcement.Incarnation == target.Incarnation && registered.announcement.Address == target.Address
}

// IsRegistered reports whether the target is registered with the same incarnation and address.
func (b *Backend) IsRegistered(target Target) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	_, same := b.lookupTarget(target)
	return same
}

// ConnectionsUsable reports whether existing proven connections to the target may be used: it is still
// registered with the same incarnation and address, no connection was lost since its last heartbeat,
// and that heartbeat is within ServingProxyTimeout.
func (b *Backend) ConnectionsUsable(now time.Duration, target Target) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, same := b.lookupTarget(target)
	return same && !registered.broken && now-registered.announcedAt <= b.settings.ServingProxyTimeout()
}

// Dialable reports whether a connection that is established now is proven to reach the target: its
// last announcement or response is within AddressProofTTL, so no other process can own its address
// yet. It must hold both before and after a dial.
func (b *Backend) Dialable(now time.Duration, target Target) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, same := b.lookupTarget(target)
	return same && !registered.broken && now-registered.lastSeenAt <= b.settings.AddressProofTTL()
}

// RecordActivity records that a response arrived on a proven connection to the target.
func (b *Backend) RecordActivity(now time.Duration, target Target) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if registered, same := b.lookupTarget(target); same && !registered.broken {
		registered.lastSeenAt = now
	}
}

// InvalidateProof records that a connection to the target was lost with a request on it. New
// connections are unproven until the next announcement or response; the guard connection and existing
// connections remain proven.
func (b *Backend) InvalidateProof(target Target) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if registered, same := b.lookupTarget(target); same {
		registered.lastSeenAt = distantPast
	}
}

// RecordConnectionLoss records a refused, reset or closed connection. Nothing is dialled until a newer
// heartbeat or, with proof "target", until AddressProofTTL has passed.
func (b *Backend) RecordConnectionLoss(now time.Duration, target Target) {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, known := b.upstreams[target.Key]
	if known && registered.announcement.Incarnation == target.Incarnation {
		registered.broken, registered.brokenAt = true, now
	}
}

// WarmConnections returns the number of proven connections to keep open in advance for a target: half
// its slots, at least one and at most maxWarmConnections.
func (b *Backend) WarmConnections(target Target) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, same := b.lookupTarget(target)
	if !same {
		return 0
	}
	return int(min(max(registered.announcement.Slots/2, 1), maxWarmConnections))
}
