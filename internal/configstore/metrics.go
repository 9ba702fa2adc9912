package configstore

import (
	"beaconvane/internal/metrics"
	"beaconvane/internal/statemachine"
)

// metrics are the control machine's figures for the metrics page.
func (m *Machine) metrics(s *statemachine.Env) []metrics.Sample {
	samples := append(m.Core.Metrics(), m.leases.Metrics(s.Now)...)
	samples = append(samples, m.membership.Metrics()...)
	for _, configName := range m.configNames() {
		samples = append(samples, metrics.About("configuration_newest", "configuration", configName, float64(m.NewestVersion(configName))))
	}
	return append(samples, metrics.Flag("log_serving", m.mode == serving), metrics.Of("log_epoch", float64(m.epoch)), metrics.Of("log_sequence", float64(m.seq)),
		metrics.Of("writes_waiting", float64(len(m.writes))), metrics.Of("answers_waiting", float64(len(m.answers))))
}
