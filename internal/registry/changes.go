package registry

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// The causes of a roster change. They are sent with the change and recorded in the journal.
const (
	causeCreated             = "created"
	causeNewIncarnation      = "new incarnation"
	causeDrain               = "drain"
	causeServingProxyChanged = "new serving proxy"
	causeOtherFields         = "changed"
	causeDeregistered        = "signed off"
	causeHeartbeatsStopped   = "heartbeats stopped"

	causeMovedTo        = "moved to "         // followed by the zone
	causeAddressTakenBy = "address taken by " // followed by the key of the other upstream
)

// changeCause returns the cause of replacing the current registration by the desired one. Current
// is only used if an upstream is registered.
func changeCause(registered bool, current, desired message.Registration) string {
	switch {
	case !registered:
		return causeCreated
	case current.Incarnation != desired.Incarnation:
		return causeNewIncarnation
	case current.State != desired.State && desired.State == message.StateDraining:
		return causeDrain
	case current.State != desired.State:
		return desired.State
	case current.ServingProxy != desired.ServingProxy:
		return causeServingProxyChanged
	}
	return causeOtherFields
}

// registrationChange is a change of one registration that the holder of the zone has decided on.
type registrationChange struct {
	registration message.Registration
	removed      bool
	cause        string
}

// removal returns the change that removes a registration.
func removal(registration message.Registration, cause string) registrationChange {
	return registrationChange{registration: registration, removed: true, cause: cause}
}

// changeTracker tracks the changes and probes in progress, by the keys of the registrations.
type changeTracker struct {
	inFlight map[string]bool          // the change is being written to disk
	probedAt map[string]time.Duration // time of the latest probe request
}

// newChangeTracker returns a tracker without changes or probes.
func newChangeTracker() *changeTracker {
	return &changeTracker{inFlight: map[string]bool{}, probedAt: map[string]time.Duration{}}
}

// beginProbe records a probe request for an upstream. It returns false, and records nothing, if the
// latest one is less than pause old.
func (t *changeTracker) beginProbe(key string, now, pause time.Duration) bool {
	if at, probed := t.probedAt[key]; probed && now-at < pause {
		return false
	}
	t.probedAt[key] = now
	return true
}

// commitChange writes a change to disk, and applies and broadcasts it once it is synced. It does
// nothing after a disk failure, or while an earlier change of the same upstream is in flight: the
// next reconciliation repeats the change if it is still needed.
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

// applyChange applies a synced change to the slice and broadcasts it to the peers.
func (m *Machine) applyChange(env *statemachine.Env, zone string, epoch int64, change registrationChange) {
	applied := m.zones[zone].slice.Append(epoch, change.registration, change.removed, change.cause)
	env.Event("roster-change", 0, epoch, zone+" "+change.registration.Key()+": "+change.cause)
	for _, peer := range m.Peers() {
		env.Send(peer.Address, applied)
	}
	m.distribution.SliceChanged(env, distribution.SliceTopic(zone))
}
