package node

import (
	"maps"

	"beaconvane/internal/locking"
)

// Names of counters in the metrics page and in the response of the counters endpoint.
const (
	counterQueueFull        = "control_queue_full"
	counterSendsDropped     = "sends_dropped"
	counterDatagramsDropped = "datagrams_dropped"
	counterDiskSyncs        = "disk_syncs"
	counterDiskBytes        = "disk_bytes"
	counterRecoveriesFailed = "disk_recoveries_failed"
	counterReportsFailed    = "reports_failed"
	counterReportsTooLate   = "reports_too_late"
	counterReportsRefused   = "reports_refused"
	eventCounterPrefix      = "event_"
)

// counters holds the counts of a process by name. It is safe for concurrent use.
type counters struct {
	lock   locking.Mutex
	counts map[string]int64
}

func newCounters() *counters { return &counters{counts: map[string]int64{}} }

func (c *counters) increment(name string) { c.add(name, 1) }

func (c *counters) add(name string, amount int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.counts[name] += int64(amount)
}

// snapshot returns a copy of all counts.
func (c *counters) snapshot() map[string]int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return maps.Clone(c.counts)
}
