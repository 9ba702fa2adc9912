package lease

import (
	"time"

	"beaconvane/internal/metrics"
)

// Metrics returns the epoch of each tag, and whether this voter holds it.
func (m *Manager) Metrics(now time.Duration) []metrics.Sample {
	samples := []metrics.Sample{}
	for _, tag := range m.tagNames {
		held := 0.0
		if m.IsHolder(tag, now) {
			held = 1
		}
		samples = append(samples, metrics.About("lease_held", "tag", tag, held),
			metrics.About("lease_epoch", "tag", tag, float64(m.Epoch(tag))))
	}
	return samples
}
