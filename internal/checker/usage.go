package checker

import (
	"maps"
	"math"
	"time"
)

// windowBoundaryTolerance is the distance from the boundary of two usage windows within which an answer
// may count in either, since clocks differ and answers take time.
const windowBoundaryTolerance = 80 * time.Millisecond

// checkUsage checks that usage windows are reported in time, that repeated reports and later reads have
// the same counts, that no window is missing, and that the counts match the answers of the callers
// within Bounds.UsageError.
func (r *Review) checkUsage(record Record) {
	reports := r.firstReports(record)
	for _, stored := range record.StoredUsage {
		r.count(windowReadBack)
		if first, known := reports[stored.Window]; known && !maps.Equal(first.Counts, stored.Counts) {
			r.addViolation(usageChanged, "window %d was reported as %v, %s returns %v",
				stored.Window, first.Counts, stored.From, stored.Counts)
		}
	}
	if record.Window == 0 {
		return
	}
	lowest, highest := countAnswers(record)
	r.checkMissingWindows(record, reports, lowest)
	for window, report := range reports {
		r.checkWindowCounts(record.Bounds, window, report.Counts, lowest[window], highest[window])
	}
}

// firstReports returns the first report of each window. It checks that the first report is in time and
// that repetitions have the same counts.
func (r *Review) firstReports(record Record) map[int64]Reported {
	reports := map[int64]Reported{}
	for _, report := range record.Reported {
		r.count(usageReport)
		first, known := reports[report.Window]
		if known {
			if !maps.Equal(first.Counts, report.Counts) {
				r.addViolation(usageChanged, "window %d was reported as %v, then as %v", report.Window, first.Counts, report.Counts)
			}
			continue
		}
		reports[report.Window] = report
		delay := report.At - report.End
		r.recordWorst(usageLateMS, float64(delay.Milliseconds()))
		if delay > record.Bounds.UsageReportDelay {
			r.addViolation(usageLate, "window %d was reported %s after its end", report.Window, delay)
		}
	}
	return reports
}

// tenantCounts holds numbers of answers by window and tenant.
type tenantCounts map[int64]map[string]int64

// add counts one answer of a tenant in a window.
func (t tenantCounts) add(window int64, tenant string) {
	if t[window] == nil {
		t[window] = map[string]int64{}
	}
	t[window][tenant]++
}

// countAnswers returns the lowest and the highest counts that an accurate report may contain. An answer
// near the boundary of two windows may count in either; one whose count was lost with a disconnected
// proxy need not be counted.
func countAnswers(record Record) (lowest, highest tenantCounts) {
	lowest, highest = tenantCounts{}, tenantCounts{}
	for _, request := range record.Requests {
		if request.Code != 0 || request.Connection {
			continue
		}
		firstWindow := int64((record.Epoch + request.Done - windowBoundaryTolerance) / record.Window)
		lastWindow := int64((record.Epoch + request.Done + windowBoundaryTolerance) / record.Window)
		highest.add(firstWindow, request.Tenant)
		if Within(record.UsageLosses, request.Proxy, request.Done, request.Done) {
			continue
		}
		if firstWindow == lastWindow {
			lowest.add(firstWindow, request.Tenant)
		} else {
			highest.add(lastWindow, request.Tenant)
		}
	}
	return lowest, highest
}

// checkMissingWindows checks that each window with answers whose report was due before the end of the
// run is reported, and that there is no gap between the reported windows.
func (r *Review) checkMissingWindows(record Record, reports map[int64]Reported, lowest tenantCounts) {
	first, last := int64(math.MaxInt64), int64(0)
	for window := range reports {
		first, last = min(first, window), max(last, window)
	}
	for window := range lowest {
		due := time.Duration(window+1)*record.Window - record.Epoch + record.Bounds.UsageReportDelay
		if _, reported := reports[window]; !reported && due <= record.End {
			r.addViolation(usageMissing, "window %d has answers, but was never reported", window)
		}
	}
	for window := first; window < last; window++ {
		if _, reported := reports[window]; !reported {
			r.addViolation(usageMissing, "window %d is missing between windows that were reported", window)
		}
	}
}

// minTenantAnswers is the number of answers from which on a tenant's deviation in a window is checked
// by itself; with fewer answers a single request could exceed the bound.
const minTenantAnswers = 100

// checkWindowCounts compares the sum of the tenants' deviations with Bounds.UsageError, so that an
// answer counted under the wrong tenant counts twice, and also the deviation of each tenant that has
// at least minTenantAnswers.
func (r *Review) checkWindowCounts(bounds Bounds, window int64, counts, lowest, highest map[string]int64) {
	tenants := map[string]bool{}
	for _, list := range []map[string]int64{counts, lowest, highest} {
		for tenant := range list {
			tenants[tenant] = true
		}
	}
	deviations, answers, worst := int64(0), int64(0), 0.0
	for tenant := range tenants {
		deviation := max(0, lowest[tenant]-counts[tenant], counts[tenant]-highest[tenant])
		deviations += deviation
		answers += highest[tenant]
		if highest[tenant] >= minTenantAnswers {
			worst = max(worst, float64(deviation)/float64(highest[tenant]))
		}
	}
	if answers == 0 && deviations == 0 {
		return
	}
	share := max(worst, float64(deviations)/float64(max(1, answers)))
	r.recordWorst(usageDeviation, share)
	if share > bounds.UsageError {
		r.addViolation(usageInaccurate, "window %d was reported as %v, the callers' answers allow %v to %v",
			window, counts, lowest, highest)
	}
}
