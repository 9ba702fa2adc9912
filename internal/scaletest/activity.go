package scaletest

import (
	"context"
	"fmt"
	"maps"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
)

// announceUpstream announces one upstream to a proxy at each heartbeat interval until the context
// ends. The upstream has the address of the proxy, so that each upstream has a distinct address and
// probes are answered.
func announceUpstream(ctx context.Context, spec NodeSpec, process *node.Node) {
	registration := message.Registration{
		Service:     spec.Service,
		Instance:    spec.Settings.Node,
		Incarnation: time.Now().UnixNano(),
		Address:     spec.Settings.Address,
		Zone:        spec.Settings.Zone,
		Slots:       16,
		State:       message.StateReady,
	}
	ticker := time.NewTicker(spec.Settings.HeartbeatEvery())
	defer ticker.Stop()
	for {
		process.Notify(proxy.Announced{Registration: registration})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// maxOpenWindows is the number of usage windows before the current one that a proxy still reports.
const maxOpenWindows = 4

// usageCounts holds numbers of requests by usage window and tenant.
type usageCounts map[int64]map[string]int64

// countUsage reports usage as a proxy under load does. It counts one request per round, of the tenants
// in turn, and discards windows that are sealed.
func countUsage(ctx context.Context, spec NodeSpec, process *node.Node) {
	ticker := time.NewTicker(spec.Settings.CountEvery())
	defer ticker.Stop()
	counts := usageCounts{}
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		requestContext, cancel := context.WithTimeout(ctx, spec.Settings.HeartbeatEvery())
		sealedBelow, err := queryControl[int64](requestContext, process, proxy.ReadSealed{})
		cancel()
		if err != nil {
			continue
		}
		current := time.Now().UnixNano() / int64(spec.Settings.UsageWindow())
		counts.add(current, fmt.Sprintf("tenant-%d", round%spec.Tenants))
		counts.discardBelow(max(sealedBelow, current-maxOpenWindows))
		process.Notify(proxy.UsageCounted{Closed: current, Usage: counts.messages(current)})
	}
}

// add counts one request of a tenant in a window.
func (u usageCounts) add(window int64, tenant string) {
	if u[window] == nil {
		u[window] = map[string]int64{}
	}
	u[window][tenant]++
}

// discardBelow removes the windows below the lowest one to retain.
func (u usageCounts) discardBelow(lowest int64) {
	for window := range u {
		if window < lowest {
			delete(u, window)
		}
	}
}

// messages returns the counts of the current window and the maxOpenWindows before it, in ascending
// order.
func (u usageCounts) messages(current int64) []message.UsageCount {
	var list []message.UsageCount
	for window := current - maxOpenWindows; window <= current; window++ {
		if counts, known := u[window]; known {
			list = append(list, message.UsageCount{
				Window:   window,
				Counts:   maps.Clone(counts),
				InFlight: map[string]int64{"tenant-0": 1},
			})
		}
	}
	return list
}
