package distribution

import (
	"time"

	"beaconvane/internal/metrics"
)

// Metrics returns the metrics of this node: the sequence number and the age of each subscribed topic
// and of each slice, the number of parent changes, the depth in the tree, the number of children, and
// the time since the parent's last answer.
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
