package registry

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// digestRoundRetention is how many rounds back the answer to a digest request still counts.
const digestRoundRetention = 64

// replicationState is how this registry keeps its copies of the zones that others hold.
type replicationState struct {
	round   int64                   // of digest requests
	askedAt map[int64]time.Duration // by round

	snapshotDue    bool // a whole copy was taken that is not on disk yet
	nextSnapshotAt time.Duration
}

func newReplicationState() *replicationState {
	return &replicationState{askedAt: map[int64]time.Duration{}}
}

func (r *replicationState) beginRound(now time.Duration) {
	r.round++
	r.askedAt[r.round] = now
	delete(r.askedAt, r.round-digestRoundRetention)
}

// synchronizeZones asks the holders for the digests of the zones that are complete here, and the
// peers for whole copies of those that are not.
func (m *Machine) synchronizeZones(env *statemachine.Env) {
	m.replication.beginRound(env.Now)
	for _, zone := range m.settings.Zones {
		replica := m.zones[zone]
		if m.holdsZone(env, zone) {
			replica.complete = true
			continue
		}
		for _, peer := range m.Peers() {
			if replica.complete {
				env.Send(peer.Address, m.rosterCheck(zone))
			} else {
				env.Send(peer.Address, message.RosterPull{Zone: zone, Voter: m.quorum.Voter})
			}
		}
		if m.nobodyIsComplete(env, replica) {
			replica.complete = true
		}
	}
}

func (m *Machine) rosterCheck(zone string) message.RosterCheck {
	return message.RosterCheck{
		Zone:     zone,
		Round:    m.replication.round,
		Voter:    m.quorum.Voter,
		Position: m.zones[zone].slice.Position,
	}
}

// nobodyIsComplete says that all other voters have answered that their copy isn't complete, as when
// all registries start, or that the time for an answer is up.
func (m *Machine) nobodyIsComplete(env *statemachine.Env, replica *zoneReplica) bool {
	return len(replica.incompletePeers) >= m.quorum.Size()-1 || env.Now-m.startedAt > m.settings.LeaseTakeover()
}

// handleRosterChange follows the broadcast of a holder.
func (m *Machine) handleRosterChange(env *statemachine.Env, change message.RosterChange) {
	zone, isSlice := zoneOfTopic(change.Position.Topic)
	replica, known := m.zones[zone]
	if !isSlice || !known || m.holdsZone(env, zone) {
		return
	}
	current := replica.slice.Position
	if change.Position.Epoch < m.leases.Epoch(zone) || change.Position.Epoch < current.Epoch {
		return
	}
	if replica.slice.Apply(change) {
		m.Persist(env, change, func(*statemachine.Env, error) {})
		m.distribution.SliceChanged(env, change.Position.Topic)
		return
	}
	current = replica.slice.Position
	samePosition := current.Epoch == change.Position.Epoch && current.Seq == change.Position.Seq
	if current.Before(change.Position) || samePosition && !current.SameContent(change.Position) {
		m.pullZone(env, zone, "gap in broadcasts")
	}
}

// handleRosterCheck answers a digest request, as the holder alone may.
func (m *Machine) handleRosterCheck(env *statemachine.Env, from string, check message.RosterCheck) {
	replica, known := m.zones[check.Zone]
	if !known || !m.holdsZone(env, check.Zone) {
		return
	}
	env.Send(from, message.RosterDigest{
		Zone:     check.Zone,
		Round:    check.Round,
		Voter:    m.quorum.Voter,
		Position: replica.slice.Position,
	})
}

// handleRosterDigest compares the holder's digest with that of the copy. The same one says that
// the copy was current when this registry asked.
func (m *Machine) handleRosterDigest(env *statemachine.Env, digest message.RosterDigest) {
	replica, known := m.zones[digest.Zone]
	askedAt, asked := m.replication.askedAt[digest.Round]
	if !known || !asked || digest.Position.Epoch < m.leases.Epoch(digest.Zone) || m.holdsZone(env, digest.Zone) {
		return
	}
	if replica.slice.Position.SameContent(digest.Position) {
		m.distribution.SetFreshAt(distribution.SliceTopic(digest.Zone), askedAt)
		return
	}
	if guardsOff.driftDetection {
		return
	}
	m.pullZone(env, digest.Zone, "digest differs")
}

// pullZone asks the peers for a whole copy of a zone. Pulls are paced, with jitter, so that a busy
// holder isn't flooded.
func (m *Machine) pullZone(env *statemachine.Env, zone, cause string) {
	replica := m.zones[zone]
	if env.Now < replica.nextPullAt {
		return
	}
	half := m.settings.DigestEvery() / 2
	jitter := time.Duration(env.Random.Int64N(int64(half)))
	replica.nextPullAt = env.Now + half + jitter
	env.Event("roster-pull", 0, replica.slice.Position.Epoch, zone+": "+cause)
	for _, peer := range m.Peers() {
		env.Send(peer.Address, message.RosterPull{Zone: zone, Voter: m.quorum.Voter})
	}
}

// handleRosterPull answers with the whole copy of a zone, and with what it is worth.
func (m *Machine) handleRosterPull(env *statemachine.Env, from string, pull message.RosterPull) {
	replica, known := m.zones[pull.Zone]
	if !known {
		return
	}
	env.Send(from, message.RosterSnapshot{
		Zone:          pull.Zone,
		Voter:         m.quorum.Voter,
		Complete:      replica.complete,
		HoldsLease:    m.holdsZone(env, pull.Zone),
		Position:      replica.slice.Position,
		Registrations: replica.slice.List(),
	})
}

// handleRosterSnapshot takes a whole copy where it is newer than the one here, or is the holder's
// and differs.
func (m *Machine) handleRosterSnapshot(env *statemachine.Env, snapshot message.RosterSnapshot) {
	replica, known := m.zones[snapshot.Zone]
	if !known || m.holdsZone(env, snapshot.Zone) {
		return
	}
	if !snapshot.Complete && !snapshot.HoldsLease {
		if !replica.complete && snapshot.Voter != "" {
			replica.incompletePeers[snapshot.Voter] = true
		}
		return
	}
	current := replica.slice.Position
	holderDiffers := snapshot.HoldsLease && snapshot.Position.Epoch >= m.leases.Epoch(snapshot.Zone) &&
		!current.SameContent(snapshot.Position)
	if current.Before(snapshot.Position) || holderDiffers {
		replica.slice.Replace(snapshot.Position, snapshot.Registrations)
		m.replication.snapshotDue = true
		m.distribution.SliceChanged(env, replica.slice.Position.Topic)
	}
	replica.complete = true
}
