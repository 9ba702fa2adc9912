package membership

import (
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
)

// stateNames are the states of members, as the metrics call them.
var stateNames = [4]string{message.Alive: "alive", message.Suspect: "suspect", message.Dead: "dead", message.Left: "left"}

// Metrics counts the other members by their state.
func (m *Membership) Metrics() []metrics.Sample {
	counts := map[string]int64{}
	for _, known := range m.members {
		counts[stateNames[known.member.State&3]]++
	}
	return append(metrics.Counts("members", "state", counts), metrics.Flag("superseded", m.superseded))
}
