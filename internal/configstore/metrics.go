package configstore

import (
	"beaconvane/internal/metrics"
	"beaconvane/internal/statemachine"
)

// metrics returns the samples of the metrics page, including those of the lease and of the membership.
func (m *Machine) metrics(env *statemachine.Env) []metrics.Sample {
	samples := append(m.Metrics(), m.leases.Metrics(env.Now)...)
	samples = append(samples, m.membership.Metrics()...)
	for _, configName := range m.log.configNames() {
		newest := float64(m.NewestVersion(configName))
		samples = append(samples, metrics.About("configuration_newest", "configuration", configName, newest))
	}
	return append(samples,
		metrics.Flag("log_serving", m.leadership.phase == serving),
		metrics.Of("log_epoch", float64(m.log.epoch)),
		metrics.Of("log_sequence", float64(m.log.seq)),
		metrics.Of("writes_waiting", float64(len(m.writes))),
		metrics.Of("answers_waiting", float64(len(m.responses))))
}
