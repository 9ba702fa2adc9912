package configstore

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// phase is the state of a voter with respect to the lease: it follows another voter, takes over the log,
// or serves.
type phase int

const (
	following        phase = iota // doesn't hold the lease
	readingPositions              // requests the log positions of the voters
	fetchingSnapshot              // fetches the log of the voter with the highest position
	recommitting                  // commits the selected log in its own epoch
	serving                       // handles reads and writes
)

// leadership is the state of a voter as the holder of the lease.
type leadership struct {
	phase     phase
	term      int64 // epoch of the lease under which the phase runs
	takeover  takeover
	acks      map[string]string // voter to identity, for the voters that have synced the recommitted log or the write in flight
	followers followerProgress
	sentAt    time.Duration // time of the last round of messages; 0: the next step sends at once
}

// canServe reports whether this voter may handle client requests at the given time.
func (m *Machine) canServe(now time.Duration) bool {
	return m.leadership.phase == serving && m.leases.IsHolder(settings.ConfigLogLease, now)
}

// step sends the confirmed responses, and the messages of the current phase if the interval since they were
// last sent has passed. Messages are repeated until they are answered, since any of them may be lost.
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
			m.notifyLaggingVoters(env)
		}
	}
}

// handleAppended records an acknowledgement of a voter, which may be this one, and completes the takeover
// or the commit once a majority has acknowledged.
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

// recommitMessage returns the message that asks a voter to move the log that ends at a position into this
// term.
func (m *Machine) recommitMessage(end position) message.LogRecommit {
	return message.LogRecommit{
		Epoch:         m.leadership.term,
		Voter:         m.quorum.Voter,
		Identity:      m.quorum.Signature(),
		PositionEpoch: end.epoch,
		PositionSeq:   end.seq,
		Hash:          end.hash,
	}
}

// leaseLost is called when the lease has expired or was transferred. The next holder may still commit the
// write in flight, so the response to its client says that the outcome is unknown. All other requests are
// refused with ConfigurationNoHolder, so that the clients can retry them at the next holder.
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
