package configstore

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// snapshotBackoff is the pause between requests for another voter's log. A requested log may still be on
// its way, and asking again would delay it further: the pause doubles while this voter's log stays where
// it is.
type snapshotBackoff struct {
	nextAt time.Duration
	pause  time.Duration
	at     position // of this voter's log at the last request
}

// requestSnapshot asks the holder for its whole log, unless it did so a short while ago.
func (m *Machine) requestSnapshot(env *statemachine.Env, holderAddress string) {
	if env.Now < m.backoff.nextAt {
		return
	}
	if m.backoff.at != m.log.position() {
		m.backoff.at, m.backoff.pause = m.log.position(), m.settings.DigestEvery()/2
	} else {
		m.backoff.pause = min(m.backoff.pause*2, m.settings.Lease())
	}
	m.backoff.nextAt = env.Now + m.backoff.pause
	env.Event(eventSnapshotRequested, 0, m.log.epoch, "behind the holder")
	env.Send(holderAddress, m.snapshotRequest(m.leases.Epoch(settings.ConfigLogLease)))
}

// snapshotRequest asks for a whole log.
func (m *Machine) snapshotRequest(epoch int64) message.LogSnapshotRequest {
	return message.LogSnapshotRequest{Epoch: epoch, Voter: m.quorum.Voter, Identity: m.quorum.Signature()}
}

// logSnapshot returns the whole log as it travels.
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

// wantsSnapshot reports whether a log that came is the one that was asked for, and newer than this
// voter's.
func (m *Machine) wantsSnapshot(snapshot message.LogSnapshot) bool {
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

// handleSnapshot takes another voter's whole log in place of this one's. A follower confirms it, and a
// new holder commits it in its own epoch, once it is on disk.
func (m *Machine) handleSnapshot(env *statemachine.Env, from string, snapshot message.LogSnapshot) {
	if !m.wantsSnapshot(snapshot) {
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
	reached := m.log.position()
	asHolder, term := m.leadership.phase == fetchingSnapshot, m.leadership.term
	m.WriteSnapshot(env, func(env *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.log.synced = reached
		if asHolder && m.leadership.phase == fetchingSnapshot && m.leadership.term == term {
			m.beginRecommit(env)
		} else if !asHolder {
			m.acknowledge(env, from)
		}
	})
}

// keepsUp reports whether a voter has confirmed the whole log, with the disk that the quorum knows it by.
func (m *Machine) keepsUp(voter string) bool {
	last, known := m.leadership.followers[voter]
	return known && last.match >= m.log.seq && m.quorum.VerifySignature(voter, last.identity)
}

// remindLaggards tells the end of the log to the voters that have not confirmed it. Nothing else would
// tell them before the next write, and while the newest entry lies on a bare majority, one more loss
// leaves no majority that has it.
func (m *Machine) remindLaggards(env *statemachine.Env) {
	for _, peer := range m.Peers() {
		if peer.Voter != "" && peer.Voter != m.quorum.Voter && !m.keepsUp(peer.Voter) {
			env.Send(peer.Address, m.recommitMessage(position{m.leadership.term, m.log.seq, m.log.hash}))
		}
	}
}
