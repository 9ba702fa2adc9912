package frontend

import (
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/locking"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
)

// Frontend admits requests, selects upstreams and decides on retries for the callers of one proxy.
// It is safe for concurrent use.
type Frontend struct {
	settings         settings.Settings
	protocol         Protocol
	lookupDelegation func(token string) (backend.Delegation, bool)
	retryMonitor     RetryMonitor
	callerLimits     callerLimits
	snapshot         atomic.Pointer[proxy.Snapshot] // replaced as a whole, so that reading it needs no lock

	lock         locking.Mutex              // guards the fields below
	upstreams    map[string]*upstreamStats  // by upstreamKey
	routeLatency map[string]float64         // by route: natural logarithm of the typical service time in nanoseconds
	retryBudgets map[string]*retryBudget    // by service
	retries      int64                      // sent so far, of all services
	usage        map[int64]map[string]int64 // by window and tenant: counted requests
	openRequests map[string]int64           // by tenant: admitted and not answered yet
	resultCounts map[errcode.Code]int64     // final answers by result code
}

// New creates a frontend. lookupDelegation returns the running request that a delegation token
// identifies, from the backend of the same proxy.
func New(cfg settings.Settings, lookupDelegation func(token string) (backend.Delegation, bool)) *Frontend {
	return &Frontend{
		settings:         cfg,
		protocol:         NativeProtocol{},
		lookupDelegation: lookupDelegation,
		upstreams:        map[string]*upstreamStats{},
		routeLatency:     map[string]float64{},
		retryBudgets:     map[string]*retryBudget{},
		usage:            map[int64]map[string]int64{},
		openRequests:     map[string]int64{},
		resultCounts:     map[errcode.Code]int64{},
	}
}

// UseProtocol replaces NativeProtocol as the callers' protocol. It must be called before the first
// request.
func (f *Frontend) UseProtocol(protocol Protocol) { f.protocol = protocol }

// UpdateSnapshot replaces the snapshot of the control state, and drops the statistics of upstreams
// that are neither registered nor processing an attempt from this proxy.
func (f *Frontend) UpdateSnapshot(now time.Duration, snapshot *proxy.Snapshot) {
	f.callerLimits.update(now, snapshot.Configurations)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.snapshot.Store(snapshot)
	registered := map[string]bool{}
	for _, registrations := range snapshot.Upstreams {
		for _, registration := range registrations {
			key := upstreamKey(registration)
			registered[key] = true
			stats := f.statsOf(key)
			if registration.State == message.StateReady && !stats.readySeen {
				stats.readySeen, stats.readySince = true, now
			}
		}
	}
	for key, stats := range f.upstreams {
		if !registered[key] && stats.inFlight == 0 {
			delete(f.upstreams, key)
		}
	}
}

// currentSnapshot returns the latest snapshot of the control state, or nil before the first one.
// It takes no lock, since the backend calls AuthorizeForward while it holds its own.
func (f *Frontend) currentSnapshot() *proxy.Snapshot { return f.snapshot.Load() }

// Ready reports whether this proxy can serve requests. It answers the platform's readiness probe.
func (f *Frontend) Ready(now time.Duration) bool {
	return f.currentSnapshot().Ready(now, f.settings.MaxAgeReady())
}

// synced reports whether this proxy has received configurations and the roster since it started.
func (f *Frontend) synced() bool {
	snapshot := f.currentSnapshot()
	return snapshot != nil && snapshot.ConfigurationsKnown && snapshot.RosterKnown
}
