package distribution

import (
	"time"

	"beaconvane/internal/metrics"
)

// Metrics are the figures of this node's place in the tree: how old each topic is, who the
// parent is, and how often it was changed.
func (c *Distribution) Metrics(now time.Duration) []metrics.Sample {
	samples := []metrics.Sample{
		metrics.Of("parent_changes_total", float64(c.moves)),
		metrics.Of("parent_depth", float64(len(c.path))),
		metrics.Of("children", float64(len(c.children))),
	}
	for topic, held := range c.topicStates {
		if !c.own[topic] && held.slice == nil {
			continue
		}
		samples = append(samples, metrics.About("topic_sequence", "topic", topic, float64(held.at().Seq)))
		if age, known := c.Age(topic, now); known {
			samples = append(samples, metrics.About("topic_age_seconds", "topic", topic, metrics.Seconds(age)))
		}
	}
	if c.parent != "" {
		samples = append(samples, metrics.About("parent_silence_seconds", "parent", c.parent, metrics.Seconds(now-c.answered)))
	}
	return samples
}
