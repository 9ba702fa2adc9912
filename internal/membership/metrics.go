package membership

import (
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
)

// stateNames contains the metric label of each member state.
var stateNames = [4]string{message.Alive: "alive", message.Suspect: "suspect", message.Dead: "dead", message.Left: "left"}

// Metrics returns the number of other members by state, and whether this node is superseded.
func (m *Membership) Metrics() []metrics.Sample {
	counts := map[string]int64{}
	for _, known := range m.members {
		counts[stateNames[known.member.State&3]]++
	}
	return append(metrics.Counts("members", "state", counts), metrics.Flag("superseded", m.superseded))
}
