package lease

import (
	"time"

	"beaconvane/internal/metrics"
)

// Metrics are the epoch of each tag, and whether this voter holds it.
func (t *Manager) Metrics(now time.Duration) []metrics.Sample {
	samples := []metrics.Sample{}
	for _, tag := range t.order {
		held := 0.0
		if t.Holding(tag, now) {
			held = 1
		}
		samples = append(samples, metrics.About("lease_held", "tag", tag, held),
			metrics.About("lease_epoch", "tag", tag, float64(t.Epoch(tag))))
	}
	return samples
}
