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

// announce stands for the one upstream beside a proxy. Its address is the proxy's own, so that each
// upstream has one of its own and probes are answered.
func announce(ctx context.Context, part Part, process *node.Node) {
	registration := message.Registration{
		Service:     part.Service,
		Instance:    part.Settings.Node,
		Incarnation: time.Now().UnixNano(),
		Address:     part.Settings.Address,
		Zone:        part.Settings.Zone,
		Slots:       16,
		State:       message.StateReady,
	}
	ticker := time.NewTicker(part.Settings.HeartbeatEvery())
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

// openWindows is how many usage windows before the current one a proxy still reports.
const openWindows = 4

// usageCounts are requests by usage window and tenant.
type usageCounts map[int64]map[string]int64

// countUsage reports usage as a proxy under load does: a request of one tenant in each round.
func countUsage(ctx context.Context, part Part, process *node.Node) {
	ticker := time.NewTicker(part.Settings.CountEvery())
	defer ticker.Stop()
	counts := usageCounts{}
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		asked, cancel := context.WithTimeout(ctx, part.Settings.HeartbeatEvery())
		sealedBelow, err := ask[int64](asked, process, proxy.ReadSealed{})
		cancel()
		if err != nil {
			continue
		}
		current := time.Now().UnixNano() / int64(part.Settings.UsageWindow())
		counts.add(current, fmt.Sprintf("tenant-%d", round%part.Tenants))
		counts.discardBelow(max(sealedBelow, current-openWindows))
		process.Notify(proxy.UsageCounted{Closed: current, Usage: counts.messages(current)})
	}
}

func (u usageCounts) add(window int64, tenant string) {
	if u[window] == nil {
		u[window] = map[string]int64{}
	}
	u[window][tenant]++
}

// discardBelow forgets the windows before one.
func (u usageCounts) discardBelow(lowest int64) {
	for window := range u {
		if window < lowest {
			delete(u, window)
		}
	}
}

// messages returns the counts of the windows up to the current one, the oldest first.
func (u usageCounts) messages(current int64) []message.UsageCount {
	var list []message.UsageCount
	for window := current - openWindows; window <= current; window++ {
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
