package registry

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// UsageReport is the report of a final window to the collector. ExpiresAt, on the clock of the process,
// is the deadline for sending it. It is never later than the end of the lease, since the next
// holder may report after that.
type UsageReport struct {
	Window    int64
	Counts    map[string]int64 // by tenant
	Epoch     int64            // of the usage lease
	ExpiresAt time.Duration
}

// UsageDelivered notifies the machine that the collector has received a window.
type UsageDelivered struct{ Window int64 }

// sendReport reports the oldest final window, and repeats the report every ReportEvery until it is
// delivered. Without a collector in the settings, a window counts as delivered at once.
func (u *usageManager) sendReport(env *statemachine.Env) {
	window := u.sealed.reported + 1
	if !u.sealed.final[window] {
		return
	}
	if u.settings.Collector == "" {
		u.handleDelivered(env, window)
		return
	}
	if env.Now < u.nextReportAt {
		return
	}
	u.nextReportAt = env.Now + u.settings.ReportEvery()
	env.Report(UsageReport{
		Window:    window,
		Counts:    u.sealed.values[window].Counts,
		Epoch:     u.sealer.epoch,
		ExpiresAt: min(env.Now+u.settings.Lease()/2, u.leases.LeaseExpiry(settings.UsageLease)),
	})
}

// handleDelivered records the delivery of a window, so that the next one is reported.
func (u *usageManager) handleDelivered(env *statemachine.Env, window int64) {
	if window != u.sealed.reported+1 {
		return
	}
	u.sealed.reported = window
	u.nextReportAt = 0
	delete(u.sealed.final, window)
	u.core.Persist(env, message.UsageReported{Window: window}, func(*statemachine.Env, error) {})
}
