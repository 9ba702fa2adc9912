package quorum

import (
	"beaconvane/internal/metrics"
)

// Metrics returns the metrics of this process's voter and disk.
func (c *ControlBase) Metrics() []metrics.Sample {
	state := c.quorum.State
	return []metrics.Sample{
		metrics.Flag("voting", c.quorum.Voting()),
		metrics.Flag("voter_claimed", state.Voter != "" && !state.Formed),
		metrics.Of("member_list_writes_pending", float64(c.quorum.voters.pendingListWrites())),
		metrics.Flag("disk_failed", c.Failure() != nil),
		metrics.Of("disk_write_seconds", metrics.Seconds(c.WriteLatency())),
	}
}
