package registry

import (
	"maps"
	"strconv"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/lease"
	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// usageManager collects, seals and reports the usage counts. Proxies count answered requests by
// window and tenant, cumulatively, and repeat the counts with their heartbeats until the window is
// sealed. Every registry collects them (usageCounts). Some time after the end of a window the
// holder of the usage lease sums its counts (windowClock), has the sum synced by a majority under
// its epoch (windowSealer), and only then reports it (sendReport). A new holder first reads a
// majority, and seals a value that it finds there again unchanged. A window therefore never has
// more than one reported value, whichever registry reports it.
type usageManager struct {
	settings settings.Settings
	core     *quorum.ControlBase
	quorum   *quorum.Quorum
	leases   *lease.Manager

	sealed *sealedWindows
	counts *usageCounts
	clock  *windowClock
	sealer windowSealer

	nextReportAt time.Duration
}

// newUsageManager restores the usage state from a snapshot. The fields quorum and leases are set
// after the log has been replayed, since they are created from its records as well.
func newUsageManager(m *Machine, saved message.RegistryState) *usageManager {
	sealed := newSealedWindows(saved.Sealed, saved.LastReportedWindow)
	u := &usageManager{
		settings: m.settings,
		core:     m.ControlBase,
		sealed:   sealed,
		counts:   newUsageCounts(sealed),
		clock:    newWindowClock(m.settings, m.membership, m.proxies),
	}
	u.counts.restore(saved.Usage)
	return u
}

// onLeaseAcquired starts the first read of a majority under the new epoch.
func (u *usageManager) onLeaseAcquired(epoch int64) {
	u.sealer = windowSealer{epoch: epoch}
	u.beginRead(0)
}

// onLeaseLost cancels the read or proposal in progress.
func (u *usageManager) onLeaseLost() { u.sealer.stop() }

// discardVoterState drops the sealed values, which belong to the voter. The counts come from the
// proxies and are kept.
func (u *usageManager) discardVoterState() {
	u.sealed.reset()
	u.sealer.epoch, u.sealer.readWindow = 0, 0
	u.sealer.stop()
}

// tick performs the periodic work: every registry drops sealed counts and saves changed ones, and
// the holder of the usage lease also seals and reports windows.
func (u *usageManager) tick(env *statemachine.Env) {
	u.counts.dropSealed()
	u.clock.recordEnds(env, u.sealed.reported)
	u.saveCounts(env)
	if !u.leases.IsHolder(settings.UsageLease, env.Now) {
		return
	}
	u.advanceSealing(env)
	u.sendReport(env)
}

// handleUpdate records the cumulative counts of a proxy.
func (u *usageManager) handleUpdate(env *statemachine.Env, update message.UsageUpdate) {
	u.clock.recordClosed(update)
	u.counts.add(update)
	u.saveCounts(env)
}

// handle processes the messages with which the voters seal windows. It returns false for any other
// message.
func (u *usageManager) handle(env *statemachine.Env, from string, msg any) bool {
	switch received := msg.(type) {
	case message.UsageRead:
		u.handleRead(env, from, received)
	case message.UsageReadResponse:
		u.handleReadResponse(received)
	case message.UsageSeal:
		u.handleSeal(env, from, received)
	case message.UsageSealResponse:
		u.handleSealResponse(env, received)
	default:
		return false
	}
	return true
}

// answer returns the sealed value of a window to an operator, if the window is reported or final.
func (u *usageManager) answer(window int64) OperatorResponse {
	value, known := u.sealed.values[window]
	if !known || window > u.sealed.reported && !u.sealed.final[window] {
		return answerCode(errcode.UsageNotFound, strconv.FormatInt(window, 10))
	}
	return answerJSON(errcode.OK, usageAnswer{Window: window, Counts: maps.Clone(value.Counts)})
}
