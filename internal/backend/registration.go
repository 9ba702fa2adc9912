package backend

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// Announce processes a heartbeat. It returns the registrations of other upstreams that the heartbeat
// ended, and decisions on queued requests. A heartbeat is not accepted if a higher incarnation of the
// upstream is registered. A stale one is accepted and ignored.
func (b *Backend) Announce(now time.Duration, announcement Announcement) (accepted bool, ended []Announcement, decisions []Decision) {
	return b.Register(now, announcement, 0)
}

// Register processes a heartbeat as Announce does or, if adoptedUntil is above 0, the registration of an
// upstream that has announced itself to an earlier run of this proxy. That upstream gets requests until
// adoptedUntil, and later only after a heartbeat of its own.
func (b *Backend) Register(now time.Duration, announcement Announcement, adoptedUntil time.Duration) (
	accepted bool, ended []Announcement, decisions []Decision,
) {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, known := b.upstreams[announcement.key()]
	if b.isStale(announcement, registered) || b.isOfReplaced(now, announcement) {
		return true, nil, nil
	}
	if known && announcement.Incarnation < registered.announcement.Incarnation {
		return false, nil, nil
	}
	ended, decisions = b.endReplaced(now, announcement)
	registered = b.register(announcement.key())
	if registered.announcement.Draining {
		announcement.Draining = true
	}
	registered.announcement, registered.announcedAt, registered.lastSeenAt = announcement, now, now
	registered.adoptedUntil = adoptedUntil
	if registered.broken && now > registered.brokenAt {
		registered.broken = false
	}
	if announcement.Draining {
		decisions = append(decisions, registered.refuseQueued(errcode.BusyLeaving)...)
	}
	return true, ended, append(decisions, b.startQueued(now, registered)...)
}

// isStale reports whether an announcement arrives after the retirement of its instance, or after one of
// the same incarnation with a higher sequence number. Such an announcement changes nothing.
func (b *Backend) isStale(announcement Announcement, registered *upstream) bool {
	if _, retired := b.retired[announcement.Instance]; retired {
		return true
	}
	return registered != nil &&
		announcement.Sequence < registered.announcement.Sequence &&
		announcement.Incarnation == registered.announcement.Incarnation
}

// replacement tells which upstream took over the address of another one.
type replacement struct {
	incarnation int64  // of the replaced upstream
	address     string // which both had
	by          string // key of the upstream that has the address now
	at          time.Duration
}

// replacedTimeoutDivisor divides HeartbeatTimeout into the time for which an upstream counts as present at its address
// after an announcement, against one that it has replaced there.
const replacedTimeoutDivisor = 2

// isOfReplaced reports whether an announcement is a late one of an upstream that another one has replaced at its
// address. If the other one falls silent, the announcement counts: then it may have been the late one.
func (b *Backend) isOfReplaced(now time.Duration, announcement Announcement) bool {
	replaced, known := b.replaced[announcement.key()]
	if !known || announcement.Incarnation > replaced.incarnation || announcement.Address != replaced.address {
		return false
	}
	present, registered := b.upstreams[replaced.by]
	return registered && present.announcement.Address == replaced.address &&
		now-present.announcedAt <= b.settings.HeartbeatTimeout()/replacedTimeoutDivisor
}

// endReplaced ends the registrations that an announcement replaces: an older incarnation or
// another address of the same upstream, and any other upstream at its address. Only the
// registrations of other upstreams are returned.
func (b *Backend) endReplaced(now time.Duration, announcement Announcement) (ended []Announcement, decisions []Decision) {
	delete(b.replaced, announcement.key())
	for _, key := range b.sortedKeys() {
		registered := b.upstreams[key]
		sameUpstream := key == announcement.key()
		if !replaces(announcement, registered.announcement, sameUpstream) {
			continue
		}
		if !sameUpstream {
			ended = append(ended, registered.announcement)
			b.replaced[key] = replacement{
				incarnation: registered.announcement.Incarnation, address: announcement.Address, by: announcement.key(), at: now,
			}
		}
		decisions = append(decisions, registered.refuseQueued(errcode.BusyUpstreamGone)...)
		delete(b.upstreams, key)
	}
	return ended, decisions
}

// replaces reports whether an announcement ends an existing registration. sameUpstream tells whether
// both have the same key.
func replaces(announcement, registered Announcement, sameUpstream bool) bool {
	sameAddress := announcement.Address == registered.Address
	if sameUpstream {
		return announcement.Incarnation > registered.Incarnation || !sameAddress
	}
	return sameAddress
}

// register returns the upstream with a key, and adds it if there is none.
func (b *Backend) register(key string) *upstream {
	registered, known := b.upstreams[key]
	if !known {
		registered = &upstream{running: map[string]runningRequest{}, routeLatency: map[string]time.Duration{}}
		b.upstreams[key] = registered
	}
	return registered
}

// Deregister ends a registration. It returns false if this incarnation is not registered here.
func (b *Backend) Deregister(service, instance string, incarnation int64) (found bool, decisions []Decision) {
	b.lock.Lock()
	defer b.lock.Unlock()
	key := upstreamKey(service, instance)
	registered, known := b.upstreams[key]
	if !known || registered.announcement.Incarnation != incarnation {
		return false, nil
	}
	delete(b.upstreams, key)
	return true, registered.refuseQueued(errcode.BusyLeaving)
}

// RetireInstance ends the registration of an instance, and makes Announce ignore the instance until
// ForgetAfter has passed. It returns false if the instance was not registered.
func (b *Backend) RetireInstance(now time.Duration, instance string) (retired Announcement, found bool, decisions []Decision) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.retired[instance] = now
	for _, key := range b.sortedKeys() {
		if registered := b.upstreams[key]; registered.announcement.Instance == instance {
			delete(b.upstreams, key)
			return registered.announcement, true, registered.refuseQueued(errcode.BusyLeaving)
		}
	}
	return Announcement{}, false, nil
}

// Lookup returns the announcement that is in effect for an upstream.
func (b *Backend) Lookup(service, instance string) (Announcement, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	registered, known := b.upstreams[upstreamKey(service, instance)]
	if !known {
		return Announcement{}, false
	}
	return registered.announcement, true
}

// HasInstance reports whether an instance is registered here.
func (b *Backend) HasInstance(instance string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, registered := range b.upstreams {
		if registered.announcement.Instance == instance {
			return true
		}
	}
	return false
}

// UpdateRoster applies the roster, given by service, to the upstreams registered here. An upstream that
// announced to another proxy that it drains gets no further requests.
func (b *Backend) UpdateRoster(upstreams map[string][]message.Registration) []Decision {
	b.lock.Lock()
	defer b.lock.Unlock()
	decisions := []Decision{}
	for _, key := range b.sortedKeys() {
		registered := b.upstreams[key]
		for _, registration := range upstreams[registered.announcement.Service] {
			if registered.isNewlyDraining(key, registration) {
				registered.announcement.Draining = true
				decisions = append(decisions, registered.refuseQueued(errcode.BusyLeaving)...)
			}
		}
	}
	return decisions
}

// isNewlyDraining reports whether a roster registration marks this upstream as draining while its own
// announcement does not.
func (u *upstream) isNewlyDraining(key string, registration message.Registration) bool {
	return registration.Key() == key &&
		registration.Incarnation == u.announcement.Incarnation &&
		registration.State == message.StateDraining &&
		!u.announcement.Draining
}
