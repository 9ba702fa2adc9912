package proxy

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// retainedBounds is for how many heartbeat bounds the registries are still told of an upstream that
// is silent or has ended.
const retainedBounds = 2

// localUpstreams is the upstreams that announce themselves to this proxy, by keys of registrations.
type localUpstreams struct {
	settings settings.Settings
	running  map[string]*localUpstream
	ended    map[string]endedUpstream
}

// localUpstream is an upstream that has announced itself and has not ended.
type localUpstream struct {
	registration message.Registration
	announcedAt  time.Duration // last
	probeResult  int64         // message.NotProbed, ProbeAnswered or ProbeRefused
}

// endedUpstream is the end of an upstream, which the registries are told repeatedly for a while.
type endedUpstream struct {
	deregistration message.Deregistration
	at             time.Duration
}

func newLocalUpstreams(cfg settings.Settings) localUpstreams {
	return localUpstreams{settings: cfg, running: map[string]*localUpstream{}, ended: map[string]endedUpstream{}}
}

// announce takes an accepted announcement, and reports whether anything but its time changed. The
// result of a probe stays with an incarnation at its address.
func (u *localUpstreams) announce(now time.Duration, registration message.Registration) bool {
	key := registration.Key()
	upstream, known := u.running[key]
	if known && upstream.registration == registration {
		upstream.announcedAt = now
		return false
	}
	probeResult := message.NotProbed
	if known && upstream.registration.Incarnation == registration.Incarnation && upstream.registration.Address == registration.Address {
		probeResult = upstream.probeResult
	}
	u.running[key] = &localUpstream{registration, now, probeResult}
	return true
}

// signOff takes the end of an incarnation.
func (u *localUpstreams) signOff(now time.Duration, notice SignedOff) {
	key := upstreamKey(notice.Service, notice.Instance)
	deregistration := message.Deregistration{Service: notice.Service, Instance: notice.Instance, Incarnation: notice.Incarnation}
	u.ended[key] = endedUpstream{deregistration, now}
	if upstream, known := u.running[key]; known && upstream.registration.Incarnation <= notice.Incarnation {
		delete(u.running, key)
	}
}

// recordProbe takes the result of a probe, and reports whether it differs from the one before.
func (u *localUpstreams) recordProbe(result Probed) bool {
	upstream, known := u.running[result.Key]
	if !known || upstream.registration.Incarnation != result.Incarnation {
		return false
	}
	before := upstream.probeResult
	upstream.probeResult = message.ProbeRefused
	if result.Answered {
		upstream.probeResult = message.ProbeAnswered
	}
	return upstream.probeResult != before
}

// probe probes an upstream for a registry, if it announced itself here lately.
func (u *localUpstreams) probe(env *statemachine.Env, request message.ProbeRequest) {
	key := upstreamKey(request.Service, request.Instance)
	upstream, known := u.running[key]
	if !known || upstream.registration.Incarnation != request.Incarnation {
		return
	}
	if env.Now-upstream.announcedAt < u.settings.HeartbeatTimeout() {
		env.Probe(upstream.registration.Address, key, request.Incarnation)
	}
}

// heartbeats returns a heartbeat for each upstream, and forgets those that have been silent for long.
func (u *localUpstreams) heartbeats(now time.Duration) []message.Heartbeat {
	heartbeats := []message.Heartbeat{}
	for _, key := range slices.Sorted(maps.Keys(u.running)) {
		upstream := u.running[key]
		age := now - upstream.announcedAt
		if age > u.retention() {
			delete(u.running, key)
			continue
		}
		heartbeat := message.Heartbeat{Registration: upstream.registration, Age: int64(age), ProbeResult: upstream.probeResult}
		heartbeats = append(heartbeats, heartbeat)
	}
	return heartbeats
}

// recentDeregistrations returns the ends that are still repeated, and forgets older ones.
func (u *localUpstreams) recentDeregistrations(now time.Duration) []message.Deregistration {
	deregistrations := []message.Deregistration{}
	for _, key := range slices.Sorted(maps.Keys(u.ended)) {
		if now-u.ended[key].at > u.retention() {
			delete(u.ended, key)
			continue
		}
		deregistrations = append(deregistrations, u.ended[key].deregistration)
	}
	return deregistrations
}

func (u *localUpstreams) retention() time.Duration {
	return u.settings.HeartbeatTimeout() * retainedBounds
}

// upstreamKey returns the key of the registrations of an instance.
func upstreamKey(service, instance string) string {
	return message.Registration{Service: service, Instance: instance}.Key()
}
