package registry

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// The causes of a change. They travel with the change and stand in the journal.
const (
	causeCreated             = "created"
	causeNewIncarnation      = "new incarnation"
	causeDrain               = "drain"
	causeServingProxyChanged = "new serving proxy"
	causeOtherFields         = "changed"
	causeDeregistered        = "signed off"
	causeHeartbeatsStopped   = "heartbeats stopped"

	causeMovedTo        = "moved to "         // and the zone
	causeAddressTakenBy = "address taken by " // and the key of the other upstream
)

// causeOf says why a registration takes the place of the one that is current.
func causeOf(registered bool, current, wanted message.Registration) string {
	switch {
	case !registered:
		return causeCreated
	case current.Incarnation != wanted.Incarnation:
		return causeNewIncarnation
	case current.State != wanted.State && wanted.State == message.StateDraining:
		return causeDrain
	case current.State != wanted.State:
		return wanted.State
	case current.ServingProxy != wanted.ServingProxy:
		return causeServingProxyChanged
	}
	return causeOtherFields
}

// registrationChange is a change of one registration that a holder decided on.
type registrationChange struct {
	registration message.Registration
	removed      bool
	cause        string
}

func removal(registration message.Registration, cause string) registrationChange {
	return registrationChange{registration: registration, removed: true, cause: cause}
}

// changeTracker knows which upstreams a change or a probe is under way for, by the keys of their
// registrations.
type changeTracker struct {
	inFlight map[string]bool          // a change is being written to disk
	probedAt map[string]time.Duration // when a probe was last asked for
}

func newChangeTracker() *changeTracker {
	return &changeTracker{inFlight: map[string]bool{}, probedAt: map[string]time.Duration{}}
}

// beginProbe notes that a probe of an upstream is asked for; false if the last one is not a pause ago.
func (t *changeTracker) beginProbe(key string, now, pause time.Duration) bool {
	if at, probed := t.probedAt[key]; probed && now-at < pause {
		return false
	}
	t.probedAt[key] = now
	return true
}

// commitChange writes a change to disk; only then it takes effect and is broadcast. An upstream
// with a change in flight is left alone until that is written.
func (m *Machine) commitChange(env *statemachine.Env, zone string, change registrationChange) {
	key := change.registration.Key()
	if m.changes.inFlight[key] || m.Failure() != nil {
		return
	}
	epoch := m.leases.Epoch(zone)
	m.changes.inFlight[key] = true
	record := message.RosterChange{
		Position:     message.Position{Topic: distribution.SliceTopic(zone), Epoch: epoch},
		Registration: change.registration,
		Removed:      change.removed,
		Cause:        change.cause,
	}
	m.Persist(env, record, func(env *statemachine.Env, failure error) {
		delete(m.changes.inFlight, key)
		if failure != nil || !m.holdsZone(env, zone) || m.leases.Epoch(zone) != epoch {
			return
		}
		m.applyChange(env, zone, epoch, change)
	})
}

// applyChange puts a synced change into effect and broadcasts it.
func (m *Machine) applyChange(env *statemachine.Env, zone string, epoch int64, change registrationChange) {
	applied := m.zones[zone].slice.Append(epoch, change.registration, change.removed, change.cause)
	env.Event("roster-change", 0, epoch, zone+" "+change.registration.Key()+": "+change.cause)
	for _, peer := range m.Peers() {
		env.Send(peer.Address, applied)
	}
	m.distribution.SliceChanged(env, distribution.SliceTopic(zone))
}
