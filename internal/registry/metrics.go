package registry

import (
	"beaconvane/internal/metrics"
	"beaconvane/internal/statemachine"
)

// metrics are the control machine's figures for the metrics page.
func (m *Machine) metrics(s *statemachine.Env) []metrics.Sample {
	samples := append(m.Core.Metrics(), m.leases.Metrics(s.Now)...)
	samples = append(samples, m.distribution.Metrics(s.Now)...)
	samples = append(samples, m.membership.Metrics()...)
	for _, tag := range m.settings.Zones {
		samples = append(samples, metrics.About("registrations", "zone", tag, float64(m.slices[tag].Mark.Count)))
	}
	return append(samples, metrics.Of("proxies_heard", float64(len(m.proxies))),
		metrics.Of("operator_calls_waiting", float64(len(m.outside.waiting))), metrics.Of("usage_window_reported", float64(m.usage.reported)))
}
