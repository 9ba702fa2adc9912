package registry

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// digestRoundRetention is how many rounds of digest requests are remembered. Responses to earlier
// rounds are ignored.
const digestRoundRetention = 64

// replicationState tracks how this registry's copies of the zones are synchronized with their
// holders.
type replicationState struct {
	rounds      statemachine.Sequence   // numbers the rounds of digest requests
	requestedAt map[int64]time.Duration // time of the digest request, by round

	snapshotDue    bool          // a zone snapshot was received or an epoch was started that is not in the disk snapshot yet
	nextSnapshotAt time.Duration // earliest time of the next disk snapshot
}

// newReplicationState returns the state before the first round.
func newReplicationState() *replicationState {
	return &replicationState{requestedAt: map[int64]time.Duration{}}
}

// beginRound starts a round of digest requests, and drops the oldest retained one.
func (r *replicationState) beginRound(env *statemachine.Env) {
	round := r.rounds.Next(env)
	r.requestedAt[round] = env.Now
	delete(r.requestedAt, round-digestRoundRetention)
}

// synchronizeZones sends the peers a digest request for each zone whose copy is complete, and a
// pull for each zone whose copy is not. Zones held here are skipped.
func (m *Machine) synchronizeZones(env *statemachine.Env) {
	m.replication.beginRound(env)
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
		if m.canAssumeComplete(env, replica) {
			replica.complete = true
		}
	}
}

// rosterCheck returns the digest request for a zone in the current round.
func (m *Machine) rosterCheck(zone string) message.RosterCheck {
	return message.RosterCheck{
		Zone:     zone,
		Round:    m.replication.rounds.Last(),
		Voter:    m.quorum.Voter,
		Position: m.zones[zone].slice.Position,
	}
}

// canAssumeComplete reports whether an incomplete copy may be treated as complete, because no peer
// has a complete one: all other voters have answered so, as when all registries start together, or
// have had longer than LeaseTakeover to answer.
func (m *Machine) canAssumeComplete(env *statemachine.Env, replica *zoneReplica) bool {
	return len(replica.incompletePeers) >= m.quorum.Size()-1 || env.Now-m.startedAt > m.settings.LeaseTakeover()
}

// handleRosterChange applies a change that the holder of a zone has broadcast, and pulls the zone
// if the copy here lacks an earlier change or differs at the same position. Changes of an earlier
// epoch are ignored.
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

// handleRosterCheck answers a digest request. Only the holder of the zone answers.
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

// handleRosterDigest compares the holder's digest with that of the copy here. If they are equal,
// the copy was current when the digest was requested; otherwise the zone is pulled.
func (m *Machine) handleRosterDigest(env *statemachine.Env, digest message.RosterDigest) {
	replica, known := m.zones[digest.Zone]
	requestedAt, requested := m.replication.requestedAt[digest.Round]
	if !known || !requested || digest.Position.Epoch < m.leases.Epoch(digest.Zone) || m.holdsZone(env, digest.Zone) {
		return
	}
	if replica.slice.Position.SameContent(digest.Position) {
		m.distribution.SetFreshAt(distribution.SliceTopic(digest.Zone), requestedAt)
		return
	}
	if guardsOff.driftDetection {
		return
	}
	m.pullZone(env, digest.Zone, "digest differs")
}

// pullZone requests a snapshot of a zone from the peers. Requests are rate limited, with jitter, so
// that they don't overload a busy holder.
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

// handleRosterPull answers with a snapshot of a zone, which says whether the copy is complete and
// whether it is the holder's.
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

// handleRosterSnapshot replaces the copy of a zone by a snapshot that is newer, or that is from the
// holder and differs. A snapshot that is neither complete nor from the holder only counts towards
// canAssumeComplete.
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
