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

// usage is the registry's part in the usage reports. Proxies count answered requests by window and
// tenant, cumulatively, and repeat the counts with their heartbeats until the window is sealed.
// Every registry collects them (usageCounts). The holder of the usage lease sums a window a while
// after its end (windowClock), has the sum synced on a majority under its epoch (windowSealer), and
// only then reports it (report). A new holder reads a majority first: a value found there is sealed
// again unchanged, so that a window has one value for ever, whoever reports it.
type usage struct {
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

// newUsage restores the usage reports from a snapshot. The quorum and the leases are set later,
// since they begin from what the log on disk says as well.
func newUsage(m *Machine, saved message.RegistryState) *usage {
	sealed := newSealedWindows(saved.Sealed, saved.LastReportedWindow)
	u := &usage{
		settings: m.settings,
		core:     m.ControlBase,
		sealed:   sealed,
		counts:   newUsageCounts(sealed),
		clock:    newWindowClock(m.settings, m.membership, m.proxies),
	}
	u.counts.restore(saved.Usage)
	return u
}

func (u *usage) onLeaseAcquired(epoch int64) {
	u.sealer = windowSealer{epoch: epoch}
	u.beginRead(0)
}

func (u *usage) onLeaseLost() { u.sealer.stop() }

// forget drops the values that the voter vouched for. The counts are the proxies' word, and stay.
func (u *usage) forget() {
	u.sealed.forget()
	u.sealer.epoch, u.sealer.readFor = 0, 0
	u.sealer.stop()
}

func (u *usage) tick(env *statemachine.Env) {
	u.counts.dropSealed()
	u.clock.recordEnds(env, u.sealed.reported)
	u.saveCounts(env)
	if !u.leases.IsHolder(settings.UsageLease, env.Now) {
		return
	}
	u.advanceSealing(env)
	u.report(env)
}

// handleUpdate takes the cumulative counts of a proxy.
func (u *usage) handleUpdate(env *statemachine.Env, update message.UsageUpdate) {
	u.clock.recordClosed(update)
	u.counts.add(update)
	u.saveCounts(env)
}

// handle takes a message of the voters about sealing; false for any other.
func (u *usage) handle(env *statemachine.Env, from string, msg any) bool {
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

// answer is the sealed value of a window, for an operator.
func (u *usage) answer(window int64) OperatorResponse {
	value, known := u.sealed.values[window]
	if !known || window > u.sealed.reported && !u.sealed.final[window] {
		return answerCode(errcode.UsageNotFound, strconv.FormatInt(window, 10))
	}
	return answerJSON(errcode.OK, usageAnswer{Window: window, Counts: maps.Clone(value.Counts)})
}
