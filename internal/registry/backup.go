package registry

// This file is what a registry does that is not the holder of a zone: it follows the changes,
// measures its drift by digests, and pulls the whole set where it differs.

import (
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// check asks the holders for their digests and, before this node is whole, for sets.
func (m *Machine) check(s *statemachine.Env) {
	m.round++
	m.checks[m.round] = s.Now
	delete(m.checks, m.round-64)
	for _, tag := range m.settings.Zones {
		if m.keeps(s, tag) {
			m.whole[tag] = true
			continue
		}
		for _, peer := range m.Peers() {
			if !m.whole[tag] {
				s.Send(peer.Address, message.RosterPull{Tag: tag, Voter: m.quorum.Voter})
			} else {
				s.Send(peer.Address, message.RosterCheck{Tag: tag, Round: m.round, Voter: m.quorum.Voter, Position: m.slices[tag].Mark})
			}
		}
		if !m.whole[tag] && (len(m.unwhole[tag]) >= m.quorum.Size()-1 || s.Now-m.bootAt > m.settings.TakeOver()) {
			m.whole[tag] = true
		}
	}
}

func (m *Machine) handleChange(s *statemachine.Env, from string, change message.RosterChange) {
	tag := tagOf(change.Position.Topic)
	slice, known := m.slices[tag]
	if !known || change.Position.Epoch < m.leases.Epoch(tag) || change.Position.Epoch < slice.Mark.Epoch || m.keeps(s, tag) {
		return
	}
	if !slice.Apply(change) {
		if slice.Mark.Before(change.Position) || !slice.Mark.Same(change.Position) && slice.Mark.Epoch == change.Position.Epoch && slice.Mark.Seq == change.Position.Seq {
			m.pull(s, tag, "gap in broadcasts")
		}
		return
	}
	m.Persist(s, change, func(*statemachine.Env, error) {})
	m.distribution.SliceChanged(s, change.Position.Topic)
}

func (m *Machine) handleDigest(s *statemachine.Env, from string, response message.RosterDigest) {
	slice, known := m.slices[response.Tag]
	askedAt, ours := m.checks[response.Round]
	if !known || !ours || response.Position.Epoch < m.leases.Epoch(response.Tag) || m.keeps(s, response.Tag) {
		return
	}
	if slice.Mark.Same(response.Position) {
		m.distribution.SetFreshAt(distribution.SliceTopic(response.Tag), askedAt)
		return
	}
	if guardsOff.driftDetection {
		return
	}
	m.pull(s, response.Tag, "digest differs")
}

// pull asks for a whole set, paced with jitter so that a busy holder is not flooded.
func (m *Machine) pull(s *statemachine.Env, tag, cause string) {
	if s.Now < m.pullAt[tag] {
		return
	}
	m.pullAt[tag] = s.Now + m.settings.DigestEvery()/2 + time.Duration(s.Random.Int64N(int64(m.settings.DigestEvery()/2)))
	s.Event("roster-pull", 0, m.slices[tag].Mark.Epoch, tag+": "+cause)
	for _, peer := range m.Peers() {
		s.Send(peer.Address, message.RosterPull{Tag: tag, Voter: m.quorum.Voter})
	}
}

func (m *Machine) handleSnapshot(s *statemachine.Env, snapshot message.RosterSnapshot) {
	slice, known := m.slices[snapshot.Tag]
	if !known || m.keeps(s, snapshot.Tag) {
		return
	}
	if !snapshot.Complete && !snapshot.HoldsLease {
		if !m.whole[snapshot.Tag] && snapshot.Voter != "" {
			if m.unwhole[snapshot.Tag] == nil {
				m.unwhole[snapshot.Tag] = map[string]bool{}
			}
			m.unwhole[snapshot.Tag][snapshot.Voter] = true
		}
		return
	}
	sameHash := slice.Mark.Same(snapshot.Position)
	if slice.Mark.Before(snapshot.Position) || snapshot.HoldsLease && snapshot.Position.Epoch >= m.leases.Epoch(snapshot.Tag) && !sameHash {
		slice.Replace(snapshot.Position, snapshot.Registrations)
		m.dirty = true
		m.distribution.SliceChanged(s, slice.Mark.Topic)
	}
	m.whole[snapshot.Tag] = true
}
