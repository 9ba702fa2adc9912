package lease

import (
	"time"

	"beaconvane/internal/metrics"
)

// Metrics returns the metrics lease_held (1 if this voter holds the tag at the time now, else 0) and
// lease_epoch for each tag.
func (m *Manager) Metrics(now time.Duration) []metrics.Sample {
	samples := []metrics.Sample{}
	for _, tag := range m.tagNames {
		holding := 0.0
		if m.IsHolder(tag, now) {
			holding = 1
		}
		samples = append(samples, metrics.About("lease_held", "tag", tag, holding),
			metrics.About("lease_epoch", "tag", tag, float64(m.Epoch(tag))))
	}
	return samples
}
