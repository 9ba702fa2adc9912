package distribution

import (
	"time"

	"beaconvane/internal/metrics"
)

// Metrics returns the figures of this node's place in the tree: how old each topic is, who the parent
// is, and how often it was changed.
func (d *Distribution) Metrics(now time.Duration) []metrics.Sample {
	samples := []metrics.Sample{
		metrics.Of("parent_changes_total", float64(d.parent.changes)),
		metrics.Of("parent_depth", float64(len(d.parent.path))),
		metrics.Of("children", float64(len(d.subscribers))),
	}
	for topic, state := range d.topics {
		if !d.subscribed[topic] && state.slice == nil {
			continue
		}
		samples = append(samples, metrics.About("topic_sequence", "topic", topic, float64(state.position().Seq)))
		if age, known := d.Age(topic, now); known {
			samples = append(samples, metrics.About("topic_age_seconds", "topic", topic, metrics.Seconds(age)))
		}
	}
	if d.parent.exists() {
		silence := metrics.Seconds(now - d.parent.answeredAt)
		samples = append(samples, metrics.About("parent_silence_seconds", "parent", d.parent.name, silence))
	}
	return samples
}
