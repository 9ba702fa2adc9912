package configstore

// This file is a write's way from the queue to the acknowledgement: it is appended here and at
// the followers, and is committed once a majority has synced it.

import (
	"fmt"
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

type queuedWrite struct {
	from  string
	write message.WriteRequest
	at    time.Duration
}

func (m *Machine) sendInFlight(s *statemachine.Env) {
	m.sentAt = s.Now
	for _, peer := range m.Peers() {
		if !m.quorum.Accepts(peer.Voter, m.acks[peer.Voter]) {
			m.packed.Identity = m.quorum.Signature()
			s.Send(peer.Address, m.packed)
		}
	}
}

// confirm says what this voter has synced.
func (m *Machine) confirm(s *statemachine.Env, to string) {
	if m.synced.epoch == m.leases.Epoch(settings.ConfigLogTag) {
		s.Send(to, message.LogAppended{Epoch: m.synced.epoch, Seq: m.synced.seq, Voter: m.quorum.Voter, Identity: m.quorum.Signature()})
	}
}

// handlePacked takes an append on its way: content that stands here already isn't rebuilt.
func (m *Machine) handlePacked(s *statemachine.Env, from string, packed message.LogAppendDelta) {
	commit := message.LogAppend{Epoch: packed.Epoch, Seq: packed.Seq}
	follows := m.epoch == packed.Epoch && m.seq < packed.Seq
	if follows {
		unpacked, fits := m.unpackAppend(packed)
		if !fits {
			m.pull(s, from)
			return
		}
		commit = unpacked
	}
	m.handleCommit(s, from, commit)
}

func (m *Machine) handleCommit(s *statemachine.Env, from string, commit message.LogAppend) {
	switch {
	case m.epoch == commit.Epoch && m.seq >= commit.Seq:
		m.confirm(s, from)
	case m.epoch == commit.Epoch && (m.seq == commit.Seq-1 || guardsOff.appendInOrder):
		m.seq = commit.Seq
		m.keep(commit.Configuration)
		reached := m.position()
		if guardsOff.syncedAppend {
			m.synced = reached
			m.confirm(s, from)
		}
		m.Persist(s, commit, func(s *statemachine.Env, failure error) {
			if failure == nil {
				m.synced = reached
				m.confirm(s, from)
			}
		})
	default:
		m.pull(s, from)
	}
}

func (m *Machine) handleCommitted(s *statemachine.Env, committed message.LogAppended) {
	if committed.Epoch != m.term {
		return
	}
	m.noteFollower(committed)
	switch {
	case m.mode == adopting:
		m.acks[committed.Voter] = committed.Identity
		if m.quorum.Majority(m.acks) || guardsOff.recommit {
			m.mode = serving
			s.Event("config-log-serving", 0, m.term, fmt.Sprintf("after (%d,%d) of %s", m.source.AtEpoch, m.source.AtSeq, m.source.Voter))
			for _, configName := range m.configNames() {
				m.publish(s, configName)
			}
		}
	case m.mode == serving && m.inFlight != nil && committed.Seq >= m.inFlight.Seq:
		m.acks[committed.Voter] = committed.Identity
		if m.quorum.Majority(m.acks) || guardsOff.majorityCommit {
			done := *m.inFlight
			m.inFlight = nil
			s.Event("configuration-settled", 0, m.term, fmt.Sprintf("%s %d", done.ConfigName, done.Version))
			m.publish(s, done.ConfigName)
			m.tell(s, m.asker.from, message.StoreResponse{RequestID: m.asker.write.RequestID, ConfigName: done.ConfigName, Version: done.Version})
			m.nextWrite(s)
		}
	}
}

func (m *Machine) publish(s *statemachine.Env, configName string) {
	if current, known := m.current(configName); known {
		m.distribution.WriteConfiguration(s, configName, current.Version, current.Body)
		m.distribution.SetFreshAt(distribution.ConfigurationTopic(configName), s.Now)
	}
}

func (m *Machine) handleWrite(s *statemachine.Env, from string, write message.WriteRequest) {
	if m.mode != serving || !m.leases.Holding(settings.ConfigLogTag, s.Now) {
		m.tell(s, from, message.StoreResponse{RequestID: write.RequestID, Code: int64(m.notServing()), Holder: m.holderName()})
		return
	}
	if int64(len(m.writes)) >= m.settings.Limits.Queue {
		m.tell(s, from, message.StoreResponse{RequestID: write.RequestID, Code: int64(errcode.ConfigurationNoHolder), Detail: "too many puts pending"})
		return
	}
	if write.Packed {
		write = m.unpackWrite(write)
	}
	m.writes = append(m.writes, queuedWrite{from, write, s.Now})
	m.nextWrite(s)
}

func (m *Machine) nextWrite(s *statemachine.Env) {
	for m.inFlight == nil && len(m.writes) > 0 {
		next := m.writes[0]
		m.writes = m.writes[1:]
		m.begin(s, next)
	}
}

// commit begins a write that is in order.
func (m *Machine) commit(s *statemachine.Env, next queuedWrite, write message.WriteRequest) {
	m.seq++
	configuration := message.StoredConfiguration{ConfigName: write.ConfigName, Version: write.Version, Epoch: m.term, Seq: m.seq, Body: write.Body}
	m.packed = m.packedAppend(configuration)
	m.inFlight, m.asker, m.acks = &configuration, next, map[string]string{}
	m.keep(configuration)
	reached, term := m.position(), m.term
	record := message.LogAppend{Epoch: term, Seq: configuration.Seq, Voter: m.quorum.Voter, Identity: m.quorum.Signature(), Configuration: configuration}
	m.Persist(s, record, func(s *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.synced = reached
		if m.term == term {
			m.handleCommitted(s, message.LogAppended{Epoch: term, Seq: configuration.Seq, Voter: m.quorum.Voter, Identity: m.quorum.State.Identity})
		}
	})
	m.sendInFlight(s)
}
