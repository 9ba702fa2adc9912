package registry

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
)

// proxyReport is the newest batch of heartbeats of a proxy: what it has in force, where it stands
// in the distribution tree, and which usage window is under way by its clock.
type proxyReport struct {
	batch message.HeartbeatBatch
	at    time.Duration // when it came
}

// proxyReports holds the newest report of each proxy, by the proxy's name.
type proxyReports map[string]proxyReport

// record takes a report, unless it is from before the last start of the proxy.
func (p proxyReports) record(batch message.HeartbeatBatch, now time.Duration) bool {
	if last, known := p[batch.Proxy]; known && batch.StartTime < last.batch.StartTime {
		return false
	}
	p[batch.Proxy] = proxyReport{batch, now}
	return true
}

func (p proxyReports) forget(before time.Duration) {
	maps.DeleteFunc(p, func(_ string, report proxyReport) bool { return report.at < before })
}

// names lists the proxies in the order of the alphabet.
func (p proxyReports) names() []string { return slices.Sorted(maps.Keys(p)) }

// usageWindows lists the usage windows that are under way by the clocks of the proxies which
// reported since a moment.
func (p proxyReports) usageWindows(since time.Duration) []int64 {
	windows := []int64{}
	for _, name := range p.names() {
		if report := p[name]; report.at >= since {
			windows = append(windows, report.batch.CurrentWindow)
		}
	}
	return windows
}

// inForce is the version of a topic that a proxy has in force; 0 where it told none.
func (p proxyReports) inForce(proxy, topic string) int64 {
	version := int64(0)
	for _, mark := range p[proxy].batch.Positions {
		if mark.Topic == topic {
			version = mark.Seq
		}
	}
	return version
}
