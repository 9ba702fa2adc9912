package registry

import (
	"strconv"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// windowSealer is the sealing state of the holder of the usage lease. To seal a window the holder
// reads a majority of the voters, proposes a value and waits until a majority has synced it. It
// acts as the proposer of single-decree Paxos, with the epoch of the lease as the ballot
// (docs/control-safety.md).
type windowSealer struct {
	epoch int64

	reading      bool              // a read is in progress
	readWindow   int64             // window that the latest read was started for; 0: the first read of the epoch
	readBy       map[string]string // voters that answered the read, with their identities
	majorityRead bool              // a read of a majority has completed under this epoch

	proposal *message.UsageSealed // value that is being synced; nil: none
	syncedBy map[string]string    // voters that have the proposal on disk, with their identities

	sentAt time.Duration // when the latest request was sent to the peers
}

// stop cancels the read and the proposal in progress.
func (s *windowSealer) stop() { s.reading, s.majorityRead, s.proposal = false, false, nil }

// beginRead starts a read of a majority. The request is sent at the next tick.
func (u *usageManager) beginRead(window int64) {
	u.sealer.reading = true
	u.sealer.readWindow = window
	u.sealer.readBy = map[string]string{u.quorum.Voter: u.quorum.State.Identity}
	u.sealer.sentAt = 0
}

// advanceSealing repeats the request in progress when it is due, or starts to seal the next window.
func (u *usageManager) advanceSealing(env *statemachine.Env) {
	repeat := env.Now-u.sealer.sentAt >= u.settings.DigestEvery()
	switch {
	case u.sealer.reading && repeat:
		u.sendRead(env)
		u.finishRead()
	case u.sealer.proposal != nil && repeat:
		u.sendProposal(env)
	case u.sealer.majorityRead && !u.sealer.reading && u.sealer.proposal == nil:
		u.sealNextWindow(env)
	}
}

// sendRead asks the peers for their values and counts.
func (u *usageManager) sendRead(env *statemachine.Env) {
	u.sealer.sentAt = env.Now
	for _, peer := range u.core.Peers() {
		env.Send(peer.Address, message.UsageRead{
			Epoch:    u.sealer.epoch,
			Voter:    u.quorum.Voter,
			Identity: u.quorum.Signature(),
		})
	}
}

// finishRead ends the read once a majority has answered.
func (u *usageManager) finishRead() {
	if !u.quorum.Majority(u.sealer.readBy) && !guardsOff.usageRead {
		return
	}
	u.sealer.reading = false
	if !u.sealer.majorityRead {
		u.sealer.majorityRead = true
		u.sealed.final = map[int64]bool{}
	}
}

// sealNextWindow seals the oldest window that is over, not reported and not final under this epoch,
// unless its counts are still awaited.
func (u *usageManager) sealNextWindow(env *statemachine.Env) {
	current := u.clock.current(env)
	if u.sealed.reported == 0 {
		u.sealed.reported = u.windowBeforeFirst(current)
	}
	for window := max(u.sealed.reported+1, current-windowRetention); window < current; window++ {
		if u.sealed.final[window] {
			continue
		}
		if u.clock.mayBeSealed(env, window) {
			u.seal(env, window)
		}
		return
	}
}

// windowBeforeFirst returns the window before the first one that has a value or counts. If nothing
// was ever reported, sealing starts after it, not with the empty windows from before the fleet
// existed.
func (u *usageManager) windowBeforeFirst(current int64) int64 {
	before := current - 1
	for window := range u.sealed.values {
		before = min(before, window-1)
	}
	for window := range u.counts.byWindow {
		before = min(before, window-1)
	}
	return before
}

// seal reads a majority for a window, and after that proposes the value of the window.
func (u *usageManager) seal(env *statemachine.Env, window int64) {
	if u.sealer.readWindow != window && !guardsOff.usageRead {
		// The counts of a proxy that has crashed may be held by another voter only.
		u.beginRead(window)
		return
	}
	value, known := u.sealed.values[window]
	if !known || guardsOff.knownValue {
		value = message.UsageSealed{Window: window, Counts: u.counts.sum(window)}
	}
	value.Epoch = u.sealer.epoch
	u.propose(env, value)
}

// propose writes a value to the local disk and sends it to the peers to be synced.
func (u *usageManager) propose(env *statemachine.Env, value message.UsageSealed) {
	u.sealer.proposal = &value
	u.sealer.syncedBy = map[string]string{}
	u.sealed.values[value.Window] = value
	u.sealer.sentAt = env.Now
	u.core.Persist(env, value, func(env *statemachine.Env, failure error) {
		if failure == nil && u.isProposed(value.Window, value.Epoch) {
			u.recordSynced(env, u.quorum.Voter, u.quorum.State.Identity)
		}
	})
	u.sendProposal(env)
}

// isProposed reports whether the proposal in progress is for a window under an epoch.
func (u *usageManager) isProposed(window, epoch int64) bool {
	proposal := u.sealer.proposal
	return proposal != nil && proposal.Window == window && proposal.Epoch == epoch
}

// sendProposal sends the proposal in progress to the peers.
func (u *usageManager) sendProposal(env *statemachine.Env) {
	u.sealer.sentAt = env.Now
	for _, peer := range u.core.Peers() {
		env.Send(peer.Address, message.UsageSeal{
			Voter:              u.quorum.Voter,
			Identity:           u.quorum.Signature(),
			Sealed:             *u.sealer.proposal,
			LastReportedWindow: u.sealed.reported,
		})
	}
}

// recordSynced records that a voter has the proposed value on disk. Once a majority does, the value
// is final.
func (u *usageManager) recordSynced(env *statemachine.Env, voter, identity string) {
	u.sealer.syncedBy[voter] = identity
	if !u.quorum.Majority(u.sealer.syncedBy) && !guardsOff.majoritySeal {
		return
	}
	window := u.sealer.proposal.Window
	u.sealed.final[window] = true
	env.Event("usage-sealed", 0, u.sealer.epoch, strconv.FormatInt(window, 10))
	u.sealer.proposal = nil
	u.nextReportAt = 0
}

// mayAnswer reports whether this process votes and recognizes the sender as the holder of its
// voter.
func (u *usageManager) mayAnswer(voter, identity string) bool {
	return u.quorum.Voting() && u.quorum.VerifySignature(voter, identity)
}

// handleRead answers the read of a holder, if this process is a voter, with the values and counts
// that it has.
func (u *usageManager) handleRead(env *statemachine.Env, from string, read message.UsageRead) {
	if read.Epoch != u.leases.Epoch(settings.UsageLease) || !u.mayAnswer(read.Voter, read.Identity) {
		return
	}
	env.Send(from, message.UsageReadResponse{
		Epoch:              read.Epoch,
		Voter:              u.quorum.Voter,
		Identity:           u.quorum.Signature(),
		Sealed:             u.sealed.latest(),
		LastReportedWindow: u.sealed.reported,
		Unreported:         u.counts.unsealed(),
	})
}

// handleReadResponse merges the values and counts of a voter that has answered the read.
func (u *usageManager) handleReadResponse(response message.UsageReadResponse) {
	if !u.sealer.reading || response.Epoch != u.sealer.epoch {
		return
	}
	for _, value := range response.Sealed {
		u.sealed.merge(value)
	}
	u.sealed.advanceReported(response.LastReportedWindow)
	u.counts.merge(response.Unreported)
	u.sealer.readBy[response.Voter] = response.Identity
	u.finishRead()
}

// handleSeal records a holder's proposal, if this process is a voter, and acknowledges it once it
// is synced.
func (u *usageManager) handleSeal(env *statemachine.Env, from string, seal message.UsageSeal) {
	if seal.Sealed.Epoch < u.leases.Epoch(settings.UsageLease) || !u.mayAnswer(seal.Voter, seal.Identity) {
		return
	}
	u.sealed.advanceReported(seal.LastReportedWindow)
	u.sealed.merge(seal.Sealed)
	confirmation := message.UsageSealResponse{
		Voter:    u.quorum.Voter,
		Identity: u.quorum.Signature(),
		Window:   seal.Sealed.Window,
		Epoch:    seal.Sealed.Epoch,
	}
	if guardsOff.syncedSeal {
		env.Send(from, confirmation)
	}
	u.core.Persist(env, seal.Sealed, func(env *statemachine.Env, failure error) {
		if failure == nil {
			confirmation.Identity = u.quorum.Signature()
			env.Send(from, confirmation)
		}
	})
}

// handleSealResponse counts an acknowledgement of the proposal in progress.
func (u *usageManager) handleSealResponse(env *statemachine.Env, response message.UsageSealResponse) {
	if u.sealer.proposal == nil || response.Window != u.sealer.proposal.Window || response.Epoch != u.sealer.epoch {
		return
	}
	u.recordSynced(env, response.Voter, response.Identity)
}
