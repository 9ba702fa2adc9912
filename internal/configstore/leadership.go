package configstore

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// phase is where a voter stands between following another one and serving as the holder of the lease.
type phase int

const (
	following        phase = iota // another voter holds the lease, or none does
	readingPositions              // asks the voters for the ends of their logs
	fetchingSnapshot              // fetches the log of the voter with the highest position
	recommitting                  // commits that log again in its own epoch
	serving                       // takes reads and writes
)

// leadership is what a voter does as the holder of the lease.
type leadership struct {
	phase     phase
	term      int64 // epoch of the lease under which the phase runs
	takeover  takeover
	acks      map[string]string // identity by voter: who has what is being committed on disk
	followers followerProgress
	sentAt    time.Duration // of the last round of messages; 0: send at once
}

// canServe reports whether this voter may answer clients now.
func (m *Machine) canServe(now time.Duration) bool {
	return m.leadership.phase == serving && m.leases.IsHolder(settings.ConfigLogLease, now)
}

// step sends again what the phase waits for. Messages are repeated until they are answered, since any of
// them may be lost.
func (m *Machine) step(env *statemachine.Env) {
	if m.leadership.phase != following && !m.leases.IsHolder(settings.ConfigLogLease, env.Now) {
		return
	}
	m.sendConfirmedResponses(env)
	recentlySent := env.Now-m.leadership.sentAt < m.settings.DigestEvery() && m.leadership.sentAt != 0
	if m.leadership.phase == following || recentlySent {
		return
	}
	m.leadership.sentAt = env.Now
	switch m.leadership.phase {
	case readingPositions:
		m.requestPositions(env)
		m.chooseSource(env)
	case fetchingSnapshot:
		m.fetchFromSource(env)
	case recommitting:
		m.sendRecommit(env)
	case serving:
		if m.proposal.inFlight() {
			m.sendProposal(env)
		} else {
			m.remindLaggards(env)
		}
	}
}

// handleAppended counts an acknowledgement of a voter, this one included.
func (m *Machine) handleAppended(env *statemachine.Env, appended message.LogAppended) {
	if appended.Epoch != m.leadership.term {
		return
	}
	m.leadership.followers.record(appended)
	switch {
	case m.leadership.phase == recommitting:
		m.leadership.acks[appended.Voter] = appended.Identity
		if m.quorum.Majority(m.leadership.acks) || guardsOff.recommit {
			m.beginServing(env)
		}
	case m.leadership.phase == serving && m.proposal.inFlight() && appended.Seq >= m.proposal.entry.Seq:
		m.leadership.acks[appended.Voter] = appended.Identity
		if m.quorum.Majority(m.leadership.acks) || guardsOff.majorityCommit {
			m.commitProposal(env)
		}
	}
}

// recommitMessage asks a voter to take the log that ends at a position into this term.
func (m *Machine) recommitMessage(at position) message.LogRecommit {
	return message.LogRecommit{
		Epoch:         m.leadership.term,
		Voter:         m.quorum.Voter,
		Identity:      m.quorum.Signature(),
		PositionEpoch: at.epoch,
		PositionSeq:   at.seq,
		Hash:          at.hash,
	}
}

// leaseLost is called when the lease has run out or was handed over. The write in flight may yet be
// committed by the next holder, so its client is told that the result is not known; all others may ask
// again elsewhere.
func (m *Machine) leaseLost(env *statemachine.Env, _ string, _ int64) {
	m.leadership.phase = following
	if m.proposal.inFlight() {
		m.respond(env, m.proposal.client.from, message.StoreResponse{
			RequestID: m.proposal.client.request.RequestID,
			Code:      int64(errcode.ConfigurationUnsure),
			Detail:    "the lease was lost midway",
		})
		m.proposal.entry = nil
	}
	for _, write := range m.writes {
		m.respond(env, write.from, message.StoreResponse{RequestID: write.request.RequestID, Code: int64(errcode.ConfigurationNoHolder)})
	}
	for _, response := range m.responses {
		m.respond(env, response.from, message.StoreResponse{RequestID: response.requestID, Code: int64(errcode.ConfigurationNoHolder)})
	}
	m.writes, m.responses = nil, nil
}
