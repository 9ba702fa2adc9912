package quorum

import (
	"beaconvane/internal/metrics"
)

// Metrics are the figures of this process's vote and its disk.
func (c *Core) Metrics() []metrics.Sample {
	return []metrics.Sample{
		metrics.Flag("voting", c.quorum.Voting()),
		metrics.Flag("voter_claimed", c.quorum.State.Voter != "" && !c.quorum.State.Formed),
		metrics.Of("member_list_writes_pending", float64(c.quorum.rolling)),
		metrics.Flag("disk_failed", c.Failure() != nil),
		metrics.Of("disk_write_seconds", metrics.Seconds(c.WriteLatency())),
	}
}
