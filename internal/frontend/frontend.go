package frontend

import (
	"sync"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
)

// Frontend takes the decisions of the caller's side of one proxy.
type Frontend struct {
	settings         settings.Settings
	protocol         Protocol
	lookupDelegation func(token string) (backend.Delegation, bool)
	retryMonitor     RetryMonitor
	callerLimits     callerLimits

	lock         sync.Mutex // of what follows
	snapshot     *proxy.Snapshot
	upstreams    map[string]*upstreamStats  // by upstreamKey
	routeLatency map[string]float64         // by route: logarithm of the usual time of a request
	retryBudgets map[string]*retryBudget    // by service
	retries      int64                      // that were made, of all services
	usage        map[int64]map[string]int64 // by window and tenant: requests that count
	openRequests map[string]int64           // by tenant: admitted, not answered yet
	resultCounts map[errcode.Code]int64     // answers by their codes
}

// New makes a frontend. lookupDelegation asks the backend of the same proxy for the running request
// that a token stands for.
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

// UseProtocol sets how callers speak. It is called before the first request.
func (f *Frontend) UseProtocol(protocol Protocol) { f.protocol = protocol }

// UpdateSnapshot takes a new snapshot of the control state.
func (f *Frontend) UpdateSnapshot(now time.Duration, snapshot *proxy.Snapshot) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.snapshot = snapshot
	f.callerLimits.update(now, snapshot.Configurations)
	present := map[string]bool{}
	for _, registrations := range snapshot.Upstreams {
		for _, registration := range registrations {
			key := upstreamKey(registration)
			present[key] = true
			stats := f.statsOf(key)
			if registration.State == message.StateReady && !stats.readySeen {
				stats.readySeen, stats.readySince = true, now
			}
		}
	}
	for key, stats := range f.upstreams {
		if !present[key] && stats.inFlight == 0 {
			delete(f.upstreams, key)
		}
	}
}

// currentSnapshot is the latest snapshot of the control state, or nil before the first.
func (f *Frontend) currentSnapshot() *proxy.Snapshot {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.snapshot
}

// Ready reports whether this proxy can serve requests, as the platform asks.
func (f *Frontend) Ready(now time.Duration) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.snapshot.Ready(now, f.settings.MaxAgeReady())
}

// synced reports whether configurations and roster have come since this proxy started.
func (f *Frontend) synced() bool {
	snapshot := f.currentSnapshot()
	return snapshot != nil && snapshot.ConfigurationsKnown && snapshot.RosterKnown
}
