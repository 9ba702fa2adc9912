package lease

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// stoppedBackOffLeases is the number of lease durations for which a stopping voter doesn't campaign.
	// The process has exited long before they end.
	stoppedBackOffLeases = 1000
	// maxStatusAgeIntervals is the maximum age of a usable voter status, in status intervals (DigestEvery).
	maxStatusAgeIntervals = 25
)

// reservedAgainst reports whether the last holder has transferred the tag to a voter other than voter.
func (a *acceptorState) reservedAgainst(voter string) bool {
	return a.reservedFor != "" && a.reservedFor != voter
}

// TransferAll transfers every tag that this voter holds to a successor, and stops this voter from
// campaigning. It is called before the process stops.
func (m *Manager) TransferAll(env *statemachine.Env) {
	for _, name := range m.tagNames {
		tag := m.tags[name]
		if tag.holder.holding {
			m.transferTo(env, tag, m.chooseSuccessor(env, tag))
		}
		tag.candidate.nextAttemptAt = env.Now + m.settings.Lease()*stoppedBackOffLeases
	}
}

// releaseAll ends all leases of a process that may not vote. If the disk has failed, it transfers the
// leases instead, so that the other voters needn't wait for them to expire.
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

// chooseSuccessor returns a random voter to which a stopping holder transfers a tag, so that the tag isn't
// without a holder until another voter campaigns; "" if no voter qualifies. Voters in cool-down are
// excluded, or the tag would move back and forth.
func (m *Manager) chooseSuccessor(env *statemachine.Env, tag *tagState) string {
	successors := []string{}
	for _, peer := range m.host.Peers() {
		if m.canBeSuccessor(env.Now, tag, peer) {
			successors = append(successors, peer.Voter)
		}
	}
	if len(successors) == 0 {
		return ""
	}
	return successors[env.Random.IntN(len(successors))]
}

// canBeSuccessor reports whether a peer is another voter that is alive, may vote, isn't in cool-down and
// isn't handing over its voter. A peer whose status is unknown is assumed to vote.
func (m *Manager) canBeSuccessor(now time.Duration, tag *tagState, peer message.Member) bool {
	if peer.Voter == "" || peer.Voter == m.quorum.Voter || peer.State != message.Alive {
		return false
	}
	if tag.acceptor.inCoolDown(peer.Voter, now, m.settings.HolderCooldown()) {
		return false
	}
	status, _, known := m.quorum.LastStatus(peer.Voter)
	return !known || status.Voting && status.Successor == ""
}

// failBackToPreferred transfers a tag to the preferred voter once this voter has held the tag for the
// failback delay (FailbackAfter) and the preferred voter is alive and has recently reported that it votes.
func (m *Manager) failBackToPreferred(env *statemachine.Env, tag *tagState) {
	preferred := m.settings.PreferredHolders[tag.name]
	if preferred == "" || preferred == m.quorum.Voter || env.Now-tag.holder.acquiredAt < m.settings.FailbackAfter() {
		return
	}
	status, receivedAt, known := m.quorum.LastStatus(preferred)
	if !known || !status.Voting || env.Now-receivedAt >= m.settings.DigestEvery()*maxStatusAgeIntervals {
		return
	}
	for _, peer := range m.host.Peers() {
		if peer.Voter == preferred && peer.State == message.Alive {
			m.transferTo(env, tag, preferred)
			return
		}
	}
}

// transferTo ends this voter's lease and notifies the other voters of the successor. An empty successor
// leaves the tag to any candidate.
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
// reserves the tag for the successor for half a lease.
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
		// The holder limits how often it transfers a tag, so the cool-down of the previous holder needn't
		// block the transfer.
		tag.acceptor.coolDownStartedAt = env.Now - m.settings.HolderCooldown()
	}
	switch {
	case transfer.Successor == m.quorum.Voter:
		tag.candidate.nextAttemptAt = env.Now
	case transfer.Voter != m.quorum.Voter:
		tag.candidate.nextAttemptAt = env.Now + m.settings.Lease()/2
	}
}
