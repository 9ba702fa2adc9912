package registry

import (
	"beaconvane/internal/metrics"
	"beaconvane/internal/statemachine"
)

// samples returns the machine's samples for the metrics page.
func (m *Machine) samples(env *statemachine.Env) []metrics.Sample {
	samples := append(m.Metrics(), m.leases.Metrics(env.Now)...)
	samples = append(samples, m.distribution.Metrics(env.Now)...)
	samples = append(samples, m.membership.Metrics()...)
	for _, zone := range m.settings.Zones {
		count := m.zones[zone].slice.Position.Count
		samples = append(samples, metrics.About("registrations", "zone", zone, float64(count)))
	}
	return append(samples,
		metrics.Of("proxies_heard", float64(len(m.proxies))),
		metrics.Of("operator_calls_waiting", float64(len(m.requests.pending))),
		metrics.Of("usage_window_reported", float64(m.usage.sealed.reported)))
}
