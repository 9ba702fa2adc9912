// This file keeps up the voters that missed a change: nothing else would tell them of it
// before the next one, and a group whose newest change lies on a bare majority is one loss
// nearer to having none. The holder tells who has not confirmed its position what that
// position is; the voter pulls what it lacks.

package configstore

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// noteFollower remembers how far a voter has confirmed the log of this term.
func (m *Machine) noteFollower(committed message.LogAppended) {
	if last, known := m.followers[committed.Voter]; known && last.Identity == committed.Identity && last.Seq > committed.Seq {
		return
	}
	m.followers[committed.Voter] = committed
}

// keepsUp says that a voter has confirmed everything, as the member this holder knows.
func (m *Machine) keepsUp(voter string) bool {
	last, known := m.followers[voter]
	return known && last.Seq >= m.seq && m.quorum.Accepts(voter, last.Identity)
}

// tellLaggards names the log's end to the voters that have not confirmed it.
func (m *Machine) tellLaggards(s *statemachine.Env) {
	for _, peer := range m.Peers() {
		if peer.Voter != "" && peer.Voter != m.quorum.Voter && !m.keepsUp(peer.Voter) {
			s.Send(peer.Address, message.LogRecommit{Epoch: m.term, Voter: m.quorum.Voter, Identity: m.quorum.Signature(), AtEpoch: m.term, AtSeq: m.seq, Hash: m.hash})
		}
	}
}

// missed says that the holder's log goes on where this voter's ends.
func (m *Machine) missed(told message.LogRecommit) bool {
	return told.AtEpoch == told.Epoch && m.epoch == told.Epoch && m.seq < told.AtSeq
}

// NewestVersion is the highest version of a configuration that this disk's log holds, 0 for none.
func (m *Machine) NewestVersion(configName string) int64 {
	list := m.configurations[configName]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Version
}

// Voting says that this process holds a voter.
func (m *Machine) Voting() bool { return m.quorum.Voting() }
