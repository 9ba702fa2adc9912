package checker

import (
	"fmt"
	"time"
)

// windowEdge is how far from a window's end an answer may count on either side.
const windowEdge = 80 * time.Millisecond

// usage checks the reports of usage windows: in time, the same whenever a window comes again, none
// missing, and near to what callers saw.
func (r *Review) usage(record Record) {
	reports := r.usageReports(record)
	for _, reread := range record.Reread {
		r.Seen["windows read back"]++
		if first, known := reports[reread.Window]; known && fmt.Sprint(first.Counts) != fmt.Sprint(reread.Counts) {
			r.add("usage-twice", "window %d was reported as %v, %s gives back %v", reread.Window, first.Counts, reread.From, reread.Counts)
		}
	}
	if record.Window == 0 {
		return
	}
	least, most := countAnswers(record)
	r.usageMissing(record, reports, least)
	for window, report := range reports {
		r.usageOff(record, window, report.Counts, least[window], most[window])
	}
}

// usageReports returns the first report of each window, and checks it and its repetitions.
func (r *Review) usageReports(record Record) map[int64]Reported {
	reports := map[int64]Reported{}
	for _, report := range record.Reported {
		r.Seen["usage reports"]++
		first, known := reports[report.Window]
		if known {
			if fmt.Sprint(first.Counts) != fmt.Sprint(report.Counts) {
				r.add("usage-twice", "window %d was %v, then %v", report.Window, first.Counts, report.Counts)
			}
			continue
		}
		reports[report.Window] = report
		late := report.At - report.End
		r.worst("usage-late-ms", float64(late.Milliseconds()))
		if late > record.Bounds.UsageLate {
			r.add("usage-late", "window %d came %s after its end", report.Window, late)
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

// countAnswers returns the least and the most that a true report may hold: an answer near a
// window's edge may count on either side, by clock and way.
func countAnswers(record Record) (least, most tenantCounts) {
	least, most = tenantCounts{}, tenantCounts{}
	for _, request := range record.Asked {
		if request.Code != 0 || request.Connection {
			continue
		}
		early := int64((record.Epoch + request.Done - windowEdge) / record.Window)
		late := int64((record.Epoch + request.Done + windowEdge) / record.Window)
		most.add(early, request.Tenant)
		if Within(record.Untold, request.Proxy, request.Done, request.Done) {
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

// usageMissing checks that no window with answers, and none among those reported, is missing.
func (r *Review) usageMissing(record Record, reports map[int64]Reported, least tenantCounts) {
	first, last := int64(1<<62), int64(0)
	for window := range reports {
		first, last = min(first, window), max(last, window)
	}
	for window := range least {
		due := time.Duration(window+1)*record.Window - record.Epoch + record.Bounds.UsageLate
		if _, reported := reports[window]; !reported && due <= record.End {
			r.add("usage-missing", "window %d had answers and was never reported", window)
		}
	}
	for window := first; window < last; window++ {
		if _, reported := reports[window]; !reported {
			r.add("usage-missing", "window %d is a gap among those reported", window)
		}
	}
}

// tenantLeast is how many answers a tenant has in a window before its own share of
// error is looked at; below it one request would be too much.
const tenantLeast = 100

// usageOff sums what is off tenant by tenant, so that counts under a wrong tenant
// show twice, and looks at each busy tenant by itself.
func (r *Review) usageOff(record Record, window int64, counts, least, most map[string]int64) {
	tenants := map[string]bool{}
	for _, list := range []map[string]int64{counts, least, most} {
		for tenant := range list {
			tenants[tenant] = true
		}
	}
	off, all, worst := int64(0), int64(0), 0.0
	for tenant := range tenants {
		mine := max(0, least[tenant]-counts[tenant], counts[tenant]-most[tenant])
		off, all = off+mine, all+most[tenant]
		if most[tenant] >= tenantLeast {
			worst = max(worst, float64(mine)/float64(most[tenant]))
		}
	}
	if all == 0 && off == 0 {
		return
	}
	share := max(worst, float64(off)/float64(max(1, all)))
	r.worst("usage-off", share)
	if share > record.Bounds.UsageOff {
		r.add("usage-off", "window %d reported %v, callers saw %v to %v", window, counts, least, most)
	}
}
