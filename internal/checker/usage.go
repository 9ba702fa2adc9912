package checker

import (
	"maps"
	"math"
	"time"
)

// windowEdge is how far from the border of two windows an answer may count in either.
const windowEdge = 80 * time.Millisecond

// checkUsage checks the reports of usage windows: in time, the same whenever a window comes again, none
// missing, and near to what callers saw.
func (r *Review) checkUsage(record Record) {
	reports := r.firstReports(record)
	for _, reread := range record.StoredUsage {
		r.count(windowReadBack)
		if first, known := reports[reread.Window]; known && !maps.Equal(first.Counts, reread.Counts) {
			r.violate(usageChanged, "window %d was reported as %v, %s gives back %v",
				reread.Window, first.Counts, reread.From, reread.Counts)
		}
	}
	if record.Window == 0 {
		return
	}
	least, most := countAnswers(record)
	r.checkMissingWindows(record, reports, least)
	for window, report := range reports {
		r.checkWindowCounts(record.Bounds, window, report.Counts, least[window], most[window])
	}
}

// firstReports returns the first report of each window, and checks it and its repetitions.
func (r *Review) firstReports(record Record) map[int64]Reported {
	reports := map[int64]Reported{}
	for _, report := range record.Reported {
		r.count(usageReport)
		first, known := reports[report.Window]
		if known {
			if !maps.Equal(first.Counts, report.Counts) {
				r.violate(usageChanged, "window %d was %v, then %v", report.Window, first.Counts, report.Counts)
			}
			continue
		}
		reports[report.Window] = report
		late := report.At - report.End
		r.measure(usageLateMS, float64(late.Milliseconds()))
		if late > record.Bounds.UsageReportDelay {
			r.violate(usageLate, "window %d came %s after its end", report.Window, late)
		}
	}
	return reports
}

// tenantCounts are answers by window and tenant.
type tenantCounts map[int64]map[string]int64

func (t tenantCounts) add(window int64, tenant string) {
	if t[window] == nil {
		t[window] = map[string]int64{}
	}
	t[window][tenant]++
}

// countAnswers returns the least and the most that a true report may contain: an answer near the
// border of two windows may count in either, since clocks differ and answers take time.
func countAnswers(record Record) (least, most tenantCounts) {
	least, most = tenantCounts{}, tenantCounts{}
	for _, request := range record.Requests {
		if request.Code != 0 || request.Connection {
			continue
		}
		early := int64((record.Epoch + request.Done - windowEdge) / record.Window)
		late := int64((record.Epoch + request.Done + windowEdge) / record.Window)
		most.add(early, request.Tenant)
		if Within(record.UsageLosses, request.Proxy, request.Done, request.Done) {
			continue
		}
		if early == late {
			least.add(early, request.Tenant)
		} else {
			most.add(late, request.Tenant)
		}
	}
	return least, most
}

// checkMissingWindows checks that no window with answers, and none among those reported, is missing.
func (r *Review) checkMissingWindows(record Record, reports map[int64]Reported, least tenantCounts) {
	first, last := int64(math.MaxInt64), int64(0)
	for window := range reports {
		first, last = min(first, window), max(last, window)
	}
	for window := range least {
		due := time.Duration(window+1)*record.Window - record.Epoch + record.Bounds.UsageReportDelay
		if _, reported := reports[window]; !reported && due <= record.End {
			r.violate(usageMissing, "window %d had answers and was never reported", window)
		}
	}
	for window := first; window < last; window++ {
		if _, reported := reports[window]; !reported {
			r.violate(usageMissing, "window %d is a gap among those reported", window)
		}
	}
}

// busyTenant is how many answers a tenant needs in a window before its own deviation is looked at;
// below it one request would be too much.
const busyTenant = 100

// checkWindowCounts sums the deviations tenant by tenant, so that counts under a wrong tenant show
// twice, and looks at each busy tenant by itself.
func (r *Review) checkWindowCounts(bounds Bounds, window int64, counts, least, most map[string]int64) {
	tenants := map[string]bool{}
	for _, list := range []map[string]int64{counts, least, most} {
		for tenant := range list {
			tenants[tenant] = true
		}
	}
	off, all, worst := int64(0), int64(0), 0.0
	for tenant := range tenants {
		deviation := max(0, least[tenant]-counts[tenant], counts[tenant]-most[tenant])
		off += deviation
		all += most[tenant]
		if most[tenant] >= busyTenant {
			worst = max(worst, float64(deviation)/float64(most[tenant]))
		}
	}
	if all == 0 && off == 0 {
		return
	}
	share := max(worst, float64(off)/float64(max(1, all)))
	r.measure(usageDeviation, share)
	if share > bounds.UsageError {
		r.violate(usageOff, "window %d reported %v, callers saw %v to %v", window, counts, least, most)
	}
}
