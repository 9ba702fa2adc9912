package registry

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// UsageReport is the body of the report effect: what the collector gets, and until when it may be
// sent, by the process clock. It never outlasts the lease, since the next holder may act then.
type UsageReport struct {
	Window    int64
	Counts    map[string]int64 // by tenant
	Epoch     int64
	ExpiresAt time.Duration
}

// UsageDelivered is the notice by which the process says that the collector has a window.
type UsageDelivered struct{ Window int64 }

// report sends the oldest final window, again and again until the collector has it.
func (u *usage) report(env *statemachine.Env) {
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

// handleDelivered moves on to the next window.
func (u *usage) handleDelivered(env *statemachine.Env, window int64) {
	if window != u.sealed.reported+1 {
		return
	}
	u.sealed.reported = window
	u.nextReportAt = 0
	delete(u.sealed.final, window)
	u.core.Persist(env, message.UsageReported{Window: window}, func(*statemachine.Env, error) {})
}
