package registry

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
)

// proxyReport is the latest heartbeat batch of a proxy. It carries the versions that the proxy has
// in force, its path in the distribution tree, and the current usage window by its clock.
type proxyReport struct {
	batch      message.HeartbeatBatch
	receivedAt time.Duration
}

// proxyReports holds the latest report of each proxy, by proxy name.
type proxyReports map[string]proxyReport

// record stores a report and returns whether it was accepted. It rejects a report from an earlier
// run of the proxy.
func (p proxyReports) record(batch message.HeartbeatBatch, now time.Duration) bool {
	if last, known := p[batch.Proxy]; known && batch.StartTime < last.batch.StartTime {
		return false
	}
	p[batch.Proxy] = proxyReport{batch, now}
	return true
}

// dropBefore removes the reports that were received before an instant.
func (p proxyReports) dropBefore(before time.Duration) {
	maps.DeleteFunc(p, func(_ string, report proxyReport) bool { return report.receivedAt < before })
}

// names lists the proxies in alphabetical order.
func (p proxyReports) names() []string { return slices.Sorted(maps.Keys(p)) }

// usageWindows lists the current usage windows by the clocks of the proxies that have reported
// since an instant.
func (p proxyReports) usageWindows(since time.Duration) []int64 {
	windows := []int64{}
	for _, name := range p.names() {
		if report := p[name]; report.receivedAt >= since {
			windows = append(windows, report.batch.CurrentWindow)
		}
	}
	return windows
}

// inForce returns the version of a topic that a proxy has in force, or 0 if it has reported none.
func (p proxyReports) inForce(proxy, topic string) int64 {
	version := int64(0)
	for _, position := range p[proxy].batch.Positions {
		if position.Topic == topic {
			version = position.Seq
		}
	}
	return version
}
