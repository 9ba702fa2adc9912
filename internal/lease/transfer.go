package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// stoppedLeases is for how many leases a voter that stops is no candidate: longer than it runs.
	stoppedLeases = 1000
	// freshStatuses is for how many intervals between statuses a voter's last status counts.
	freshStatuses = 25
)

// reservedAgainst reports whether the last holder has transferred the tag to another voter than voter.
func (a *acceptorState) reservedAgainst(voter string) bool {
	return a.reservedFor != "" && a.reservedFor != voter
}

// TransferAll transfers every tag that this voter holds to another voter, before this process stops.
func (m *Manager) TransferAll(env *statemachine.Env) {
	for _, name := range m.tagNames {
		tag := m.tags[name]
		if tag.holder.holding {
			m.transferTo(env, tag, m.chooseSuccessor(env, tag))
		}
		tag.candidate.nextAttemptAt = env.Now + m.settings.Lease()*stoppedLeases
	}
}

// releaseAll ends all leases of a process that may not vote. One whose disk has failed transfers them,
// so that nobody waits for them to expire.
func (m *Manager) releaseAll(env *statemachine.Env) {
	for _, name := range m.tagNames {
		tag := m.tags[name]
		if tag.holder.holding && m.host.Failure() != nil {
			m.transferTo(env, tag, m.chooseSuccessor(env, tag))
			continue
		}
		m.loseLease(env, tag, lostNotVoting)
	}
}

// chooseSuccessor returns the voter to which a stopping holder transfers a tag, so that nobody waits
// for a campaign; "" when there is none. Voters that cool down are passed over, or the tag would go
// back and forth.
func (m *Manager) chooseSuccessor(env *statemachine.Env, tag *tagState) string {
	successors := []string{}
	for _, peer := range m.host.Peers() {
		if m.maySucceed(env.Now, tag, peer) {
			successors = append(successors, peer.Voter)
		}
	}
	if len(successors) == 0 {
		return ""
	}
	return successors[env.Random.IntN(len(successors))]
}

func (m *Manager) maySucceed(now time.Duration, tag *tagState, peer message.Member) bool {
	if peer.Voter == "" || peer.Voter == m.quorum.Voter || peer.State != message.Alive {
		return false
	}
	if tag.acceptor.inCoolDown(peer.Voter, now, m.settings.HolderCooldown()) {
		return false
	}
	status, _, known := m.quorum.LastStatus(peer.Voter)
	return !known || status.Voting && status.Successor == ""
}

// returnToPreferred transfers a tag to the voter that the settings prefer, once this voter has held it
// for a while and the preferred one votes again.
func (m *Manager) returnToPreferred(env *statemachine.Env, tag *tagState) {
	preferred := m.settings.PreferredHolders[tag.name]
	if preferred == "" || preferred == m.quorum.Voter || env.Now-tag.holder.acquiredAt < m.settings.FailbackAfter() {
		return
	}
	status, receivedAt, known := m.quorum.LastStatus(preferred)
	if !known || !status.Voting || env.Now-receivedAt >= m.settings.DigestEvery()*freshStatuses {
		return
	}
	for _, peer := range m.host.Peers() {
		if peer.Voter == preferred && peer.State == message.Alive {
			m.transferTo(env, tag, preferred)
			return
		}
	}
}

// transferTo ends this voter's lease and tells the others to which voter the tag goes; "" leaves it
// open.
func (m *Manager) transferTo(env *statemachine.Env, tag *tagState, successor string) {
	transfer := message.LeaseYield{
		Group:     m.quorum.Group,
		LeaseName: tag.name,
		Epoch:     tag.candidate.epoch,
		Voter:     m.quorum.Voter,
		Identity:  m.quorum.Signature(),
		Successor: successor,
	}
	m.loseLease(env, tag, "transferred to "+successor)
	tag.candidate.nextAttemptAt = env.Now + m.settings.Lease()*2
	m.sendToPeers(env, transfer)
	m.handleTransfer(env, transfer)
}

// handleTransfer releases this voter from its promise to the holder, which has stopped acting, and
// reserves the tag for the successor.
func (m *Manager) handleTransfer(env *statemachine.Env, transfer message.LeaseYield) {
	tag, known := m.tags[transfer.LeaseName]
	if !known || transfer.Epoch != tag.acceptor.vote.Epoch || transfer.Voter != tag.acceptor.vote.Holder {
		return
	}
	if !m.quorum.VerifySignature(transfer.Voter, transfer.Identity) {
		return
	}
	tag.acceptor.promisedUntil = 0
	tag.acceptor.reservedFor = transfer.Successor
	tag.acceptor.reservedUntil = env.Now + m.settings.Lease()/2
	if transfer.Successor != "" {
		// The holder itself limits how often it transfers a tag, so no cool-down stands against it.
		tag.acceptor.coolDownFrom = env.Now - m.settings.HolderCooldown()
	}
	switch {
	case transfer.Successor == m.quorum.Voter:
		tag.candidate.nextAttemptAt = env.Now
	case transfer.Voter != m.quorum.Voter:
		tag.candidate.nextAttemptAt = env.Now + m.settings.Lease()/2
	}
}
