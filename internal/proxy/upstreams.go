package proxy

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// retentionTimeouts is the number of heartbeat timeouts for which an upstream is still reported to the
// registries after its last announcement or its deregistration.
const retentionTimeouts = 2

// localUpstreams tracks the upstreams that announce themselves to this proxy. Both maps are keyed by the
// key of the registration.
type localUpstreams struct {
	settings settings.Settings
	running  map[string]*localUpstream
	ended    map[string]*endedUpstream
}

// localUpstream is an announced upstream that has not been deregistered.
type localUpstream struct {
	registration message.Registration
	announcedAt  time.Duration // time of the last announcement
	probeResult  int64         // message.NotProbed, ProbeAnswered or ProbeRefused
}

// endedUpstream is a deregistration, which is sent repeatedly to the registries because a message may be
// lost.
type endedUpstream struct {
	deregistration message.Deregistration
	endedAt        time.Duration
	storedBy       map[string]bool // names of the registries that have it on disk
	waiting        []int64         // request IDs of AwaitStored
}

// newLocalUpstreams returns an empty localUpstreams.
func newLocalUpstreams(cfg settings.Settings) localUpstreams {
	return localUpstreams{settings: cfg, running: map[string]*localUpstream{}, ended: map[string]*endedUpstream{}}
}

// announce records an accepted announcement, and reports whether the registration changed. The result
// of the last probe is preserved as long as the incarnation and the address are the same.
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

// signOff records the deregistration of an incarnation, and removes it and older ones.
func (u *localUpstreams) signOff(now time.Duration, notice SignedOff) {
	key := upstreamKey(notice.Service, notice.Instance)
	deregistration := message.Deregistration{Service: notice.Service, Instance: notice.Instance, Incarnation: notice.Incarnation}
	u.end(now, key, deregistration)
	if upstream, known := u.running[key]; known && upstream.registration.Incarnation <= notice.Incarnation {
		delete(u.running, key)
	}
}

// end records a deregistration, unless it or that of a later incarnation is recorded. It is then only kept
// for longer.
func (u *localUpstreams) end(now time.Duration, key string, deregistration message.Deregistration) *endedUpstream {
	ended, known := u.ended[key]
	if !known || ended.deregistration.Incarnation < deregistration.Incarnation {
		ended = &endedUpstream{deregistration: deregistration, storedBy: map[string]bool{}}
		u.ended[key] = ended
	}
	ended.endedAt = now
	return ended
}

// awaitStored replies to a request as soon as a majority of the registries have a deregistration on disk.
func (u *localUpstreams) awaitStored(env *statemachine.Env, requestID int64, deregistration message.Deregistration) {
	ended := u.end(env.Now, upstreamKey(deregistration.Service, deregistration.Instance), deregistration)
	ended.waiting = append(ended.waiting, requestID)
	u.replyIfStored(env, ended)
}

// recordStored records that deregistrations are on a registry's disk, and replies to the requests that wait
// for it.
func (u *localUpstreams) recordStored(env *statemachine.Env, stored message.DeregistrationsStored) {
	for _, deregistration := range stored.Deregistrations {
		ended, known := u.ended[upstreamKey(deregistration.Service, deregistration.Instance)]
		if known && ended.deregistration == deregistration {
			ended.storedBy[stored.Registry] = true
			u.replyIfStored(env, ended)
		}
	}
}

// replyIfStored replies to the waiting requests if a majority of the registries have the deregistration on
// disk.
func (u *localUpstreams) replyIfStored(env *statemachine.Env, ended *endedUpstream) {
	if len(ended.storedBy) <= len(u.settings.Voters)/2 {
		return
	}
	for _, requestID := range ended.waiting {
		env.Reply(requestID, DeregistrationStored{})
	}
	ended.waiting = nil
}

// recordProbe records the result of a probe, and reports whether it differs from the previous result.
func (u *localUpstreams) recordProbe(result Probed) bool {
	upstream, known := u.running[result.Key]
	if !known || upstream.registration.Incarnation != result.Incarnation {
		return false
	}
	previous := upstream.probeResult
	upstream.probeResult = message.ProbeRefused
	if result.Answered {
		upstream.probeResult = message.ProbeAnswered
	}
	return upstream.probeResult != previous
}

// probe probes an upstream for a registry if its last announcement here is within HeartbeatTimeout.
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

// heartbeats returns a heartbeat for each upstream, sorted by key. It removes upstreams whose last
// announcement is older than the retention.
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

// recentDeregistrations returns the deregistrations within the retention, sorted by key. It removes
// older ones.
func (u *localUpstreams) recentDeregistrations(now time.Duration) []message.Deregistration {
	deregistrations := []message.Deregistration{}
	for _, key := range slices.Sorted(maps.Keys(u.ended)) {
		if now-u.ended[key].endedAt > u.retention() {
			delete(u.ended, key)
			continue
		}
		deregistrations = append(deregistrations, u.ended[key].deregistration)
	}
	return deregistrations
}

// retention returns how long after its last announcement or its deregistration an upstream is reported.
func (u *localUpstreams) retention() time.Duration {
	return u.settings.HeartbeatTimeout() * retentionTimeouts
}

// upstreamKey returns the key of the registration of an instance of a service.
func upstreamKey(service, instance string) string {
	return message.Registration{Service: service, Instance: instance}.Key()
}
