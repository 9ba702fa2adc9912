package proxy

import (
	"beaconvane/internal/metrics"
	"beaconvane/internal/statemachine"
)

// metrics returns the metric samples of the control machine.
func (m *Machine) metrics(env *statemachine.Env) []metrics.Sample {
	samples := append(m.distribution.Metrics(env.Now), m.membership.Metrics()...)
	for configName, state := range m.configurations {
		if state.inForce == 0 {
			continue
		}
		samples = append(samples, metrics.About("configuration_in_force", "configuration", configName, float64(state.inForce)))
	}
	return samples
}
