package configstore

// This file is how a new holder of the log's lease comes to serve: it reads a majority, takes
// the highest position, and commits it again under its own epoch.

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

func (m *Machine) took(s *statemachine.Env, _ string, epoch int64) {
	m.term, m.mode, m.sentAt = epoch, reading, 0
	m.followers = map[string]message.LogAppended{}
	at := m.position()
	m.reads = map[string]message.LogPositionResponse{m.quorum.Voter: {Epoch: epoch, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity,
		AtEpoch: at.epoch, AtSeq: at.seq, Hash: at.hash}}
	m.inFlight = nil
	m.step(s)
}

func (m *Machine) lost(s *statemachine.Env, _ string, _ int64) {
	m.mode = idle
	if m.inFlight != nil {
		m.tell(s, m.asker.from, message.StoreResponse{RequestID: m.asker.write.RequestID, Code: int64(errcode.ConfigurationUnsure), Detail: "the lease was lost midway"})
		m.inFlight = nil
	}
	for _, waiting := range m.writes {
		m.tell(s, waiting.from, message.StoreResponse{RequestID: waiting.write.RequestID, Code: int64(errcode.ConfigurationNoHolder)})
	}
	for _, waiting := range m.answers {
		m.tell(s, waiting.from, message.StoreResponse{RequestID: waiting.requestID, Code: int64(errcode.ConfigurationNoHolder)})
	}
	m.writes, m.answers = nil, nil
}

// chooseSource: with a majority read, the highest position is the configuration log.
func (m *Machine) chooseSource(s *statemachine.Env) {
	acks := map[string]string{}
	for voter, response := range m.reads {
		acks[voter] = response.Identity
	}
	if !m.quorum.Majority(acks) && !guardsOff.majorityRead {
		return
	}
	best := m.reads[m.quorum.Voter]
	for _, voter := range m.quorum.VoterNames() {
		response, read := m.reads[voter]
		if read && !guardsOff.highestPosition && m.quorum.Accepts(voter, response.Identity) && (position{best.AtEpoch, best.AtSeq, 0}).before(position{response.AtEpoch, response.AtSeq, 0}) {
			best = response
		}
	}
	m.source = best
	m.sentAt = 0
	if best.Voter == m.quorum.Voter {
		m.adopt(s)
		return
	}
	m.mode = pulling
	m.step(s)
}

// adopt settles the whole configuration log again under this term.
func (m *Machine) adopt(s *statemachine.Env) {
	at := m.position()
	m.adoption = message.LogRecommit{Epoch: m.term, Voter: m.quorum.Voter, Identity: m.quorum.Signature(), AtEpoch: at.epoch, AtSeq: at.seq, Hash: at.hash}
	m.mode, m.acks, m.sentAt = adopting, map[string]string{}, 0
	m.epoch, m.seq = m.term, 0
	term, reached := m.term, m.position()
	m.WriteSnapshot(s, func(s *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if m.term == term {
			m.handleCommitted(s, message.LogAppended{Epoch: term, Seq: 0, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity})
		}
	})
	m.step(s)
}

func (m *Machine) handleAdopt(s *statemachine.Env, from string, adopt message.LogRecommit) {
	at := m.position()
	switch {
	case m.missed(adopt):
		m.pull(s, from)
	case m.epoch == adopt.Epoch:
		m.confirm(s, from)
	case at == position{adopt.AtEpoch, adopt.AtSeq, adopt.Hash}:
		m.epoch, m.seq = adopt.Epoch, 0
		reached := m.position()
		m.Persist(s, adopt, func(s *statemachine.Env, failure error) {
			if failure == nil {
				m.synced = reached
				m.confirm(s, from)
			}
		})
	default:
		m.pull(s, from)
	}
}

func (m *Machine) pull(s *statemachine.Env, from string) {
	if s.Now < m.pullAt {
		return
	}
	if m.pulledAt != m.position() {
		m.pulledAt, m.pullWait = m.position(), m.settings.DigestEvery()/2
	} else {
		// What was asked for may be on its way yet: asking again makes it later.
		m.pullWait = min(m.pullWait*2, m.settings.Lease())
	}
	m.pullAt = s.Now + m.pullWait
	s.Event("config-log-pull", 0, m.epoch, "behind the holder")
	s.Send(from, message.LogSnapshotRequest{Epoch: m.leases.Epoch(settings.ConfigLogTag), Voter: m.quorum.Voter, Identity: m.quorum.Signature()})
}

func (m *Machine) handleSnapshot(s *statemachine.Env, from string, snapshot message.LogSnapshot) {
	response := position{snapshot.AtEpoch, snapshot.AtSeq, 0}
	if snapshot.Epoch != m.leases.Epoch(settings.ConfigLogTag) || m.mode == adopting || m.mode == serving || !m.position().before(response) {
		return
	}
	if m.mode == pulling && snapshot.Voter != m.source.Voter || m.mode == reading {
		return
	}
	configurations, err := unpack(snapshot.Configurations, snapshot.History, m.settings.Limits.Configuration)
	if err != nil {
		s.Event("config-log-unreadable", int(errcode.FrameBad), snapshot.Epoch, err.Error())
		return
	}
	m.absorb(message.ConfigStoreState{Epoch: snapshot.AtEpoch, Seq: snapshot.AtSeq, Configurations: configurations, History: snapshot.History})
	reached := m.position()
	asHolder, term := m.mode == pulling, m.term
	m.WriteSnapshot(s, func(s *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if asHolder && m.mode == pulling && m.term == term {
			m.adopt(s)
		} else if !asHolder {
			m.confirm(s, from)
		}
	})
}
