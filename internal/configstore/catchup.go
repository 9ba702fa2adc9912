package configstore

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// snapshotBackoff limits the rate of requests for another voter's log. A requested log may still be in
// transit, and another request would delay it further, so the interval doubles as long as this voter's
// log does not change.
type snapshotBackoff struct {
	nextRequestAt time.Duration
	interval      time.Duration
	logPosition   position // of this voter's log at the last request
}

// requestSnapshot requests the holder's complete log, unless the interval since the last request has not
// passed.
func (m *Machine) requestSnapshot(env *statemachine.Env, holderAddress string) {
	if env.Now < m.backoff.nextRequestAt {
		return
	}
	if m.backoff.logPosition != m.log.position() {
		m.backoff.logPosition, m.backoff.interval = m.log.position(), m.settings.DigestEvery()/2
	} else {
		m.backoff.interval = min(m.backoff.interval*2, m.settings.Lease())
	}
	m.backoff.nextRequestAt = env.Now + m.backoff.interval
	env.Event(eventSnapshotRequested, 0, m.log.epoch, "behind the holder")
	env.Send(holderAddress, m.snapshotRequest(m.leases.Epoch(settings.ConfigLogLease)))
}

// snapshotRequest returns a request for a voter's complete log.
func (m *Machine) snapshotRequest(epoch int64) message.LogSnapshotRequest {
	return message.LogSnapshotRequest{Epoch: epoch, Voter: m.quorum.Voter, Identity: m.quorum.Signature()}
}

// logSnapshot returns the complete log, with the versions encoded as differences.
func (m *Machine) logSnapshot(epoch int64) message.LogSnapshot {
	return message.LogSnapshot{
		Epoch:          epoch,
		Voter:          m.quorum.Voter,
		PositionEpoch:  m.log.epoch,
		PositionSeq:    m.log.seq,
		Configurations: m.encoder.encode(m.log.entries()),
		History:        m.log.history.entries,
	}
}

// expectsSnapshot reports whether a received log is of the promised epoch, has a higher position than this
// voter's log, and was sent by a voter that this phase accepts a log from.
func (m *Machine) expectsSnapshot(snapshot message.LogSnapshot) bool {
	if snapshot.Epoch != m.leases.Epoch(settings.ConfigLogLease) {
		return false
	}
	if !m.log.position().before(position{epoch: snapshot.PositionEpoch, seq: snapshot.PositionSeq}) {
		return false
	}
	switch m.leadership.phase {
	case following:
		return true
	case fetchingSnapshot:
		return snapshot.Voter == m.leadership.takeover.source.Voter
	default:
		return false
	}
}

// handleSnapshot replaces this voter's log by another voter's. Once the log is on disk, a follower
// acknowledges it, and a new holder commits it in its own epoch.
func (m *Machine) handleSnapshot(env *statemachine.Env, from string, snapshot message.LogSnapshot) {
	if !m.expectsSnapshot(snapshot) {
		return
	}
	entries, err := decodeDifferences(snapshot.Configurations, snapshot.History, m.settings.Limits.Configuration)
	if err != nil {
		env.Event(eventSnapshotUnreadable, int(errcode.FrameBad), snapshot.Epoch, err.Error())
		return
	}
	m.log.replace(message.ConfigStoreState{
		Epoch:          snapshot.PositionEpoch,
		Seq:            snapshot.PositionSeq,
		Configurations: entries,
		History:        snapshot.History,
	})
	logEnd := m.log.position()
	asHolder, term := m.leadership.phase == fetchingSnapshot, m.leadership.term
	m.WriteSnapshot(env, func(env *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.log.synced = logEnd
		if asHolder && m.leadership.phase == fetchingSnapshot && m.leadership.term == term {
			m.beginRecommit(env)
		} else if !asHolder {
			m.acknowledge(env, from)
		}
	})
}

// isCaughtUp reports whether a voter has acknowledged the complete log with the disk that is on the
// member list.
func (m *Machine) isCaughtUp(voter string) bool {
	last, known := m.leadership.followers[voter]
	return known && last.syncedSeq >= m.log.seq && m.quorum.VerifySignature(voter, last.identity)
}

// notifyLaggingVoters sends the end of the log to the voters that have not acknowledged it. Otherwise they
// would not learn of it before the next write. While only a bare majority has the last entry, one more
// lost disk leaves no majority that has it.
func (m *Machine) notifyLaggingVoters(env *statemachine.Env) {
	for _, peer := range m.Peers() {
		if peer.Voter != "" && peer.Voter != m.quorum.Voter && !m.isCaughtUp(peer.Voter) {
			env.Send(peer.Address, m.recommitMessage(position{m.leadership.term, m.log.seq, m.log.hash}))
		}
	}
}
