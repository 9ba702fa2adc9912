package registry

import (
	"strconv"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// windowSealer is the state of the usage lease's holder. To seal a window it reads a majority of
// the voters, proposes a value and waits until a majority has synced it, as the proposer of
// single-decree Paxos does with the lease's epoch for the ballot (docs/control-safety.md).
type windowSealer struct {
	epoch int64

	reading     bool              // a read is under way
	readFor     int64             // the window that the last read was made for; 0: the first of the epoch
	readAnswers map[string]string // identities by voter: who answered the read
	ready       bool              // a majority was read under this epoch

	proposal *message.UsageSealed // the value that is being synced
	synced   map[string]string    // identities by voter: who has it on disk

	sentAt time.Duration // when the last request went to the peers
}

// stop ends the read and the proposal that are under way.
func (p *windowSealer) stop() { p.reading, p.ready, p.proposal = false, false, nil }

// beginRead starts a read, which goes out with the next tick.
func (u *usage) beginRead(window int64) {
	u.sealer.reading = true
	u.sealer.readFor = window
	u.sealer.readAnswers = map[string]string{u.quorum.Voter: u.quorum.State.Identity}
	u.sealer.sentAt = 0
}

// advanceSealing repeats the request that is under way, or begins with the next window.
func (u *usage) advanceSealing(env *statemachine.Env) {
	repeat := env.Now-u.sealer.sentAt >= u.settings.DigestEvery()
	switch {
	case u.sealer.reading && repeat:
		u.sendRead(env)
		u.finishRead()
	case u.sealer.proposal != nil && repeat:
		u.sendProposal(env)
	case u.sealer.ready && !u.sealer.reading && u.sealer.proposal == nil:
		u.sealNext(env)
	}
}

func (u *usage) sendRead(env *statemachine.Env) {
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
func (u *usage) finishRead() {
	if !u.quorum.Majority(u.sealer.readAnswers) && !guardsOff.usageRead {
		return
	}
	u.sealer.reading = false
	if !u.sealer.ready {
		u.sealer.ready = true
		u.sealed.final = map[int64]bool{}
	}
}

// sealNext takes the oldest window that is over, isn't reported and has no final value under this
// epoch.
func (u *usage) sealNext(env *statemachine.Env) {
	current := u.clock.current(env)
	if u.sealed.reported == 0 {
		u.sealed.reported = u.beforeFirst(current)
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

// beforeFirst is the window before the first that has a value or counts. Where nothing was ever
// reported, sealing begins there and not with hours in which there was no fleet.
func (u *usage) beforeFirst(current int64) int64 {
	before := current - 1
	for window := range u.sealed.values {
		before = min(before, window-1)
	}
	for window := range u.counts.byWindow {
		before = min(before, window-1)
	}
	return before
}

// seal reads a majority for a window, and then proposes its value.
func (u *usage) seal(env *statemachine.Env, window int64) {
	if u.sealer.readFor != window && !guardsOff.usageRead {
		// Only another voter may have the counts of a proxy that died.
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

// propose syncs a value here and at the peers.
func (u *usage) propose(env *statemachine.Env, value message.UsageSealed) {
	u.sealer.proposal = &value
	u.sealer.synced = map[string]string{}
	u.sealed.values[value.Window] = value
	u.sealer.sentAt = env.Now
	u.core.Persist(env, value, func(env *statemachine.Env, failure error) {
		if failure == nil && u.isProposed(value.Window, value.Epoch) {
			u.recordSynced(env, u.quorum.Voter, u.quorum.State.Identity)
		}
	})
	u.sendProposal(env)
}

// isProposed says that the value being synced is that of a window under an epoch.
func (u *usage) isProposed(window, epoch int64) bool {
	proposal := u.sealer.proposal
	return proposal != nil && proposal.Window == window && proposal.Epoch == epoch
}

func (u *usage) sendProposal(env *statemachine.Env) {
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

// recordSynced notes that a voter has the proposed value on disk. With a majority it is final.
func (u *usage) recordSynced(env *statemachine.Env, voter, identity string) {
	u.sealer.synced[voter] = identity
	if !u.quorum.Majority(u.sealer.synced) && !guardsOff.majoritySeal {
		return
	}
	window := u.sealer.proposal.Window
	u.sealed.final[window] = true
	env.Event("usage-sealed", 0, u.sealer.epoch, strconv.FormatInt(window, 10))
	u.sealer.proposal = nil
	u.nextReportAt = 0
}

// mayAnswer says that this process votes, and knows the sender as the one that holds a voter.
func (u *usage) mayAnswer(voter, identity string) bool {
	return u.quorum.Voting() && u.quorum.VerifySignature(voter, identity)
}

// handleRead answers a holder, as a voter, with the values and counts that are known here.
func (u *usage) handleRead(env *statemachine.Env, from string, read message.UsageRead) {
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

func (u *usage) handleReadResponse(response message.UsageReadResponse) {
	if !u.sealer.reading || response.Epoch != u.sealer.epoch {
		return
	}
	for _, value := range response.Sealed {
		u.sealed.learn(value)
	}
	u.sealed.learnReported(response.LastReportedWindow)
	u.counts.merge(response.Unreported)
	u.sealer.readAnswers[response.Voter] = response.Identity
	u.finishRead()
}

// handleSeal takes a holder's proposal, as a voter, and confirms it once it is on disk.
func (u *usage) handleSeal(env *statemachine.Env, from string, seal message.UsageSeal) {
	if seal.Sealed.Epoch < u.leases.Epoch(settings.UsageLease) || !u.mayAnswer(seal.Voter, seal.Identity) {
		return
	}
	u.sealed.learnReported(seal.LastReportedWindow)
	u.sealed.learn(seal.Sealed)
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

func (u *usage) handleSealResponse(env *statemachine.Env, response message.UsageSealResponse) {
	if u.sealer.proposal == nil || response.Window != u.sealer.proposal.Window || response.Epoch != u.sealer.epoch {
		return
	}
	u.recordSynced(env, response.Voter, response.Identity)
}
